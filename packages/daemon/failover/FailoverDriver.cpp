#include "daemon/failover/FailoverDriver.h"

#include "adapters/log/Log.h"
#include "core/failover/VmRank.h"
#include "daemon/control/PlatformRows.h"
#include "daemon/request/DatabaseFrames.h"

#include <functional>
#include <random>
#include <utility>

namespace mustardshift {

namespace {

constexpr Duration kServerCallTimeout = std::chrono::milliseconds(500);
/** Number of failure domains with a monitor of one database: a VM that probes its primary
    frequently. The other VMs learn of a promotion from the monitors and check a primary only on
    request, since a VM that serves 11 databases would otherwise send 165 probes a second. The three
    monitors are in different failure domains, so that two remain if the primary's domain fails. */
constexpr unsigned kMonitorDomains = 3;
/** Leaves time to send the answer within the 300 ms that a suspicion query waits. */
constexpr Duration kSuspicionCheckTimeout = std::chrono::milliseconds(200);
constexpr Duration kTableTimeout = std::chrono::milliseconds(900);

const Log kLog(Component::Failover);

ServerReport ToReport(const database::v1::ServerReport& aReport)
{
  return { aReport.accepted_term(), ToLogPosition(aReport.position()), aReport.leads() };
}

PrimaryRow ToRow(const TableRow& aRow)
{
  PrimaryRow row;
  row.version = aRow.version;
  if (const std::optional<DatabaseRow> decoded = DecodeDatabaseRow(aRow.value)) {
    row.term = decoded->term;
    row.primary = decoded->primary;
    row.operationId = decoded->operationId;
  }
  return row;
}

} // namespace

FailoverDriver::FailoverDriver(EventLoop& aLoop,
                               EventLoop& aTableLoop,
                               TableClient& aTable,
                               PeerCoordinator& aPeers,
                               Identity aIdentity,
                               Hooks aHooks)
  : loop(aLoop)
  , tableLoop(aTableLoop)
  , table(aTable)
  , peers(aPeers)
  , identity(std::move(aIdentity))
  , hooks(std::move(aHooks))
{
}

void FailoverDriver::Configure(Instant aNow, const Configuration& aConfiguration)
{
  for (const DatabaseGroup& configured : aConfiguration.databases) {
    if (!this->groups.contains(configured.name)) {
      this->Add(aNow, configured);
    }
    std::set<ServerAddress> drained;
    for (const DatabaseServer& server : configured.servers) {
      if (aConfiguration.drainedFailureDomains.contains(server.failureDomain)) {
        drained.insert(server.address);
      }
    }
    this->Handle(aNow, configured.name, failover_event::ServersDrained{ drained });
  }
}

void FailoverDriver::Add(Instant aNow, const DatabaseGroup& aConfigured)
{
  FailoverOptions options;
  options.database = aConfigured.name;
  options.self = this->identity.vm;
  options.failureDomain = this->identity.failureDomain;
  options.incarnation = this->identity.incarnation;
  Group group;
  for (const DatabaseServer& server : aConfigured.servers) {
    options.servers.push_back(server.address);
    group.clients.emplace(
      server.address,
      std::make_shared<DatabaseServerClient>(server.address, this->identity.vm.Text()));
  }
  const std::size_t seed =
    std::hash<std::string>{}(this->identity.vm.Text() + aConfigured.name.Text());
  group.stateMachine = std::make_unique<FailoverStateMachine>(
    std::move(options), std::mt19937_64(seed ^ this->identity.incarnation));
  this->groups.emplace(aConfigured.name, std::move(group));
  this->Handle(aNow, aConfigured.name, failover_event::MembersChanged{ this->members });
}

void FailoverDriver::Handle(Instant aNow,
                            const DatabaseName& aDatabase,
                            const FailoverEvent& aEvent)
{
  const auto found = this->groups.find(aDatabase);
  if (found == this->groups.end()) {
    return;
  }
  for (const FailoverAction& action : found->second.stateMachine->Handle(aEvent, aNow)) {
    std::visit([&](const auto& aAlternative) { this->Execute(aNow, aDatabase, aAlternative); },
               action);
  }
}

void FailoverDriver::Post(const DatabaseName& aDatabase, FailoverEvent aEvent)
{
  this->loop.Post([this, aDatabase, event = std::move(aEvent)](Instant aNow) {
    this->Handle(aNow, aDatabase, event);
  });
}

DatabaseServerClient* FailoverDriver::FindClient(const DatabaseName& aDatabase,
                                                 const ServerAddress& aServer)
{
  const auto group = this->groups.find(aDatabase);
  if (group == this->groups.end()) {
    return nullptr;
  }
  const auto client = group->second.clients.find(aServer);
  return client == group->second.clients.end() ? nullptr : client->second.get();
}

void FailoverDriver::ObserveProbe(Instant aNow,
                                  const DatabaseName& aDatabase,
                                  const ServerAddress& aServer,
                                  const Outcome<database::v1::ServerReport>& aReport)
{
  const auto group = this->groups.find(aDatabase);
  if (group == this->groups.end()) {
    return;
  }
  if (!aReport) {
    this->tracker.RecordFailure(aDatabase, aServer);
    return;
  }
  if (aReport->leads()) {
    this->tracker.RecordResponse(aDatabase, aReport->accepted_term(), aServer, aNow);
  } else {
    this->tracker.RecordFailure(aDatabase, aServer);
  }
  this->Handle(aNow, aDatabase, failover_event::ServerReported{ aServer, ToReport(*aReport) });
}

void FailoverDriver::LearnPrimary(Instant aNow, const KnownPrimary& aPrimary)
{
  if (aPrimary.term > 0) {
    this->Handle(
      aNow, aPrimary.database, failover_event::PrimaryLearned{ aPrimary.term, aPrimary.primary });
  }
}

void FailoverDriver::ObservePeerAnswer(Instant aNow,
                                       const VmId& aPeer,
                                       const FailureDomainName& aFailureDomain,
                                       const KnownPrimary& aKnown,
                                       std::uint64_t aTerm,
                                       bool aSuspects)
{
  this->LearnPrimary(aNow, aKnown);
  this->Handle(
    aNow, aKnown.database, failover_event::PeerAnswered{ aPeer, aFailureDomain, aTerm, aSuspects });
}

void FailoverDriver::SetMembers(Instant aNow, const std::vector<VmId>& aMembers)
{
  this->members = aMembers;
  for (const auto& [database, group] : this->groups) {
    this->Handle(aNow, database, failover_event::MembersChanged{ aMembers });
  }
}

void FailoverDriver::SetPlatformState(Instant aNow, bool aReachable, Instant aLastAnswer)
{
  for (const auto& [database, group] : this->groups) {
    this->Handle(aNow, database, failover_event::PlatformStateChanged{ aReachable, aLastAnswer });
  }
}

void FailoverDriver::Tick(Instant aNow)
{
  for (auto& [database, group] : this->groups) {
    const bool suspected =
      this->tracker.IsSuspected(database, group.stateMachine->KnownTerm(), aNow);
    if (suspected != group.wasSuspected) {
      group.wasSuspected = suspected;
      group.suspectedSince = aNow;
      kLog.Info((suspected ? "The primary of " : "The suspicion has ended for the primary of ") +
                database.Text() + (suspected ? " is suspected." : "."));
      this->Handle(aNow,
                   database,
                   failover_event::SuspicionChanged{ group.stateMachine->KnownTerm(), suspected });
    }
    this->Handle(aNow, database, failover_event::Tick{});
  }
}

void FailoverDriver::ObserveAnswer(Instant aNow,
                                   const DatabaseName& aDatabase,
                                   const GroupPrimary& aPrimary)
{
  this->tracker.RecordResponse(aDatabase, aPrimary.term, aPrimary.server, aNow);
}

bool FailoverDriver::IsMonitor(const DatabaseName& aDatabase) const
{
  std::vector<VmId> sameDomainMembers;
  std::set<VmId> otherDomains;
  for (const VmId& member : this->members) {
    const FailureDomainName domain = this->peers.FailureDomainOf(member);
    if (domain == this->identity.failureDomain) {
      sameDomainMembers.push_back(member);
    } else {
      otherDomains.emplace(domain.Text());
    }
  }
  const VmId ownDomain(this->identity.failureDomain.Text());
  return RankOf(aDatabase, this->identity.vm, sameDomainMembers) == 0 &&
         RankOf(aDatabase, ownDomain, { otherDomains.begin(), otherDomains.end() }) <
           kMonitorDomains;
}

void FailoverDriver::CheckSuspicion(const KnownPrimary& aSuspected,
                                    const std::function<void(Instant, bool)>& aCallback)
{
  const auto group = this->groups.find(aSuspected.database);
  const bool isKnown = group != this->groups.end() &&
                       group->second.stateMachine->KnownTerm() == aSuspected.term &&
                       group->second.stateMachine->KnownPrimary() == aSuspected.primary;
  DatabaseServerClient* client = this->FindClient(aSuspected.database, aSuspected.primary);
  const bool suspects = isKnown && group->second.stateMachine->Suspects(aSuspected.term);
  if (!isKnown || suspects || client == nullptr) {
    this->loop.Post([aCallback, suspects](Instant aNow) { aCallback(aNow, suspects); });
    return;
  }
  client->Report(kSuspicionCheckTimeout,
                 [eventLoop = this->loop.GetHandle(), aCallback, aSuspected](
                   const Outcome<database::v1::ServerReport>& aReport) {
                   const bool leads =
                     aReport && aReport->leads() && aReport->accepted_term() == aSuspected.term;
                   eventLoop.Post([aCallback, leads](Instant aNow) { aCallback(aNow, !leads); });
                 });
}

std::vector<KnownPrimary> FailoverDriver::KnownPrimaries() const
{
  std::vector<KnownPrimary> primaries;
  for (const auto& [database, group] : this->groups) {
    if (group.stateMachine->KnownTerm() > 0) {
      primaries.push_back(
        { database, group.stateMachine->KnownTerm(), group.stateMachine->KnownPrimary() });
    }
  }
  return primaries;
}

void FailoverDriver::Execute(Instant aNow,
                             const DatabaseName& aDatabase,
                             const failover_action::QueryPeers& aAction)
{
  this->peers.QuerySuspicion(aNow, { aDatabase, aAction.term, aAction.primary });
}

void FailoverDriver::Execute(Instant /*aNow*/,
                             const DatabaseName& aDatabase,
                             const failover_action::ReadRow& aAction)
{
  this->tableLoop.Post([this, aDatabase, request = aAction.request](Instant /*aLater*/) {
    const auto rows = this->table.Read({ DatabaseKey(aDatabase) }, kTableTimeout);
    if (!rows) {
      this->Post(aDatabase, failover_event::RowReadFailed{ request });
      return;
    }
    const PrimaryRow row = rows->empty() ? PrimaryRow{} : ToRow(rows->front());
    this->Post(aDatabase, failover_event::RowRead{ request, row });
  });
}

void FailoverDriver::Execute(Instant /*aNow*/,
                             const DatabaseName& aDatabase,
                             const failover_action::CompareAndSetRow& aAction)
{
  kLog.Info("Term " + std::to_string(aAction.row.term) + " of " + aDatabase.Text() +
            " is being assigned to " + aAction.row.primary.Text() + ".");
  this->tableLoop.Post([this, aDatabase, row = aAction.row](Instant /*aLater*/) {
    const auto committed = this->table.Commit(
      { { DatabaseKey(aDatabase), row.version } },
      { { DatabaseKey(aDatabase), EncodeDatabaseRow({ row.term, row.primary, row.operationId }) } },
      kTableTimeout);
    if (committed) {
      this->Post(aDatabase, failover_event::RowWritten{ row.operationId });
      return;
    }
    if (committed.error().error != PlatformError::Conflict) {
      this->Post(aDatabase, failover_event::RowWriteOutcomeUnknown{ row.operationId });
      return;
    }
    const std::vector<TableRow>& conflicts = committed.error().conflicts;
    const PrimaryRow present = conflicts.empty() ? PrimaryRow{} : ToRow(conflicts.front());
    this->Post(aDatabase, failover_event::RowConflicted{ row.operationId, present });
  });
}

void FailoverDriver::Execute(Instant /*aNow*/,
                             const DatabaseName& aDatabase,
                             const failover_action::AcceptTerm& aAction)
{
  DatabaseServerClient* client = this->FindClient(aDatabase, aAction.server);
  if (client == nullptr) {
    return;
  }
  client->AcceptTerm(
    aAction.term,
    kServerCallTimeout,
    [this, aDatabase, aAction](const Outcome<database::v1::ServerReport>& aReport) {
      if (aReport) {
        this->Post(aDatabase,
                   failover_event::AcceptTermAnswered{
                     aAction.server, aAction.term, aReport->accepted(), ToReport(*aReport) });
      }
    });
}

void FailoverDriver::Execute(Instant /*aNow*/,
                             const DatabaseName& aDatabase,
                             const failover_action::Promote& aAction)
{
  DatabaseServerClient* client = this->FindClient(aDatabase, aAction.server);
  if (client == nullptr) {
    return;
  }
  client->Promote(aAction.term,
                  kServerCallTimeout,
                  [this, aDatabase, aAction](const Outcome<database::v1::ServerReport>& aReport) {
                    if (aReport) {
                      this->Post(
                        aDatabase,
                        failover_event::PromoteAnswered{
                          aAction.server, aAction.term, aReport->accepted(), ToReport(*aReport) });
                    }
                  });
}

void FailoverDriver::Execute(Instant /*aNow*/,
                             const DatabaseName& aDatabase,
                             const failover_action::Follow& aAction)
{
  DatabaseServerClient* client = this->FindClient(aDatabase, aAction.server);
  if (client == nullptr) {
    return;
  }
  client->Follow(aAction.term,
                 aAction.primary,
                 kServerCallTimeout,
                 [this, aDatabase, aAction](const Outcome<database::v1::ServerReport>& aReport) {
                   if (aReport) {
                     this->Post(
                       aDatabase,
                       failover_event::FollowAnswered{
                         aAction.server, aAction.term, aReport->accepted(), ToReport(*aReport) });
                   }
                 });
}

void FailoverDriver::Execute(Instant aNow,
                             const DatabaseName& aDatabase,
                             const failover_action::AdoptPrimary& aAction)
{
  this->tracker.Monitor(aDatabase, aAction.term, aAction.primary, aNow);
  this->hooks.adopted(aNow, aDatabase, { aAction.term, aAction.primary });
}

void FailoverDriver::Execute(Instant aNow,
                             const DatabaseName& aDatabase,
                             const failover_action::Announce& aAction)
{
  kLog.Info("The primary of " + aDatabase.Text() + " is " + aAction.primary.Text() + " in term " +
            std::to_string(aAction.term) + ".");
  this->peers.Announce({ aDatabase, aAction.term, aAction.primary });
  const Group& group = this->groups.at(aDatabase);
  if (group.suspectedSince != Instant{}) {
    this->hooks.promoted(aDatabase, aNow - group.suspectedSince);
  }
}

} // namespace mustardshift
