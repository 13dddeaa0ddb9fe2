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

/** Carries out what the FailoverStateMachine of each database decides, and feeds it with events.

    Thread safety: the request loop's thread only. Calls that block on the platform run on the
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
    /** Requests go to this primary from now on. */
    std::function<void(Instant, const DatabaseName&, const GroupPrimary&)> adopted;
    /** This VM finished a promotion, this long after it began to suspect the old primary. */
    std::function<void(const DatabaseName&, Duration)> promoted;
  };

  FailoverDriver(EventLoop& aLoop,
                 EventLoop& aTableLoop,
                 TableClient& aTable,
                 PeerCoordinator& aPeers,
                 Identity aIdentity,
                 Hooks aHooks);

  /** Follows the databases of a configuration. */
  void Configure(Instant aNow, const Configuration& aConfiguration);

  /** Takes the outcome of a probe. */
  void ObserveProbe(Instant aNow,
                    const DatabaseName& aDatabase,
                    const ServerAddress& aServer,
                    const Outcome<database::v1::ServerReport>& aReport);

  /** Takes a primary that the table records or a peer knows. */
  void LearnPrimary(Instant aNow, const KnownPrimary& aPrimary);

  /** Takes a peer's answer about a suspected primary. */
  void ObservePeerAnswer(Instant aNow,
                         const VmId& aPeer,
                         const FailureDomainName& aFailureDomain,
                         const KnownPrimary& aKnown,
                         std::uint64_t aTerm,
                         bool aSuspects);

  void SetMembers(Instant aNow, const std::vector<VmId>& aMembers);
  void SetPlatformState(Instant aNow, bool aReachable, Instant aLastAnswer);

  /** Call it at least every 100 ms. */
  void Tick(Instant aNow);

  /** Takes the news that a request to the primary of a term was answered. */
  void ObserveAnswer(Instant aNow, const DatabaseName& aDatabase, const GroupPrimary& aPrimary);

  /** Whether this VM is one of those that watch the database's primary closely. */
  bool IsMonitor(const DatabaseName& aDatabase) const;

  /** Answers a peer's question whether this VM finds a primary out of reach: at once when it
      watches the database, else after asking the primary. aCallback runs on the request loop. */
  void CheckSuspicion(const KnownPrimary& aSuspected,
                      const std::function<void(Instant, bool)>& aCallback);

  /** The recorded primaries that this VM knows. */
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
