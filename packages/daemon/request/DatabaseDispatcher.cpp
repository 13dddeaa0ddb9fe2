#include "daemon/request/DatabaseDispatcher.h"

#include "core/base/Assert.h"
#include "daemon/request/DatabaseFrames.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace mustardshift {

namespace {

constexpr std::size_t kQueueLimitPerOrganisation = 1024;
constexpr std::size_t kQueueLimit = 8192;
/** Highest age of data that a route may allow. */
constexpr Duration kMaxDataAge = std::chrono::minutes(10);
/** Interval at which operations whose deadline has passed are removed from the queues. */
constexpr Duration kExpiryInterval = std::chrono::milliseconds(10);
/** Delay before a failed confirmation request is sent to the same replica again. */
constexpr Duration kConfirmRetryDelay = std::chrono::milliseconds(20);
/** Longest time that a replica waits for the position in one confirmation request. The request is
    repeated until the deadline. */
constexpr Duration kMaxConfirmWait = std::chrono::seconds(2);
/** A probe fails if the report takes longer than this. */
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
/** A server is shown as reachable for this long after the last answer or report. */
constexpr Duration kReachabilityWindow = std::chrono::seconds(3);
/** Added to the wait time in a request to get its timeout; covers the network round trip. */
constexpr Duration kAnswerTimeoutMargin = std::chrono::seconds(1);

std::vector<TermStart> ToTermStarts(const database::v1::ServerReport& aReport)
{
  std::vector<TermStart> starts;
  for (const database::v1::TermStart& start : aReport.history()) {
    starts.push_back({ start.term(), start.first_offset() });
  }
  return starts;
}

} // namespace

/** A pending ConfirmMajority call. The first replica that holds the position completes it, since
    the primary and one replica are a majority. */
struct DatabaseDispatcher::Confirmation
{
  LogPosition position;
  Instant deadline{};
  std::optional<Instant> positionAskedAt;
  ConfirmCallback callback;
  bool isDone = false;

  void Finish(Instant aNow, Outcome<void> aOutcome)
  {
    if (this->isDone) {
      return;
    }
    this->isDone = true;
    this->callback(aNow, std::move(aOutcome));
  }
};

DatabaseDispatcher::DatabaseDispatcher(EventLoop& aLoop,
                                       DatabaseName aName,
                                       std::string aUserAgent,
                                       FailureDomainName aFailureDomain)
  : loop(aLoop)
  , userAgent(std::move(aUserAgent))
  , failureDomain(std::move(aFailureDomain))
  , primaryQueue(kQueueLimitPerOrganisation, kQueueLimit)
  , freshness(kMaxDataAge)
  , generator(std::hash<std::string>{}(this->userAgent + aName.Text()))
{
  this->group.name = std::move(aName);
}

DatabaseDispatcher::Queue DatabaseDispatcher::MakeQueue() const
{
  Queue queue(kQueueLimitPerOrganisation, kQueueLimit);
  for (const auto& [organisation, weight] : this->weights) {
    queue.SetWeight(organisation, weight);
  }
  return queue;
}

void DatabaseDispatcher::Configure(Instant aNow, const Configuration& aConfiguration)
{
  for (const Organisation& organisation : aConfiguration.organisations) {
    this->weights[organisation.name] = organisation.weight;
    this->primaryQueue.SetWeight(organisation.name, organisation.weight);
    for (auto& [address, server] : this->servers) {
      server.queue.SetWeight(organisation.name, organisation.weight);
    }
  }
  for (const DatabaseGroup& candidate : aConfiguration.databases) {
    if (candidate.name == this->group.name) {
      this->group = candidate;
    }
  }
  for (const DatabaseServer& configured : this->group.servers) {
    auto found = this->servers.find(configured.address);
    if (found == this->servers.end()) {
      auto pool = std::make_shared<ServerPool>(
        this->loop,
        configured.address,
        this->userAgent,
        [weak = this->weak_from_this(), address = configured.address](Instant aLater) {
          if (const auto self = weak.lock()) {
            self->DispatchQueued(aLater, address);
          }
        });
      pool->SetEntitlement(this->entitlement);
      ReplicaView view;
      view.address = configured.address;
      view.isLocal = configured.failureDomain == this->failureDomain;
      found = this->servers
                .emplace(configured.address,
                         Server{ view,
                                 std::move(pool),
                                 std::make_shared<DatabaseServerClient>(configured.address,
                                                                        this->userAgent),
                                 this->MakeQueue() })
                .first;
    }
    found->second.view.inService =
      !aConfiguration.drainedFailureDomains.contains(configured.failureDomain);
  }
  this->Preconnect(aNow);
}

