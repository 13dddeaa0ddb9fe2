#include "proxy/tests/ReplicatedGroup.h"

#include <algorithm>

namespace mustardshift::proxy::test {

ReplicatedGroup::ReplicatedGroup(FleetSimulation& aFleet)
  : fleet(aFleet)
{
  for (const char* id : { "s1", "s2", "s3" }) {
    this->states[id].lastHeartbeat = this->fleet.now;
  }
  this->fleet.orders.onAccepted = [this](const PromotionOrder& aOrder) {
    this->fleet.scheduler.Schedule(
      this->fleet.now + kPromotionTime,
      [this, id = aOrder.candidate.Text()](Instant) { this->Promote(id); });
  };
}

void ReplicatedGroup::Advance(Duration aTime)
{
  for (Duration passed(0); passed < aTime; passed += kStep) {
    this->fleet.Advance(kStep);
    this->Replicate();
    this->WriteEntries();
  }
}

void ReplicatedGroup::SetDark(const std::string& aId, bool aIsDark)
{
  this->states.at(aId).isDark = aIsDark;
  this->fleet.network.Server(aId).isUnresponsive = aIsDark;
}

void ReplicatedGroup::SetDeaf(const std::string& aId, bool aIsDeaf)
{
  this->states.at(aId).isDeaf = aIsDeaf;
}

void ReplicatedGroup::Start(const std::string& aId)
{
  std::uint64_t term = 0;
  for (const auto& [id, state] : this->states) {
    term = std::max(term, this->fleet.network.Server(id).position.term);
  }
  this->fleet.network.Add(aId, false).position = { term, 0 };
  this->states[aId].lastHeartbeat = this->fleet.now;
}

void ReplicatedGroup::Drain(const std::string& aId)
{
  this->states.at(aId).isDraining = true;
}

void ReplicatedGroup::End(const std::string& aId, const std::string& aSuccessor)
{
  FakeServer& ended = this->fleet.network.Server(aId);
  FakeServer& successor = this->fleet.network.Server(aSuccessor);
  if (!successor.isPrimary) {
    successor.position = std::max(successor.position, ended.position);
  }
  ended.isUnresponsive = true;
  ended.isPrimary = false;
  this->fleet.store.Remove("servers", aId);
  this->states.erase(aId);
}

std::set<std::string> ReplicatedGroup::Servers() const
{
  std::set<std::string> ids;
  for (const auto& [id, state] : this->states) {
    ids.insert(id);
  }
  return ids;
}

std::string ReplicatedGroup::Primary() const
{
  for (const auto& [id, state] : this->states) {
    if (this->fleet.network.Server(id).isPrimary) {
      return id;
    }
  }
  return {};
}

bool ReplicatedGroup::IsUsed(const std::string& aId) const
{
  return std::any_of(this->fleet.vms.begin(), this->fleet.vms.end(), [&](const auto& aVm) {
    return !aVm.database->IsCut(aId) &&
           aVm.proxy->Cluster().PrimaryOf(DatabaseName("fittings")) == ServerId(aId);
  });
}

void ReplicatedGroup::Replicate()
{
  const std::string primaryId = this->Primary();
  if (primaryId.empty() || this->states.at(primaryId).isDark || !this->IsUsed(primaryId)) {
    return;
  }
  FakeServer& primary = this->fleet.network.Server(primaryId);
  ++primary.position.offset;
  for (const auto& [id, state] : this->states) {
    FakeServer& replica = this->fleet.network.Server(id);
    if (id == primaryId || state.isDark || state.isDeaf || replica.pausedTerm != 0) {
      continue;
    }
    replica.position = primary.position;
    this->acknowledged = primary.position.offset;
  }
}

void ReplicatedGroup::WriteEntries()
{
  for (auto& [id, state] : this->states) {
    if (state.isDark) {
      if (!state.entry.empty() && this->fleet.now - state.lastHeartbeat >= kEntryLifetime) {
        state.entry.clear();
        this->fleet.store.Remove("servers", id);
      }
      continue;
    }
    state.lastHeartbeat = this->fleet.now;
    const FakeServer& server = this->fleet.network.Server(id);
    const std::string entry = std::string(server.isPrimary ? "primary" : "replica") +
                              (state.isDraining ? " draining " : " ready ") + server.group;
    if (entry != state.entry) {
      state.entry = entry;
      this->fleet.store.Put("servers", id, entry);
    }
  }
}

void ReplicatedGroup::Promote(const std::string& aId)
{
  const auto state = this->states.find(aId);
  if (state == this->states.end() || state->second.isDark ||
      this->fleet.network.Server(aId).isPrimary) {
    return;
  }
  ++this->promotionCount;
  const std::uint64_t received = this->fleet.network.Server(aId).position.offset;
  if (received < this->acknowledged) {
    this->lostCount += this->acknowledged - received;
    this->fleet.log.WriteAlways(this->fleet.now,
                                "promotion",
                                "commits-lost",
                                { { "server", aId },
                                  { "received", std::to_string(received) },
                                  { "acknowledged", std::to_string(this->acknowledged) } });
    this->acknowledged = received;
  }
  this->fleet.network.Promote(aId);
}

} // namespace mustardshift::proxy::test
