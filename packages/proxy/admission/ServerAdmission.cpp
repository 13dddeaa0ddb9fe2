#include "proxy/admission/ServerAdmission.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <iterator>

namespace mustardshift::proxy {

namespace {

/** A request is refused only if it starts too late even when the work ahead takes this part of its
    expected time, since single statements differ by a factor of eight. */
constexpr double kShortestWork = 0.9;
/** Priorities that Load() reports. */
constexpr unsigned kMaxReportedPriority = 7;

} // namespace

ServerAdmission::ServerAdmission(unsigned aSlots)
  : slots(aSlots)
  , limit(aSlots, aSlots + kStartsBeyondSlots)
{
}

void ServerAdmission::SetSlots(unsigned aSlots)
{
  this->limit.SetSlots(aSlots, aSlots + kStartsBeyondSlots);
  this->slots = aSlots;
}

AdmissionTicket ServerAdmission::Add(Instant aNow, const AdmissionRequest& aRequest)
{
  const AdmissionTicket ticket = ++this->lastTicket;
  const Instant targetBy = aNow + aRequest.targetLatencyLeft;
  const bool hasTarget = aRequest.targetLatencyLeft > Duration::zero();
  const Instant due = hasTarget ? std::min(targetBy, aRequest.startBy) : aRequest.startBy;
  const WaitingItem item{ ticket,           aRequest.organisation,  due,
                          aRequest.startBy, this->CostOf(aRequest), aRequest.weight };
  const LevelNumber level = LevelOf(aRequest);
  this->levels[level].Insert(item);
  this->waiting.emplace(ticket, Waiting{ level, aRequest.kind, item });
  this->startTimes.emplace(aRequest.startBy, ticket);
  this->arrivals.push_back(ticket);
  this->lowestPriority =
    std::min(kMaxReportedPriority, std::max(this->lowestPriority, aRequest.priority));
  return ticket;
}

void ServerAdmission::Remove(Instant aNow, AdmissionTicket aTicket)
{
  this->Erase(aTicket);
  this->UpdateUtilisation(aNow);
}

void ServerAdmission::Erase(AdmissionTicket aTicket)
{
  const auto found = this->waiting.find(aTicket);
  MUSTARDSHIFT_ASSERT(found != this->waiting.end());
  const auto level = this->levels.find(found->second.level);
  level->second.Remove(found->second.item);
  if (level->second.IsEmpty()) {
    this->levels.erase(level);
  }
  this->startTimes.erase({ found->second.item.startBy, aTicket });
  this->waiting.erase(found);
}

void ServerAdmission::Finish(Instant aNow,
                             AdmissionTicket aTicket,
                             const AdmissionOutcome& aOutcome)
{
  const auto found = std::find_if(this->inFlight.begin(),
                                  this->inFlight.end(),
                                  [&](const auto& aWork) { return aWork.ticket == aTicket; });
  MUSTARDSHIFT_ASSERT(found != this->inFlight.end());
  this->RecordTimes(aNow, *found, aOutcome);
  if (aOutcome.end == AdmissionEnd::Busy) {
    this->limit.RecordBusy(aNow, static_cast<unsigned>(this->inFlight.size()), found->cost);
  }
  this->inFlight.erase(found);
  if (this->BusySlots() < this->slots) {
    const auto next = std::find_if(this->inFlight.begin(),
                                   this->inFlight.end(),
                                   [](const auto& aWork) { return !aWork.runningSince; });
    if (next != this->inFlight.end()) {
      next->runningSince = aNow;
    }
  }
  this->UpdateUtilisation(aNow);
}

AdmissionDecisions ServerAdmission::Step(Instant aNow)
{
  AdmissionDecisions decisions;
  this->RefuseExpired(aNow, decisions);
  this->StartWork(aNow, decisions);
  if (!this->waiting.empty() && (!this->arrivals.empty() || aNow >= this->nextCheckAt)) {
    this->RefuseLateStarts(aNow, decisions);
    this->nextCheckAt = aNow + kCheckInterval;
  }
  this->RefuseOverflow(decisions);
  for (const AdmissionTicket ticket : this->arrivals) {
    const auto found = this->waiting.find(ticket);
    if (found != this->waiting.end()) {
      found->second.isNew = false;
    }
  }
  this->arrivals.clear();
  return decisions;
}

std::optional<Instant> ServerAdmission::NextDue() const
{
  if (this->startTimes.empty()) {
    return std::nullopt;
  }
  return this->startTimes.begin()->first + Duration(1);
}

Duration ServerAdmission::ExpectedWait(Instant /*aNow*/, unsigned aPriority) const
{
  if (this->inFlight.size() < std::min(this->slots, this->limit.Current())) {
    return Duration::zero();
  }
  const LevelNumber level = 1 + aPriority;
  const auto own = this->levels.find(level);
  Duration work = own == this->levels.end()
                    ? this->WorkAheadOf(level).Before(Duration::zero(), 0)
                    : this->WorkAheadOf(level).Before(own->second.Work(), own->second.Count());
  for (const InFlight& sent : this->inFlight) {
    work += sent.runningSince ? Duration::zero() : sent.cost;
  }
  return this->UntilNextStart() + work / std::min(this->slots, this->limit.Current());
}

ServerLoad ServerAdmission::Load(Instant aNow) const
{
  ServerLoad load;
  for (unsigned priority = 0; priority <= this->lowestPriority; ++priority) {
    load.expectedWaits.push_back(this->ExpectedWait(aNow, priority));
  }
  load.inFlight = static_cast<unsigned>(this->inFlight.size());
  load.waiting = static_cast<unsigned>(this->waiting.size());
  load.utilisation = this->utilisation.Average(aNow);
  load.readTime = this->estimate.Measured(WorkKind::Read);
  return load;
}

ServerAdmission::LevelNumber ServerAdmission::LevelOf(const AdmissionRequest& aRequest)
{
  return aRequest.continuesTransaction ? 0 : 1 + aRequest.priority;
}

Duration ServerAdmission::CostOf(const AdmissionRequest& aRequest) const
{
  const Duration cost = this->estimate.Expected(aRequest.kind);
  const bool opensFirst = aRequest.opensConnection && aRequest.kind != WorkKind::Open;
  return opensFirst ? cost + this->estimate.Expected(WorkKind::Open) : cost;
}

void ServerAdmission::StartWork(Instant aNow, AdmissionDecisions& aDecisions)
{
  while (!this->levels.empty() && !this->IsFull()) {
    const auto level = this->LevelToServe();
    const AdmissionTicket ticket = level->second.Entries().begin()->first.second;
    const auto found = this->waiting.find(ticket);
    const Waiting& work = found->second;
    const bool hasWorkAhead = this->BusySlots() >= this->slots;
    this->inFlight.push_back({ ticket,
                               work.kind,
                               work.item.cost,
                               hasWorkAhead ? std::nullopt : std::optional(aNow),
                               hasWorkAhead });
    this->startTimes.erase({ work.item.startBy, ticket });
    level->second.TakeFirst(work.item);
    this->CountStart(level->first);
    if (level->second.IsEmpty()) {
      this->levels.erase(level);
    }
    this->waiting.erase(found);
    aDecisions.admitted.push_back(ticket);
  }
  this->UpdateUtilisation(aNow);
}

/** The first level, unless a later one has missed as many starts as it may. */
ServerAdmission::Levels::iterator ServerAdmission::LevelToServe()
{
  // Several levels can be due at once; each comes one start earlier for each other one.
  const std::size_t laterLevels = this->levels.size() - 1;
  const std::size_t mayMiss = kStartsPerTurn - std::min<std::size_t>(laterLevels, kStartsPerTurn);
  const auto mostMissed = std::max_element(
    std::next(this->levels.begin()), this->levels.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.StartsMissed() < aOther.second.StartsMissed();
    });
  const bool isDue =
    mostMissed != this->levels.end() && mostMissed->second.StartsMissed() >= mayMiss;
  return isDue ? mostMissed : this->levels.begin();
}

