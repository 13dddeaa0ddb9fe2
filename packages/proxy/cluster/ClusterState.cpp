#include "proxy/cluster/ClusterState.h"

#include <utility>

namespace mustardshift::proxy {

bool ClusterState::ApplyConfigurationIfNewer(SessionConfiguration aConfiguration)
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
  return this->HasConfiguration() && this->isConfirmed &&
         aNow - this->confirmedAt < this->maxConfirmationAge;
}

void ClusterState::RecordChange(const ServerRecord& aServer, Instant aNow)
{
  const ServerRecord* oldRecord = this->Find(aServer.id);
  if (oldRecord != nullptr && *oldRecord == aServer) {
    return;
  }
  if (aServer.state == ServerState::Draining) {
    this->drainingStateSince.try_emplace(aServer.id, aNow);
  } else {
    this->drainingStateSince.erase(aServer.id);
  }
  const bool isNewProcess = oldRecord == nullptr || oldRecord->startedAtMs != aServer.startedAtMs;
  if (aServer.role == ServerRole::Primary &&
      (isNewProcess || oldRecord->role != ServerRole::Primary)) {
    this->primaryOrder[aServer.id] = ++this->lastPrimaryOrder;
  }
  if (isNewProcess || oldRecord->role != aServer.role) {
    this->markedNotPrimaryAt.erase(aServer.id);
  }
  if (oldRecord != nullptr && oldRecord->role != aServer.role) {
    const auto mark = this->replacementMarks.find(aServer.id);
    if (mark != this->replacementMarks.end() && !mark->second.outlastsRole) {
      this->replacementMarks.erase(mark);
    }
  }
}

void ClusterState::UpdatePrimaries(Instant aNow)
{
  std::set<DatabaseName> groupsWithPrimary;
  for (const auto& [id, server] : this->servers) {
    if (server.role == ServerRole::Primary) {
      groupsWithPrimary.insert(server.group);
    }
  }
  for (const auto& [group, limit] : this->configuration.connectionLimits) {
    if (groupsWithPrimary.contains(group)) {
      this->withoutPrimarySince.erase(group);
    } else {
      this->withoutPrimarySince.try_emplace(group, aNow);
    }
  }
}

void ClusterState::PutServer(const ServerRecord& aServer, Instant aNow)
{
  this->RecordChange(aServer, aNow);
  this->servers[aServer.id] = aServer;
  this->UpdatePrimaries(aNow);
}

void ClusterState::RemoveServer(const ServerId& aId, Instant aNow)
{
  this->servers.erase(aId);
  this->drainingStateSince.erase(aId);
  this->markedNotPrimaryAt.erase(aId);
  this->primaryOrder.erase(aId);
  this->UpdatePrimaries(aNow);
}

void ClusterState::SetEvacuatedDomains(std::set<FailureDomainName> aDomains, Instant aNow)
{
  std::erase_if(this->evacuatedDomains,
                [&](const auto& aEntry) { return !aDomains.contains(aEntry.first); });
  for (const FailureDomainName& domain : aDomains) {
    this->evacuatedDomains.try_emplace(domain, aNow);
  }
}

const ServerRecord* ClusterState::Find(const ServerId& aId) const
{
  const auto found = this->servers.find(aId);
  return found == this->servers.end() ? nullptr : &found->second;
}

std::optional<Instant> ClusterState::DrainingSince(const ServerId& aId) const
{
  const ServerRecord* server = this->Find(aId);
  if (server == nullptr) {
    return std::nullopt;
  }
  std::optional<Instant> drainingStart;
  const auto draining = this->drainingStateSince.find(aId);
  if (draining != this->drainingStateSince.end()) {
    drainingStart = draining->second;
  }
  const auto domain = this->evacuatedDomains.find(server->domain);
  if (domain != this->evacuatedDomains.end() &&
      (!drainingStart || domain->second < *drainingStart)) {
    drainingStart = domain->second;
  }
  return drainingStart;
}

std::vector<ServerId> ClusterState::ServersOf(const DatabaseName& aGroup) const
{
  std::vector<ServerId> groupServers;
  for (const auto& [id, server] : this->servers) {
    if (server.group == aGroup) {
      groupServers.push_back(id);
    }
  }
  return groupServers;
}

std::vector<ServerId> ClusterState::ReadyServers(const DatabaseName& aGroup) const
{
  std::vector<ServerId> readyServers = this->ServersOf(aGroup);
  std::erase_if(readyServers,
                [this](const ServerId& aId) { return this->DrainingSince(aId).has_value(); });
  return readyServers;
}

std::optional<ServerId> ClusterState::PrimaryOf(const DatabaseName& aGroup) const
{
  std::optional<ServerId> latestPrimary;
  std::uint64_t latestPrimaryOrder = 0;
  for (const auto& [id, server] : this->servers) {
    if (server.group != aGroup || server.role != ServerRole::Primary ||
        this->markedNotPrimaryAt.contains(id) || this->replacementMarks.contains(id)) {
      continue;
    }
    const auto order = this->primaryOrder.find(id);
    const std::uint64_t candidateOrder = order == this->primaryOrder.end() ? 0 : order->second;
    if (!latestPrimary || candidateOrder > latestPrimaryOrder) {
      latestPrimary = id;
      latestPrimaryOrder = candidateOrder;
    }
  }
  return latestPrimary;
}

void ClusterState::MarkReplaced(const ServerId& aId, Instant aUntil, bool aOutlastsRole)
{
  // If this VM has not learnt yet that the server leads, the change of its role is old news.
  const ServerRecord* server = this->Find(aId);
  const bool isListedAsPrimary = server != nullptr && server->role == ServerRole::Primary;
  this->replacementMarks[aId] = { aUntil, aOutlastsRole || !isListedAsPrimary };
}

void ClusterState::ExpireNotPrimaryMarks(Instant aNow)
{
  std::erase_if(this->markedNotPrimaryAt, [&](const auto& aEntry) {
    return aNow - aEntry.second >= kNotPrimaryMarkLifetime;
  });
  std::erase_if(this->replacementMarks,
                [&](const auto& aEntry) { return aNow >= aEntry.second.until; });
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