void DatabaseDispatcher::SetEntitlement(unsigned aConnections)
{
  this->entitlement = aConnections;
  for (auto& [address, server] : this->servers) {
    server.pool->SetEntitlement(aConnections);
  }
}

void DatabaseDispatcher::Preconnect(Instant aNow)
{
  for (auto& [address, server] : this->servers) {
    server.pool->Preconnect(aNow);
  }
}

void DatabaseDispatcher::SetPrimary(Instant aNow, const GroupPrimary& aPrimary)
{
  if (aPrimary.term <= this->primary.term) {
    return;
  }
  const GroupPrimary old = std::exchange(this->primary, aPrimary);
  const auto deposed = this->servers.find(old.server);
  if (deposed != this->servers.end() && old.server != aPrimary.server) {
    deposed->second.pool->CloseAll();
  }
  this->DispatchQueued(aNow, aPrimary.server);
}

void DatabaseDispatcher::ObserveReport(Instant aNow,
                                       const ServerAddress& aServer,
                                       Instant aSentAt,
                                       const database::v1::ServerReport& aReport)
{
  const auto found = this->servers.find(aServer);
  if (found == this->servers.end()) {
    return;
  }
  ReplicaView& view = found->second.view;
  if (aSentAt < view.observedAt) {
    return;
  }
  view.observedAt = aSentAt;
  view.acceptedTerm = aReport.accepted_term();
  view.position = ToLogPosition(aReport.position());
  view.history = TermHistory(ToTermStarts(aReport));
  view.consecutiveFailures = 0;
  this->DispatchQueued(aNow, aServer);
}

void DatabaseDispatcher::ObserveConfirmedPosition(Instant aSentAt, LogPosition aPosition)
{
  if (aPosition.term == this->primary.term) {
    this->freshness.Observe(aSentAt, aPosition);
  }
}

void DatabaseDispatcher::EnqueueAtPrimary(Instant aNow, QueuedOperation aOperation)
{
  this->Enqueue(aNow, this->primaryQueue, std::move(aOperation));
  this->DispatchQueued(aNow, this->primary.server);
}

void DatabaseDispatcher::EnqueueAtServer(Instant aNow,
                                         const ServerAddress& aServer,
                                         QueuedOperation aOperation)
{
  this->Enqueue(aNow, this->GetServer(aServer).queue, std::move(aOperation));
  this->DispatchQueued(aNow, aServer);
}

void DatabaseDispatcher::Enqueue(Instant aNow, Queue& aQueue, QueuedOperation aOperation)
{
  const auto operation = std::make_shared<QueuedOperation>(std::move(aOperation));
  const Outcome<void> pushed = aQueue.Push(operation->organisation, operation, operation->deadline);
  if (!pushed) {
    operation->refuse(aNow, pushed.error());
    return;
  }
  this->ScheduleExpiry();
}

void DatabaseDispatcher::ScheduleExpiry()
{
  if (this->expiryScheduled) {
    return;
  }
  this->expiryScheduled = true;
  this->loop.Post([weak = this->weak_from_this()](Instant aNow) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    self->loop.Schedule(aNow + kExpiryInterval, [weak](Instant aLater) {
      if (const auto dispatcher = weak.lock()) {
        dispatcher->expiryScheduled = false;
        dispatcher->RefuseExpired(aLater);
      }
    });
  });
}

void DatabaseDispatcher::RefuseExpired(Instant aNow)
{
  std::vector<std::shared_ptr<QueuedOperation>> expired = this->primaryQueue.TakeExpired(aNow);
  for (auto& [address, server] : this->servers) {
    for (std::shared_ptr<QueuedOperation>& operation : server.queue.TakeExpired(aNow)) {
      expired.push_back(std::move(operation));
    }
    this->DispatchQueued(aNow, address);
  }
  for (const std::shared_ptr<QueuedOperation>& operation : expired) {
    operation->refuse(aNow,
                      { Verdict::NotRun,
                        Reason::DeadlineExceeded,
                        "no connection became free before the deadline" });
  }
  if (this->QueuedOperations() > 0) {
    this->ScheduleExpiry();
  }
}

