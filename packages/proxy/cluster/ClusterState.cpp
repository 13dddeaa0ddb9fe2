#include "proxy/cluster/ClusterState.h"

#include <utility>

namespace mustardshift::proxy {

bool ClusterState::Adopt(SessionConfiguration aConfiguration)
{
  if (aConfiguration.version <= this->configuration.version) {
    return false;
  }
  this->configuration = std::move(aConfiguration);
  return true;
}

void ClusterState::Confirm(Instant aAsOf)
{
  if (!this->isConfirmed || aAsOf > this->confirmedAt) {
    this->confirmedAt = aAsOf;
    this->isConfirmed = true;
  }
}

bool ClusterState::IsTrusted(Instant aNow) const
{
  return this->HasConfiguration() && this->isConfirmed && aNow - this->confirmedAt < this->keyTrust;
}

void ClusterState::NoteChange(const ServerRecord& aServer, Instant aNow)
{
  const ServerRecord* old = this->Find(aServer.id);
  if (old != nullptr && *old == aServer) {
    return;
  }
  if (aServer.state == ServerState::Draining) {
    this->drainingSince.try_emplace(aServer.id, aNow);
  } else {
    this->drainingSince.erase(aServer.id);
  }
  const bool isNewRun = old == nullptr || old->startedAtMs != aServer.startedAtMs;
  if (aServer.role == ServerRole::Primary && (isNewRun || old->role != ServerRole::Primary)) {
    this->primaryOrder[aServer.id] = ++this->lastOrder;
  }
  if (isNewRun || old->role != aServer.role) {
    this->notPrimary.erase(aServer.id);
  }
}

void ClusterState::UpdatePrimaries(Instant aNow)
{
  std::set<DatabaseName> led;
  for (const auto& [id, server] : this->servers) {
    if (server.role == ServerRole::Primary) {
      led.insert(server.group);
    }
  }
  for (const auto& [group, limit] : this->configuration.connectionLimits) {
    if (led.contains(group)) {
      this->withoutPrimarySince.erase(group);
    } else {
      this->withoutPrimarySince.try_emplace(group, aNow);
    }
  }
}

void ClusterState::PutServer(const ServerRecord& aServer, Instant aNow)
{
  this->NoteChange(aServer, aNow);
  this->servers[aServer.id] = aServer;
  this->UpdatePrimaries(aNow);
}

void ClusterState::RemoveServer(const ServerId& aId, Instant aNow)
{
  this->servers.erase(aId);
  this->drainingSince.erase(aId);
  this->notPrimary.erase(aId);
  this->primaryOrder.erase(aId);
  this->UpdatePrimaries(aNow);
}

void ClusterState::SetEvacuated(std::set<FailureDomainName> aDomains, Instant aNow)
{
  std::erase_if(this->evacuated,
                [&](const auto& aEntry) { return !aDomains.contains(aEntry.first); });
  for (const FailureDomainName& domain : aDomains) {
    this->evacuated.try_emplace(domain, aNow);
  }
}

const ServerRecord* ClusterState::Find(const ServerId& aId) const
{
  const auto found = this->servers.find(aId);
  return found == this->servers.end() ? nullptr : &found->second;
}

std::optional<Instant> ClusterState::LeavingSince(const ServerId& aId) const
{
  const ServerRecord* server = this->Find(aId);
  if (server == nullptr) {
    return std::nullopt;
  }
  std::optional<Instant> since;
  const auto draining = this->drainingSince.find(aId);
  if (draining != this->drainingSince.end()) {
    since = draining->second;
  }
  const auto domain = this->evacuated.find(server->domain);
  if (domain != this->evacuated.end() && (!since || domain->second < *since)) {
    since = domain->second;
  }
  return since;
}

std::vector<ServerId> ClusterState::ReadyServers(const DatabaseName& aGroup) const
{
  std::vector<ServerId> ready;
  for (const auto& [id, server] : this->servers) {
    if (server.group == aGroup && !this->LeavingSince(id)) {
      ready.push_back(id);
    }
  }
  return ready;
}

std::optional<ServerId> ClusterState::PrimaryOf(const DatabaseName& aGroup) const
{
  std::optional<ServerId> best;
  std::uint64_t bestOrder = 0;
  for (const auto& [id, server] : this->servers) {
    if (server.group != aGroup || server.role != ServerRole::Primary ||
        this->notPrimary.contains(id)) {
      continue;
    }
    const auto order = this->primaryOrder.find(id);
    const std::uint64_t present = order == this->primaryOrder.end() ? 0 : order->second;
    if (!best || present > bestOrder) {
      best = id;
      bestOrder = present;
    }
  }
  return best;
}

void ClusterState::ForgetOldRefusals(Instant aNow)
{
  std::erase_if(this->notPrimary,
                [&](const auto& aEntry) { return aNow - aEntry.second >= kNotPrimaryFor; });
}

std::optional<Instant> ClusterState::WithoutPrimarySince(const DatabaseName& aGroup) const
{
  const auto found = this->withoutPrimarySince.find(aGroup);
  if (found == this->withoutPrimarySince.end()) {
    return std::nullopt;
  }
  return found->second;
}

} // namespace mustardshift::proxy
