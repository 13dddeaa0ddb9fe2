#pragma once

#include "adapters/database/DatabaseServerClient.h"
#include "core/configuration/Configuration.h"
#include "core/queueing/FairQueue.h"
#include "core/routing/FreshnessTracker.h"
#include "core/routing/ReadRouter.h"
#include "core/session/SessionToken.h"
#include "daemon/loop/EventLoop.h"
#include "daemon/request/GroupPrimary.h"
#include "daemon/request/PlannedRead.h"
#include "daemon/request/ProbeScope.h"
#include "daemon/request/QueuedOperation.h"
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

/** Dispatches operations to the servers of one database. Owns the operation queues, the connection
    pools and the last known state of each server.

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

  /** Applies a configuration that contains the database. */
  void Configure(Instant aNow, const Configuration& aConfiguration);

  /** Sets the maximum number of connections from this VM to each server. */
  void SetEntitlement(unsigned aConnections);

  /** Sets the database's primary; ignored unless its term is later than the known one. Connections
      to the deposed primary are closed, so that requests outstanding there are resolved at the new
      primary. */
  void SetPrimary(Instant aNow, const GroupPrimary& aPrimary);

  /** Updates the state of a server from its report.
      @param aSentAt  when the report was requested; ignored if earlier than the last observation of
      the server. */
  void ObserveReport(Instant aNow,
                     const ServerAddress& aServer,
                     Instant aSentAt,
                     const database::v1::ServerReport& aReport);

  /** Records the position of the primary's log, taken at or after aSentAt, for reads with a
      freshness bound. Ignored unless it is of the known term. Precondition: confirmed by a
      majority; see FreshnessTracker::Observe. */
  void ObserveConfirmedPosition(Instant aSentAt, LogPosition aPosition);

  /** Queues an operation for the server that is the primary when a connection becomes free. */
  void EnqueueAtPrimary(Instant aNow, QueuedOperation aOperation);

  /** Queues an operation for one server. */
  void EnqueueAtServer(Instant aNow, const ServerAddress& aServer, QueuedOperation aOperation);

  /** Requests reports from servers, which give their log positions, term histories and whether the
      primary is healthy.
      @param aScope  which servers are asked.
      @param aCallback  called once for each server asked, before its state is updated. */
  void Probe(Instant aNow, ProbeScope aScope, const ProbeCallback& aCallback);

  /** Send time of the latest request that the present primary answered in its term. */
  Instant PrimaryAnsweredAt() const { return this->primaryAnsweredAt; }

  /** Chooses the server for a read.
      @param aExcluded  servers on which this read has already failed. */
  PlannedRead PlanRead(Instant aNow,
                       const SessionToken& aToken,
                       Duration aFreshness,
                       Instant aDeadline,
                       const std::set<ServerAddress>& aExcluded);

  /** Returns whether a replica's answer may be returned to a session: the replica's data is valid
      in the primary's term (see ReplicaView::IsReadableIn), and its log holds aMinimumPosition. */
  bool IsConsistentAnswer(const ServerAddress& aServer,
                          const database::v1::Answer& aAnswer,
                          LogPosition aMinimumPosition) const;

  /** Updates the state of a server from the outcome of a request that was sent at aSentAt. */
  void ObserveAnswer(Instant aNow,
                     const ServerAddress& aServer,
                     Instant aSentAt,
                     const Outcome<database::v1::Answer>& aAnswer);

  /** Records that a server refused aSentTerm because it has accepted aAcceptedTerm. */
  void ObserveWrongTerm(std::uint64_t aSentTerm, std::uint64_t aAcceptedTerm);

  /** Whether the primary has accepted a later term than the one that it is known for. It will
     refuse every statement, so statements have to wait for SetPrimary(). */
  bool IsPrimaryFenced() const
  {
    return this->fencedTerm != 0 && this->fencedTerm == this->primary.term;
  }

  /** Asks a server to answer once its log holds a position, or after aBound. */
  void WaitForPosition(Instant aNow,
                       const ServerAddress& aServer,
                       LogPosition aPosition,
                       Duration aBound,
                       ServerConnection::AnswerCallback aCallback);

  /** Waits until a majority of the group, the primary included, holds a position under the term it
      was written in. The refusals are MayHaveRun: NotAcknowledged, or WrongTerm when a server has
      accepted a later term or this VM knows another term's primary. The callback may run within the
      call.
      @param aPositionAskedAt  instant before the request was sent whose answer gave the position;
                               empty if the position was not the end of the primary's log at that
                               time. */
  void ConfirmMajority(Instant aNow,
                       LogPosition aPosition,
                       std::optional<Instant> aPositionAskedAt,
                       Instant aDeadline,
                       ConfirmCallback aCallback);

  /** Looks up a request id in the present primary's log. */
  void LookUpRequest(const RequestId& aRequest, Duration aTimeout, LookUpCallback aCallback);

  /** Requests a report from the present primary. */
  void ReportPrimary(Duration aTimeout, ReportCallback aCallback);

  const DatabaseName& Name() const { return this->group.name; }
  const GroupPrimary& Primary() const { return this->primary; }
  bool IsInService() const { return this->group.inService; }
  std::size_t QueuedOperations() const;
  /** Returns the last known state of each server, for monitoring. */
  std::vector<ServerStatus> Servers(Instant aNow) const;
  /** Returns the number of open connections to the server that has the most. */
  unsigned HighestConnectionCount() const;

  /** Opens one connection to each server before it is needed; see ServerPool::Preconnect. */
  void Preconnect(Instant aNow);

private:
  using Queue = FairQueue<std::shared_ptr<QueuedOperation>>;

  struct Server
  {
    ReplicaView view;
    std::shared_ptr<ServerPool> pool;
    std::shared_ptr<DatabaseServerClient> client;
    Queue queue;
  };
  struct Confirmation;
  /** What is known from the reports of one Probe call, all requested at the same instant. */
  struct ProbeRound
  {
    Instant sentAt{};
    GroupPrimary primary;
    std::optional<LogPosition> primaryPosition;
    bool replicaAcceptsTerm = false;
  };

  Server& GetServer(const ServerAddress& aAddress);
  void Enqueue(Instant aNow, Queue& aQueue, QueuedOperation aOperation);
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
  /** Term that its primary has refused for good; zero if there is none. */
  std::uint64_t fencedTerm = 0;
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