void DatabaseDispatcher::DispatchQueued(Instant aNow, const ServerAddress& aServer)
{
  const auto found = this->servers.find(aServer);
  if (found == this->servers.end()) {
    return;
  }
  Server& server = found->second;
  const bool isPrimary = aServer == this->primary.server;
  // A server that has become the primary also runs what was queued for it as a replica.
  for (Queue* queue : { isPrimary ? &this->primaryQueue : &server.queue, &server.queue }) {
    // Checked before a connection is acquired: if all operations had expired, the connection would
    // be returned at once, which calls this function again in an endless loop.
    while (queue->HasWaiting(aNow)) {
      const std::shared_ptr<ConnectionLease> lease = server.pool->TryAcquire(aNow);
      if (!lease) {
        return;
      }
      const std::optional<std::shared_ptr<QueuedOperation>> operation = queue->Pop(aNow);
      if (!operation) {
        break;
      }
      (*operation)->run(aNow, lease);
    }
  }
}

void DatabaseDispatcher::Probe(Instant aNow, ProbeScope aScope, const ProbeCallback& aCallback)
{
  const auto round = std::make_shared<ProbeRound>();
  round->sentAt = aNow;
  round->primary = this->primary;
  for (const auto& [address, server] : this->servers) {
    if (aScope == ProbeScope::PrimaryOnly && address != this->primary.server) {
      continue;
    }
    server.client->Report(kProbeTimeout,
                          [weak = this->weak_from_this(),
                           eventLoop = this->loop.GetHandle(),
                           server = address,
                           round,
                           aCallback](const Outcome<database::v1::ServerReport>& aReport) {
                            eventLoop.Post(
                              [weak, server, round, aCallback, aReport](Instant aLater) {
                                aCallback(aLater, server, aReport);
                                const auto self = weak.lock();
                                if (self && aReport) {
                                  self->ObserveReport(aLater, server, round->sentAt, *aReport);
                                  self->UpdateFreshness(*round, server, *aReport);
                                }
                              });
                          });
  }
}

void DatabaseDispatcher::UpdateFreshness(ProbeRound& aRound,
                                         const ServerAddress& aServer,
                                         const database::v1::ServerReport& aReport)
{
  if (aReport.accepted_term() != aRound.primary.term || aRound.primary.term == 0) {
    return;
  }
  if (aServer != aRound.primary.server) {
    aRound.replicaAcceptsTerm = true;
  } else if (aReport.leads()) {
    aRound.primaryPosition = ToLogPosition(aReport.position());
  }
  if (aRound.replicaAcceptsTerm && aRound.primaryPosition) {
    this->ObserveConfirmedPosition(aRound.sentAt, *aRound.primaryPosition);
  }
}

PlannedRead DatabaseDispatcher::PlanRead(Instant aNow,
                                         const SessionToken& aToken,
                                         Duration aFreshness,
                                         Instant aDeadline,
                                         const std::set<ServerAddress>& aExcluded)
{
  ReadRequirement requirement;
  requirement.minimumPosition = aToken.MinimumPositionFor(this->group.name);
  requirement.mustReadAtPrimary = aToken.MustReadAtPrimary(this->group.name);
  requirement.term = this->primary.term;
  requirement.deadline = aDeadline;
  const std::optional<LogPosition> fresh = this->freshness.MinimumPositionFor(aFreshness, aNow);
  if (fresh) {
    requirement.minimumPosition = std::max(requirement.minimumPosition, *fresh);
  } else {
    requirement.mustReadAtPrimary = true;
  }
  const auto leading = this->servers.find(this->primary.server);
  if (leading != this->servers.end()) {
    requirement.primary = this->primary.server;
  }
  std::vector<ReplicaView> views;
  for (const auto& [address, server] : this->servers) {
    if (address == this->primary.server || aExcluded.contains(address)) {
      continue;
    }
    views.push_back(server.view);
    views.back().outstanding =
      server.pool->BusyConnections() + static_cast<std::uint32_t>(server.queue.size());
  }
  return { this->router.Plan(requirement, views, aNow, this->generator),
           requirement.minimumPosition };
}

