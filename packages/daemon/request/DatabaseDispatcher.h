#pragma once

#include "adapters/database/DatabaseServerClient.h"
#include "core/configuration/Configuration.h"
#include "core/queueing/FairQueue.h"
#include "core/routing/FreshnessTracker.h"
#include "core/routing/ReadRouter.h"
#include "core/session/SessionToken.h"
#include "daemon/loop/EventLoop.h"
#include "daemon/request/GroupPrimary.h"
#include "daemon/request/Operation.h"
#include "daemon/request/PlannedRead.h"
#include "daemon/request/ProbeScope.h"
#include "daemon/request/ServerPool.h"
#include "daemon/request/ServerStatus.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardshift {

/** Hands work for one database to its servers: the queues, the connections, and what this VM knows
    of each server.

    Thread safety: the request loop's thread only. */
class DatabaseDispatcher : public std::enable_shared_from_this<DatabaseDispatcher>
{
public:
  using ConfirmCallback = std::function<void(Instant, Outcome<void>)>;
  using ProbeCallback =
    std::function<void(Instant, const ServerAddress&, const Outcome<database::v1::ServerReport>&)>;
  using ReportCallback = std::function<void(Instant, Outcome<database::v1::ServerReport>)>;
  using LookUpCallback = std::function<void(Instant, Outcome<database::v1::LookUpRequestResponse>)>;

  /** @param aUserAgent  identifies this VM to the servers.
      @param aFailureDomain  of this VM. */
  DatabaseDispatcher(EventLoop& aLoop,
                     DatabaseName aName,
                     std::string aUserAgent,
                     FailureDomainName aFailureDomain);

  /** Takes over a configuration that names the database. */
  void Configure(Instant aNow, const Configuration& aConfiguration);

  /** Sets how many connections to each server this VM may have. */
  void SetEntitlement(unsigned aConnections);

  /** Learns the group's primary; earlier terms are ignored. Connections to a deposed primary are
      closed, so that what is outstanding there is resolved at the new one. */
  void SetPrimary(Instant aNow, const GroupPrimary& aPrimary);

  /** Learns a server's report to a request sent at aSentAt. */
  void ObserveReport(Instant aNow,
                     const ServerAddress& aServer,
                     Instant aSentAt,
                     const database::v1::ServerReport& aReport);

  /** Notes that the primary's position, taken at or after aSentAt, was confirmed by a majority. */
  void ObserveConfirmedPosition(Instant aSentAt, LogPosition aPosition);

  /** Queues work for the primary, whichever server that is when a connection is free. */
  void EnqueueAtPrimary(Instant aNow, Operation aOperation);

  /** Queues work for one server. */
  void EnqueueAtServer(Instant aNow, const ServerAddress& aServer, Operation aOperation);

  /** Asks servers for their reports, to learn positions, histories and the primary's health.
      @param aScope  which servers are asked.
      @param aCallback  called with each outcome, before the views change. */
  void Probe(Instant aNow, ProbeScope aScope, const ProbeCallback& aCallback);

  /** When the present primary last answered a request under its term; the request's sending time.
   */
  Instant PrimaryAnsweredAt() const { return this->primaryAnsweredAt; }

  /** Decides where a read goes.
      @param aExcluded  servers that this read has already failed on. */
  PlannedRead PlanRead(Instant aNow,
                       const SessionToken& aToken,
                       Duration aFreshness,
                       Instant aDeadline,
                       const std::set<ServerAddress>& aExcluded);

  /** Says whether a server's answer may be passed on to a session that requires aMinimumPosition.
   */
  bool IsConsistentAnswer(const ServerAddress& aServer,
                          const database::v1::Answer& aAnswer,
                          LogPosition aMinimumPosition) const;

  /** Learns from the outcome of a request to a server. */
  void ObserveAnswer(Instant aNow,
                     const ServerAddress& aServer,
                     Instant aSentAt,
                     const Outcome<database::v1::Answer>& aAnswer);

  /** Asks a server to wait until its log holds a position. */
  void WaitForPosition(Instant aNow,
                       const ServerAddress& aServer,
                       LogPosition aPosition,
                       Duration aBound,
                       ServerConnection::AnswerCallback aCallback);

  /** Waits until a majority of the group, the primary included, holds a position under the term it
      was written in. The refusals are MayHaveRun: NotAcknowledged, or WrongTerm when a server has
      accepted a later term or this VM knows another term's primary. The callback may run within the
      call.
      @param aPositionAskedAt  instant before the request was sent whose answer told the position;
                               nothing when the position is not the end of the primary's log then.
   */
  void ConfirmMajority(Instant aNow,
                       LogPosition aPosition,
                       std::optional<Instant> aPositionAskedAt,
                       Instant aDeadline,
                       ConfirmCallback aCallback);

  /** Asks the present primary's log for a request id. */
  void LookUpRequest(const RequestId& aRequest, Duration aTimeout, LookUpCallback aCallback);

  /** Asks the present primary for its report. */
  void ReportPrimary(Duration aTimeout, ReportCallback aCallback);

  const DatabaseName& Name() const { return this->group.name; }
  const GroupPrimary& Primary() const { return this->primary; }
  bool IsInService() const { return this->group.inService; }
  std::size_t QueuedOperations() const;
  /** What is known of each server, for monitoring. */
  std::vector<ServerStatus> Servers(Instant aNow) const;
  /** Connections to the server that has the most. */
  unsigned HighestConnectionCount() const;

  /** Opens connections ahead of their use, one for each server. */
  void Preconnect(Instant aNow);

private:
  using Queue = FairQueue<std::shared_ptr<Operation>>;

  struct Server
  {
    ReplicaView view;
    std::shared_ptr<ServerPool> pool;
    std::shared_ptr<DatabaseServerClient> client;
    Queue queue;
  };
  struct Confirmation;
  /** Reports to requests that were sent at the same instant. */
  struct ProbeRound
  {
    Instant sentAt{};
    GroupPrimary primary;
    std::optional<LogPosition> primaryPosition;
    bool replicaAcceptsTerm = false;
  };

  Server& GetServer(const ServerAddress& aAddress);
  void Enqueue(Instant aNow, Queue& aQueue, Operation aOperation);
  void DispatchQueued(Instant aNow, const ServerAddress& aServer);
  void RefuseExpired(Instant aNow);
  void ScheduleExpiry();
  void UpdateFreshness(ProbeRound& aRound,
                       const ServerAddress& aServer,
                       const database::v1::ServerReport& aReport);
  void RequestConfirmation(Instant aNow,
                           const std::shared_ptr<Confirmation>& aConfirmation,
                           const ServerAddress& aServer);
  Queue MakeQueue() const;

  EventLoop& loop;
  DatabaseGroup group;
  std::string userAgent;
  FailureDomainName failureDomain;
  GroupPrimary primary;
  Instant primaryAnsweredAt{};
  Queue primaryQueue;
  std::map<ServerAddress, Server> servers;
  std::map<OrganisationName, unsigned> weights;
  FreshnessTracker freshness;
  ReadRouter router;
  std::mt19937_64 generator;
  unsigned entitlement = 0;
  bool expiryScheduled = false;
};

} // namespace mustardshift