void ServerAdmission::CountStart(LevelNumber aLevel)
{
  for (auto& [number, level] : this->levels) {
    if (number != aLevel) {
      level.CountMissedStart();
    }
  }
}

void ServerAdmission::Refuse(AdmissionTicket aTicket,
                             AdmissionRefusalReason aReason,
                             AdmissionDecisions& aDecisions)
{
  this->Erase(aTicket);
  aDecisions.refused.push_back({ aTicket, aReason });
}

void ServerAdmission::RefuseExpired(Instant aNow, AdmissionDecisions& aDecisions)
{
  while (!this->startTimes.empty() && this->startTimes.begin()->first < aNow) {
    this->Refuse(this->startTimes.begin()->second, AdmissionRefusalReason::Expired, aDecisions);
  }
}

void ServerAdmission::RefuseLateStarts(Instant aNow, AdmissionDecisions& aDecisions)
{
  std::vector<LevelNumber> numbers;
  for (const auto& [number, level] : this->levels) {
    numbers.push_back(number);
  }
  for (const LevelNumber number : numbers) {
    this->RefuseLateStartsOf(aNow, number, aDecisions);
  }
}

void ServerAdmission::RefuseLateStartsOf(Instant aNow,
                                         LevelNumber aLevel,
                                         AdmissionDecisions& aDecisions)
{
  const WaitingLevel& level = this->levels.at(aLevel);
  const WorkAhead ahead = this->WorkAheadOf(aLevel);
  const unsigned servers = std::min(this->slots, this->limit.Current());
  const Instant nextStart = aNow + this->UntilNextStart();
  const auto startOf = [&](Duration aOwnWork, std::size_t aOwnStarts) {
    const auto work = static_cast<double>(ahead.Before(aOwnWork, aOwnStarts).count());
    return nextStart + Duration(static_cast<Duration::rep>(kShortestWork * work / servers));
  };
  if (startOf(level.Work(), level.Count()) <= level.EarliestStartBy()) {
    return;
  }
  std::vector<AdmissionTicket> lateTickets;
  Duration ownWork{ 0 };
  std::size_t ownStarts = 0;
  for (const auto& [key, entry] : level.Entries()) {
    if (startOf(ownWork, ownStarts) > entry.startBy) {
      lateTickets.push_back(key.second);
    } else {
      ownWork += entry.cost;
      ++ownStarts;
    }
  }
  for (const AdmissionTicket ticket : lateTickets) {
    const bool isNew = this->waiting.at(ticket).isNew;
    this->Refuse(ticket,
                 isNew ? AdmissionRefusalReason::TooMuchAhead : AdmissionRefusalReason::Displaced,
                 aDecisions);
  }
}