bool DatabaseDispatcher::IsConsistentAnswer(const ServerAddress& aServer,
                                            const database::v1::Answer& aAnswer,
                                            LogPosition aMinimumPosition) const
{
  const auto found = this->servers.find(aServer);
  if (found == this->servers.end()) {
    return false;
  }
  ReplicaView view = found->second.view;
  view.acceptedTerm = aAnswer.accepted_term();
  view.position = ToLogPosition(aAnswer.position());
  return view.IsReadableIn(this->primary.term) &&
         view.history.Holds(view.position, aMinimumPosition);
}

void DatabaseDispatcher::ObserveAnswer(Instant aNow,
                                       const ServerAddress& aServer,
                                       Instant aSentAt,
                                       const Outcome<database::v1::Answer>& aAnswer)
{
  const auto found = this->servers.find(aServer);
  if (found == this->servers.end()) {
    return;
  }
  ReplicaView& view = found->second.view;
  if (!aAnswer) {
    ++view.consecutiveFailures;
    view.lastFailure = aNow;
    return;
  }
  view.consecutiveFailures = 0;
  if (aServer == this->primary.server && aAnswer->accepted_term() == this->primary.term &&
      aAnswer->status() != database::v1::ANSWER_STATUS_WRONG_TERM) {
    this->primaryAnsweredAt = std::max(this->primaryAnsweredAt, aSentAt);
  }
  // The answer carries no term history. A position in a term that the known history lacks can only
  // be compared after the next report.
  if (aSentAt >= view.observedAt && aAnswer->accepted_term() >= view.acceptedTerm) {
    view.observedAt = aSentAt;
    view.acceptedTerm = aAnswer->accepted_term();
    view.position = ToLogPosition(aAnswer->position());
  }
}

void DatabaseDispatcher::ObserveWrongTerm(std::uint64_t aSentTerm, std::uint64_t aAcceptedTerm)
{
  // A server that has accepted an earlier term has not learnt of its promotion yet.
  if (aSentTerm == this->primary.term && aAcceptedTerm > aSentTerm) {
    this->fencedTerm = aSentTerm;
  }
}

void DatabaseDispatcher::WaitForPosition(Instant aNow,
                                         const ServerAddress& aServer,
                                         LogPosition aPosition,
                                         Duration aBound,
                                         ServerConnection::AnswerCallback aCallback)
{
  database::v1::Request request;
  request.set_term(this->primary.term);
  database::v1::WaitForPosition* wait = request.mutable_wait();
  wait->mutable_position()->set_term(aPosition.term);
  wait->mutable_position()->set_offset(aPosition.offset);
  const auto bound = std::chrono::duration_cast<std::chrono::milliseconds>(aBound);
  wait->set_timeout_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(bound.count(), 0)));
  this->GetServer(aServer).pool->SendShared(
    aNow, std::move(request), aBound + kAnswerTimeoutMargin, std::move(aCallback));
}

void DatabaseDispatcher::ConfirmMajority(Instant aNow,
                                         LogPosition aPosition,
                                         std::optional<Instant> aPositionAskedAt,
                                         Instant aDeadline,
                                         ConfirmCallback aCallback)
{
  if (aPosition.term != this->primary.term) {
    // The primary may have changed between the answer and this call. The deposed primary is one of
    // the servers asked below and would confirm its own position.
    aCallback(aNow, RefuseMayHaveRun(Reason::WrongTerm, "the database's primary was replaced"));
    return;
  }
  auto confirmation = std::make_shared<Confirmation>();
  confirmation->position = aPosition;
  confirmation->deadline = aDeadline;
  confirmation->positionAskedAt = aPositionAskedAt;
  confirmation->callback = std::move(aCallback);
  this->loop.Schedule(aDeadline, [confirmation](Instant aLater) {
    confirmation->Finish(
      aLater,
      RefuseMayHaveRun(Reason::NotAcknowledged,
                       "no majority of the database's servers held the write before the deadline"));
  });
  for (const auto& [address, server] : this->servers) {
    if (address != this->primary.server) {
      this->RequestConfirmation(aNow, confirmation, address);
    }
  }
}

