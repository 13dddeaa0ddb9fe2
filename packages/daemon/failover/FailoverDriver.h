#pragma once

#include "adapters/database/DatabaseServerClient.h"
#include "adapters/platform/TableClient.h"
#include "core/configuration/Configuration.h"
#include "core/failover/FailoverStateMachine.h"
#include "core/failover/SuspicionTracker.h"
#include "daemon/loop/EventLoop.h"
#include "daemon/peer/PeerCoordinator.h"
#include "daemon/request/GroupPrimary.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardshift {

/** Passes events to the FailoverStateMachine of each database and executes the actions that it
    returns.

    Thread safety: only on the request loop's thread. Calls that block on the platform run on the
    table loop. */
class FailoverDriver
{
public:
  struct Identity
  {
    VmId vm;
    FailureDomainName failureDomain;
    std::uint64_t incarnation = 0;
  };
  struct Hooks
  {
    /** Requests must be sent to this primary from now on. */
    std::function<void(Instant, const DatabaseName&, const GroupPrimary&)> adopted;
    /** This VM completed a promotion, the given time after it began to suspect the old primary. */
    std::function<void(const DatabaseName&, Duration)> promoted;
  };

  FailoverDriver(EventLoop& aLoop,
                 EventLoop& aTableLoop,
                 TableClient& aTable,
                 PeerCoordinator& aPeers,
                 Identity aIdentity,
                 Hooks aHooks);

  /** Adds the databases of a configuration that are new, and updates which servers are drained. */
  void Configure(Instant aNow, const Configuration& aConfiguration);

  /** Handles the outcome of a probe. */
  void ObserveProbe(Instant aNow,
                    const DatabaseName& aDatabase,
                    const ServerAddress& aServer,
                    const Outcome<database::v1::ServerReport>& aReport);

  /** Handles a primary that was read from the table or reported by a peer. */
  void LearnPrimary(Instant aNow, const KnownPrimary& aPrimary);

  /** Handles a peer's answer to a suspicion query. */
  void ObservePeerAnswer(Instant aNow,
                         const VmId& aPeer,
                         const FailureDomainName& aFailureDomain,
                         const KnownPrimary& aKnown,
                         std::uint64_t aTerm,
                         bool aSuspects);

  void SetMembers(Instant aNow, const std::vector<VmId>& aMembers);
  void SetPlatformState(Instant aNow, bool aReachable, Instant aLastAnswer);

  /** Advances time-dependent state. Must be called at least every 100 ms. */
  void Tick(Instant aNow);

  /** Records that the primary of a term answered a request. */
  void ObserveAnswer(Instant aNow, const DatabaseName& aDatabase, const GroupPrimary& aPrimary);

  /** Returns whether this VM is one of the monitors of the database, which probe its primary
      frequently. */
  bool IsMonitor(const DatabaseName& aDatabase) const;

  /** Answers a peer's query whether this VM finds a primary unreachable. Answers without a call to
      the primary if this VM knows another primary or term, has no client for it, or suspects it
      already; otherwise asks the primary first. aCallback runs on the request loop. */
  void CheckSuspicion(const KnownPrimary& aSuspected,
                      const std::function<void(Instant, bool)>& aCallback);

  /** Returns the known primary of each database that has one. */
  std::vector<KnownPrimary> KnownPrimaries() const;

private:
  struct Group
  {
    std::unique_ptr<FailoverStateMachine> stateMachine;
    std::map<ServerAddress, std::shared_ptr<DatabaseServerClient>> clients;
    bool wasSuspected = false;
    Instant suspectedSince{};
  };

  void Add(Instant aNow, const DatabaseGroup& aConfigured);
  void Handle(Instant aNow, const DatabaseName& aDatabase, const FailoverEvent& aEvent);
  void Execute(Instant aNow,
               const DatabaseName& aDatabase,
               const failover_action::QueryPeers& aAction);
  void Execute(Instant aNow,
               const DatabaseName& aDatabase,
               const failover_action::ReadRow& aAction);
  void Execute(Instant aNow,
               const DatabaseName& aDatabase,
               const failover_action::AcceptTerm& aAction);
  void Execute(Instant aNow,
               const DatabaseName& aDatabase,
               const failover_action::CompareAndSetRow& aAction);
  void Execute(Instant aNow,
               const DatabaseName& aDatabase,
               const failover_action::Promote& aAction);
  void Execute(Instant aNow, const DatabaseName& aDatabase, const failover_action::Follow& aAction);
  void Execute(Instant aNow,
               const DatabaseName& aDatabase,
               const failover_action::AdoptPrimary& aAction);
  void Execute(Instant aNow,
               const DatabaseName& aDatabase,
               const failover_action::Announce& aAction);
  void Post(const DatabaseName& aDatabase, FailoverEvent aEvent);
  DatabaseServerClient* FindClient(const DatabaseName& aDatabase, const ServerAddress& aServer);

  EventLoop& loop;
  EventLoop& tableLoop;
  TableClient& table;
  PeerCoordinator& peers;
  Identity identity;
  Hooks hooks;
  SuspicionTracker tracker;
  std::map<DatabaseName, Group> groups;
  std::vector<VmId> members;
};

} // namespace mustardshift
