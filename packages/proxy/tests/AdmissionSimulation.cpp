#include "AdmissionSimulation.h"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <set>

namespace mustardshift::proxy {

namespace {

/** One-way latency between gateway and server, which are in the same failure domain. */
constexpr Duration kLatency = std::chrono::microseconds(100);

} // namespace

AdmissionSimulation::AdmissionSimulation(unsigned aSlots)
  : admission(aSlots)
  , slots(aSlots)
{
}

std::vector<SimulatedEnd> AdmissionSimulation::Run(const std::vector<SimulatedArrival>& aArrivals)
{
  this->arrivals = &aArrivals;
  this->ends.assign(aArrivals.size(), {});
  this->sentAt.assign(aArrivals.size(), {});
  this->tickets.assign(aArrivals.size(), 0);
  std::size_t next = 0;
  while (true) {
    std::optional<Instant> due = this->scheduler.NextDue();
    for (const auto& other :
         { this->admission.NextDue(),
           next < aArrivals.size() ? std::optional(aArrivals[next].at) : std::nullopt }) {
      due = due && other ? std::min(due, other) : std::max(due, other);
    }
    if (!due) {
      return std::move(this->ends);
    }
    this->scheduler.RunDue(*due);
    while (next < aArrivals.size() && aArrivals[next].at <= *due) {
      this->tickets[next] = this->admission.Add(*due, aArrivals[next].request);
      this->indexOf[this->tickets[next]] = next;
      ++next;
      this->Step(*due);
    }
    this->Step(*due);
  }
}

void AdmissionSimulation::Step(Instant aNow)
{
  const auto order =
    this->checksRefusals ? this->admission.StartOrder() : std::vector<AdmissionTicket>();
  const AdmissionDecisions decisions = this->admission.Step(aNow);
  if (this->checksRefusals && decisions.admitted.empty()) {
    this->CheckRefusals(aNow, order, decisions);
  }
  for (const AdmissionTicket ticket : decisions.admitted) {
    this->Send(aNow, this->indexOf.at(ticket));
  }
  for (const AdmissionRefusal& refusal : decisions.refused) {
    this->ends[this->indexOf.at(refusal.ticket)].refusal = refusal.reason;
    CPPUNIT_ASSERT_MESSAGE("refused while a slot is free",
                           refusal.reason == AdmissionRefusalReason::Expired ||
                             this->admission.InFlightCount() >= this->admission.Limit());
  }
  CPPUNIT_ASSERT(this->admission.InFlightCount() <=
                 this->slots + ServerAdmission::kStartsBeyondSlots);
  this->onStep(aNow);
}

/** Checks refusals against the real times of all work that was there, in the order in which it
   would have started. */
void AdmissionSimulation::CheckRefusals(Instant aNow,
                                        const std::vector<AdmissionTicket>& aOrder,
                                        const AdmissionDecisions& aDecisions)
{
  if (aDecisions.refused.empty()) {
    return;
  }
  const std::map<std::size_t, Instant> starts = this->RealStarts(aNow, aOrder);
  for (const AdmissionRefusal& refusal : aDecisions.refused) {
    const std::size_t index = this->indexOf.at(refusal.ticket);
    this->ends[index].wasRefusedWrongly =
      starts.at(index) <= (*this->arrivals)[index].request.startBy;
  }
}

/** When waiting work would start if nothing else arrived and nothing were refused. */
std::map<std::size_t, Instant> AdmissionSimulation::RealStarts(
  Instant aNow,
  const std::vector<AdmissionTicket>& aOrder) const
{
  std::multiset<Instant> runningEnds;
  std::deque<std::size_t> queue = this->queueAtServer;
  for (const auto& [index, end] : this->endsAtServer) {
    runningEnds.insert(end);
  }
  const auto run = [&](Instant aStart, std::size_t aIndex) {
    runningEnds.insert(aStart + (*this->arrivals)[aIndex].serverTime);
  };
  std::map<std::size_t, Instant> starts;
  Instant now = aNow;
  for (const AdmissionTicket ticket : aOrder) {
    if (runningEnds.size() >= this->slots && !queue.empty()) {
      now = std::max(now, *runningEnds.begin());
      runningEnds.erase(runningEnds.begin());
      run(now, queue.front());
      queue.pop_front();
    }
    const std::size_t index = this->indexOf.at(ticket);
    starts[index] = now;
    if (runningEnds.size() < this->slots) {
      run(now, index);
    } else {
      queue.push_back(index);
    }
  }
  return starts;
}

void AdmissionSimulation::CountIdleTime(Instant aNow)
{
  const Instant from = std::max(this->countedUntil, this->countIdleFrom);
  if (aNow > from) {
    this->idleTime +=
      (aNow - from) * static_cast<Duration::rep>(this->slots - this->endsAtServer.size());
  }
  this->countedUntil = aNow;
}

void AdmissionSimulation::Send(Instant aNow, std::size_t aIndex)
{
  CPPUNIT_ASSERT(!this->ends[aIndex].startedAt && !this->ends[aIndex].refusal);
  this->ends[aIndex].startedAt = aNow;
  this->sentAt[aIndex] = aNow;
  this->scheduler.Schedule(aNow + kLatency, [this, aIndex](Instant aThen) {
    if (this->isBusyAt(aThen)) {
      this->ends[aIndex].wasRejectedAsBusy = true;
      this->Answer(aThen, aIndex, AdmissionEnd::Busy);
    } else if (this->endsAtServer.size() < this->slots) {
      this->RunAtServer(aThen, aIndex);
    } else {
      this->queueAtServer.push_back(aIndex);
    }
  });
}

void AdmissionSimulation::RunAtServer(Instant aNow, std::size_t aIndex)
{
  const double microseconds =
    static_cast<double>((*this->arrivals)[aIndex].serverTime.count()) * this->slownessAt(aNow);
  const Instant end = aNow + Duration(static_cast<Duration::rep>(microseconds));
  this->CountIdleTime(aNow);
  this->endsAtServer[aIndex] = end;
  this->scheduler.Schedule(end, [this, aIndex](Instant aThen) {
    this->CountIdleTime(aThen);
    this->endsAtServer.erase(aIndex);
    this->Answer(aThen, aIndex, AdmissionEnd::Done);
    if (!this->queueAtServer.empty()) {
      const std::size_t first = this->queueAtServer.front();
      this->queueAtServer.pop_front();
      this->RunAtServer(aThen, first);
    }
  });
}

void AdmissionSimulation::Answer(Instant aNow, std::size_t aIndex, AdmissionEnd aEnd)
{
  this->scheduler.Schedule(aNow + kLatency, [this, aIndex, aEnd](Instant aThen) {
    this->admission.Finish(
      aThen, this->tickets[aIndex], { aEnd, aThen - this->sentAt[aIndex], Duration::zero() });
    this->Step(aThen);
  });
}

std::vector<SimulatedArrival> MakeArrivals(const std::vector<SimulatedStream>& aStreams,
                                           std::mt19937& aRandom)
{
  std::vector<SimulatedArrival> arrivals;
  for (const SimulatedStream& stream : aStreams) {
    std::exponential_distribution<double> gap(stream.ratePerSecond);
    std::uniform_real_distribution<double> part(1.0 / 3, 5.0 / 3);
    const auto micros = [](double aSeconds) {
      return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
    };
    Instant at = stream.begin + micros(gap(aRandom));
    for (; at < stream.end; at += micros(gap(aRandom))) {
      SimulatedArrival arrival;
      arrival.at = at;
      arrival.request.organisation = OrganisationName(stream.organisation);
      arrival.request.priority = stream.priority;
      arrival.request.startBy = at + stream.timeLeft;
      arrival.request.targetLatencyLeft = std::chrono::milliseconds(50);
      const double seconds = std::chrono::duration<double>(stream.averageTime).count();
      arrival.serverTime = micros(seconds * part(aRandom));
      arrivals.push_back(arrival);
    }
  }
  std::sort(arrivals.begin(), arrivals.end(), [](const auto& aOne, const auto& aOther) {
    return aOne.at < aOther.at;
  });
  return arrivals;
}

} // namespace mustardshift::proxy