void DatabaseDispatcher::RequestConfirmation(Instant aNow,
                                             const std::shared_ptr<Confirmation>& aConfirmation,
                                             const ServerAddress& aServer)
{
  if (aConfirmation->isDone || aNow >= aConfirmation->deadline) {
    return;
  }
  const Duration bound = std::min(kMaxConfirmWait, aConfirmation->deadline - aNow);
  this->WaitForPosition(
    aNow,
    aServer,
    aConfirmation->position,
    bound,
    [weak = this->weak_from_this(), aConfirmation, aServer, sentAt = aNow](
      Instant aLater, const Outcome<database::v1::Answer>& aAnswer) {
      const auto self = weak.lock();
      if (!self || aConfirmation->isDone) {
        return;
      }
      self->ObserveAnswer(aLater, aServer, sentAt, aAnswer);
      if (aAnswer && aAnswer->accepted_term() > aConfirmation->position.term) {
        aConfirmation->Finish(
          aLater,
          RefuseMayHaveRun(Reason::WrongTerm, "the database's primary was replaced meanwhile"));
        return;
      }
      const bool holds = aAnswer && aAnswer->status() == database::v1::ANSWER_STATUS_OK &&
                         aAnswer->accepted_term() == aConfirmation->position.term &&
                         (aConfirmation->position.offset == 0 ||
                          ToLogPosition(aAnswer->position()) >= aConfirmation->position);
      if (holds) {
        if (aConfirmation->positionAskedAt) {
          self->ObserveConfirmedPosition(*aConfirmation->positionAskedAt, aConfirmation->position);
        }
        aConfirmation->Finish(aLater, {});
        return;
      }
      self->loop.Schedule(aLater + kConfirmRetryDelay,
                          [weak, aConfirmation, aServer](Instant aRetry) {
                            if (const auto dispatcher = weak.lock()) {
                              dispatcher->RequestConfirmation(aRetry, aConfirmation, aServer);
                            }
                          });
    });
}

void DatabaseDispatcher::LookUpRequest(const RequestId& aRequest,
                                       Duration aTimeout,
                                       LookUpCallback aCallback)
{
  const auto found = this->servers.find(this->primary.server);
  if (found == this->servers.end()) {
    this->loop.Post([callback = std::move(aCallback)](Instant aNow) {
      callback(aNow, RefuseNotRun(Reason::NoPrimary, "the database has no known primary"));
    });
    return;
  }
  found->second.client->LookUpRequest(
    aRequest,
    aTimeout,
    [eventLoop = this->loop.GetHandle(), callback = std::move(aCallback)](
      const Outcome<database::v1::LookUpRequestResponse>& aResponse) {
      eventLoop.Post([callback, aResponse](Instant aNow) { callback(aNow, aResponse); });
    });
}

void DatabaseDispatcher::ReportPrimary(Duration aTimeout, ReportCallback aCallback)
{
  const auto found = this->servers.find(this->primary.server);
  if (found == this->servers.end()) {
    this->loop.Post([callback = std::move(aCallback)](Instant aNow) {
      callback(aNow, RefuseNotRun(Reason::NoPrimary, "the database has no known primary"));
    });
    return;
  }
  found->second.client->Report(
    aTimeout,
    [eventLoop = this->loop.GetHandle(),
     callback = std::move(aCallback)](const Outcome<database::v1::ServerReport>& aReport) {
      eventLoop.Post([callback, aReport](Instant aNow) { callback(aNow, aReport); });
    });
}

std::size_t DatabaseDispatcher::QueuedOperations() const
{
  std::size_t count = this->primaryQueue.size();
  for (const auto& [address, server] : this->servers) {
    count += server.queue.size();
  }
  return count;
}

std::vector<ServerStatus> DatabaseDispatcher::Servers(Instant aNow) const
{
  std::vector<ServerStatus> statuses;
  for (const auto& [address, server] : this->servers) {
    const bool isPrimary = address == this->primary.server;
    const std::size_t queued = server.queue.size() + (isPrimary ? this->primaryQueue.size() : 0);
    statuses.push_back({ address,
                         server.pool->OpenConnections(),
                         queued,
                         isPrimary,
                         server.view.observedAt + kReachabilityWindow > aNow });
  }
  return statuses;
}

unsigned DatabaseDispatcher::HighestConnectionCount() const
{
  unsigned count = 0;
  for (const auto& [address, server] : this->servers) {
    count = std::max(count, server.pool->OpenConnections());
  }
  return count;
}

DatabaseDispatcher::Server& DatabaseDispatcher::GetServer(const ServerAddress& aAddress)
{
  const auto found = this->servers.find(aAddress);
  MUSTARDSHIFT_ASSERT(found != this->servers.end());
  return found->second;
}

} // namespace mustardshift
