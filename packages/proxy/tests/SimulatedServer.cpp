#include "SimulatedServer.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

namespace {

/** One-way latency between gateway and server, which are in the same failure domain. */
constexpr Duration kLatency = std::chrono::microseconds(100);
/** Time that the server takes to fail or to reject a statement. */
constexpr Duration kRejectTime = std::chrono::microseconds(500);

} // namespace

SimulatedServer::SimulatedServer(Scheduler& aScheduler, unsigned aSlots)
  : admission(aSlots)
  , scheduler(aScheduler)
  , slots(aSlots)
{
}

void SimulatedServer::Submit(Instant aNow,
                             const AdmissionRequest& aRequest,
                             Duration aServerTime,
                             Handler aHandler,
                             Duration aOpenTime)
{
  const AdmissionTicket ticket = this->admission.Add(aNow, aRequest);
  this->work[ticket] = { aRequest, aServerTime, aOpenTime, std::move(aHandler), {} };
  this->Step(aNow);
}

void SimulatedServer::Step(Instant aNow)
{
  const auto order =
    this->checksRefusals ? this->admission.StartOrder() : std::vector<AdmissionTicket>();
  const AdmissionDecisions decisions = this->admission.Step(aNow);
  if (this->checksRefusals && decisions.admitted.empty() && !decisions.refused.empty()) {
    this->MarkWrongRefusals(aNow, order, decisions);
  }
  for (const AdmissionTicket ticket : decisions.admitted) {
    this->Send(aNow, ticket);
  }
  this->Check(this->admission.InFlightCount() <= this->slots + ServerAdmission::kStartsBeyondSlots,
              "more than slots + 1 statements at the server");
  this->ArmTimer();
  for (const AdmissionRefusal& refusal : decisions.refused) {
    this->Check(refusal.reason == AdmissionRefusalReason::Expired ||
                  this->admission.InFlightCount() >= this->admission.Limit(),
                "refused while a slot is free");
    const auto refused = this->work.extract(refusal.ticket);
    refused.mapped().end.refusal = refusal.reason;
    refused.mapped().handler(aNow, refused.mapped().end);
  }
}

void SimulatedServer::Check(bool aIsRight, const char* aRule)
{
  if (!aIsRight) {
    this->violations.emplace_back(aRule);
  }
}

void SimulatedServer::ArmTimer()
{
  const auto due = this->admission.NextDue();
  if (this->timer && (!due || this->timer->first != *due)) {
    this->scheduler.Cancel(*this->timer);
    this->timer.reset();
  }
  if (due && !this->timer) {
    this->timer = this->scheduler.Schedule(*due, [this](Instant aThen) {
      this->timer.reset();
      this->Step(aThen);
    });
  }
}

/** Checks refusals against the real times of all work that was there, in the order in which it
    would have started. */
void SimulatedServer::MarkWrongRefusals(Instant aNow,
                                        const std::vector<AdmissionTicket>& aOrder,
                                        const AdmissionDecisions& aDecisions)
{
  const std::map<AdmissionTicket, Instant> starts = this->RealStarts(aNow, aOrder);
  for (const AdmissionRefusal& refusal : aDecisions.refused) {
    Work& refused = this->work.at(refusal.ticket);
    refused.end.wasRefusedWrongly = starts.at(refusal.ticket) <= refused.request.startBy;
  }
}

/** When waiting work would start if nothing else arrived and nothing were refused. */
std::map<AdmissionTicket, Instant> SimulatedServer::RealStarts(
  Instant aNow,
  const std::vector<AdmissionTicket>& aOrder) const
{
  std::multiset<Instant> runningEnds;
  std::deque<AdmissionTicket> queue = this->queueAtServer;
  for (const auto& [ticket, end] : this->endsAtServer) {
    runningEnds.insert(end);
  }
  const auto run = [&](Instant aStart, AdmissionTicket aTicket) {
    runningEnds.insert(aStart + this->work.at(aTicket).openTime +
                       this->work.at(aTicket).serverTime);
  };
  std::map<AdmissionTicket, Instant> starts;
  Instant now = aNow;
  for (const AdmissionTicket ticket : aOrder) {
    if (runningEnds.size() >= this->slots && !queue.empty()) {
      now = std::max(now, *runningEnds.begin());
      runningEnds.erase(runningEnds.begin());
      run(now, queue.front());
      queue.pop_front();
    }
    starts[ticket] = now;
    if (runningEnds.size() < this->slots) {
      run(now, ticket);
    } else {
      queue.push_back(ticket);
    }
  }
  return starts;
}

void SimulatedServer::CountIdleTime(Instant aNow)
{
  const Instant from = std::max(this->countedUntil, this->countIdleFrom);
  if (aNow > from) {
    this->idleTime +=
      (aNow - from) * static_cast<Duration::rep>(this->slots - this->endsAtServer.size());
  }
  this->countedUntil = aNow;
}

void SimulatedServer::Send(Instant aNow, AdmissionTicket aTicket)
{
  ++this->startedCount;
  this->work.at(aTicket).end.startedAt = aNow;
  this->scheduler.Schedule(aNow + kLatency, [this, aTicket](Instant aThen) {
    if (this->isBusy || this->fails()) {
      this->Answer(
        aThen + kRejectTime, aTicket, this->isBusy ? AdmissionEnd::Busy : AdmissionEnd::Failed);
    } else if (this->endsAtServer.size() < this->slots) {
      this->RunAtServer(aThen, aTicket);
    } else {
      this->queueAtServer.push_back(aTicket);
    }
  });
}

void SimulatedServer::RunAtServer(Instant aNow, AdmissionTicket aTicket)
{
  const Work& begun = this->work.at(aTicket);
  const auto microseconds = static_cast<double>((begun.serverTime + begun.openTime).count());
  const Instant end = aNow + Duration(static_cast<Duration::rep>(microseconds * this->slowness));
  this->CountIdleTime(aNow);
  this->endsAtServer[aTicket] = end;
  this->scheduler.Schedule(end, [this, aTicket](Instant aThen) {
    this->CountIdleTime(aThen);
    this->endsAtServer.erase(aTicket);
    this->Answer(aThen, aTicket, AdmissionEnd::Done);
    if (!this->queueAtServer.empty()) {
      const AdmissionTicket first = this->queueAtServer.front();
      this->queueAtServer.pop_front();
      this->RunAtServer(aThen, first);
    }
  });
}

void SimulatedServer::Answer(Instant aNow, AdmissionTicket aTicket, AdmissionEnd aEnd)
{
  this->scheduler.Schedule(aNow + kLatency, [this, aTicket, aEnd](Instant aThen) {
    const auto ended = this->work.extract(aTicket);
    Work& done = ended.mapped();
    done.end.end = aEnd;
    const Duration elapsed = aThen - *done.end.startedAt;
    const Duration openTime = aEnd == AdmissionEnd::Done ? done.openTime : Duration::zero();
    this->admission.Finish(aThen, aTicket, { aEnd, elapsed - openTime, openTime });
    this->Step(aThen);
    done.handler(aThen, done.end);
  });
}

} // namespace mustardshift::proxy