void ServerAdmission::RefuseOverflow(AdmissionDecisions& aDecisions)
{
  while (this->waiting.size() > kMaxWaiting) {
    const WaitingLevel& last = std::prev(this->levels.end())->second;
    this->Refuse(
      std::prev(last.Entries().end())->first.second, AdmissionRefusalReason::QueueFull, aDecisions);
  }
}

void ServerAdmission::RecordTimes(Instant aNow,
                                  const InFlight& aWork,
                                  const AdmissionOutcome& aOutcome)
{
  if (aOutcome.openTime > Duration::zero()) {
    this->estimate.Record(WorkKind::Open, aOutcome.openTime);
  }
  const bool hasBegun = aWork.runningSince.has_value();
  if (aOutcome.end != AdmissionEnd::Done || !hasBegun) {
    return;
  }
  Duration time = aOutcome.serverTime;
  double slowness = 1;
  if (aWork.hadWorkAhead) {
    const Duration running = aNow - *aWork.runningSince - aOutcome.openTime;
    time = std::clamp(running, Duration::zero(), time);
  } else {
    const auto usual = static_cast<double>(this->estimate.Expected(aWork.kind).count());
    slowness = static_cast<double>(time.count()) / std::max(1.0, usual);
  }
  this->limit.RecordAnswer(slowness, this->IsFull());
  this->estimate.Record(aWork.kind, time);
}

void ServerAdmission::UpdateUtilisation(Instant aNow)
{
  const auto atServer = static_cast<double>(this->inFlight.size() + this->waiting.size());
  this->utilisation.Set(aNow, atServer / this->slots);
}

WorkAhead ServerAdmission::WorkAheadOf(LevelNumber aLevel) const
{
  WorkAhead ahead;
  ahead.startsPerTurn = kStartsPerTurn;
  std::size_t higherCount = 0;
  for (const auto& [number, level] : this->levels) {
    if (number < aLevel) {
      ahead.higherWork += level.Work();
      higherCount += level.Count();
    } else if (number > aLevel) {
      ahead.lowerWork += level.Work();
      ++ahead.lowerLevels;
    } else {
      ahead.startsMissed = level.StartsMissed();
    }
  }
  if (higherCount > 0) {
    ahead.averageHigherCost = ahead.higherWork / static_cast<Duration::rep>(higherCount);
  }
  return ahead;
}

/** Expected time until one of the statements at the server ends: with n of them at random points of
    their run, an n+1-th of their average time. */
Duration ServerAdmission::UntilNextStart() const
{
  Duration cost{ 0 };
  for (const InFlight& work : this->inFlight) {
    cost += work.cost;
  }
  const auto count = static_cast<Duration::rep>(this->inFlight.size());
  return count == 0 ? Duration::zero() : cost / count / (1 + this->BusySlots());
}

/** Number of statements that the server probably runs. */
unsigned ServerAdmission::BusySlots() const
{
  return static_cast<unsigned>(
    std::count_if(this->inFlight.begin(), this->inFlight.end(), [](const InFlight& aWork) {
      return aWork.runningSince.has_value();
    }));
}

} // namespace mustardshift::proxy
