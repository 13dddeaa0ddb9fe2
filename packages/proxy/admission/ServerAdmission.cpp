#include "proxy/admission/ServerAdmission.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace mustardshift::proxy {

namespace {

/** A request that waits is refused only if it starts too late even when the work ahead takes
    less than expected by this many times the average cost and the square root of the number of
    statements: single statements deviate from their average by about half of it. Without this
    margin 27 % of these refusals were wrong, with it 2 %
    (ServerAdmissionTest::RefusalsAreRight). */
constexpr double kDeviations = 0.7;
/** An arrival is refused if it would start too late when the wait takes this part of what the
    rate of its organisation's starts lets expect. */
constexpr int kForecastPercent = 80;
/** Answers that the expected times remember. With 20, an expected time was off by 6 % from the
    chance of the last answers; 50 still follow a change within half a second at 100 statements/s.
 */
constexpr unsigned kEstimateMemory = 50;
/** Answers after which a slow server counts as usual, and the limit grows again. */
constexpr unsigned kUsualTimesMemory = 200;
/** A server has stopped if no statement has ended for this many times the longest expected time. */
constexpr int kStallFactor = 5;
/** Priorities that Load() reports. */
constexpr unsigned kMaxReportedPriority = 7;

/** The least that work probably takes. */
Duration LeastWork(Duration aWork, Duration aAverageCost)
{
  const auto work = static_cast<double>(aWork.count());
  const auto cost = static_cast<double>(aAverageCost.count());
  const double least = work - kDeviations * std::sqrt((work + cost) * cost);
  return Duration(static_cast<Duration::rep>(std::max(0.0, least)));
}

} // namespace

ServerAdmission::ServerAdmission(unsigned aSlots)
  : slots(aSlots)
  , limit(aSlots, aSlots + kStartsBeyondSlots)
  , estimate(kEstimateMemory)
  , usualTimes(kUsualTimesMemory)
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
  this->levels[level].Insert(aNow, item);
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
  this->lastEndAt = aNow;
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

Duration ServerAdmission::ExpectedWait(Instant aNow, unsigned aPriority) const
{
  if (this->inFlight.size() < this->Servers()) {
    return Duration::zero();
  }
  const LevelNumber level = 1 + aPriority;
  const auto own = this->levels.find(level);
  Duration work =
    own == this->levels.end()
      ? this->WorkAheadOf(aNow, level).ExpectedBefore(Duration::zero(), 0)
      : this->WorkAheadOf(aNow, level).ExpectedBefore(own->second.Work(), own->second.Count());
  for (const InFlight& sent : this->inFlight) {
    work += sent.runningSince ? Duration::zero() : sent.cost;
  }
  return this->UntilNextStart() + this->StalledFor(aNow) + work / this->Servers();
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

std::vector<AdmissionTicket> ServerAdmission::StartOrder() const
{
  std::vector<AdmissionTicket> order;
  for (ServerAdmission rest(*this); !rest.levels.empty();) {
    order.push_back(rest.TakeNext(Instant{}));
  }
  return order;
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
    const AdmissionTicket ticket = this->TakeNext(aNow);
    const auto found = this->waiting.find(ticket);
    const Waiting& work = found->second;
    const bool hasWorkAhead = this->BusySlots() >= this->slots;
    this->inFlight.push_back({ ticket,
                               work.kind,
                               work.item.cost,
                               hasWorkAhead ? std::nullopt : std::optional(aNow),
                               hasWorkAhead });
    this->startRates[work.level].RecordStart(aNow, work.item.cost);
    this->startTimes.erase({ work.item.startBy, ticket });
    this->waiting.erase(found);
    aDecisions.admitted.push_back(ticket);
  }
  this->UpdateUtilisation(aNow);
}

/** Removes the request that starts next from its level. Precondition: one waits. */
AdmissionTicket ServerAdmission::TakeNext(Instant aNow)
{
  const auto level = this->LevelToServe();
  const AdmissionTicket ticket = level->second.Entries().begin()->first.second;
  level->second.TakeFirst(aNow, this->waiting.at(ticket).item);
  this->CountStart(level->first);
  if (level->second.IsEmpty()) {
    this->levels.erase(level);
  }
  return ticket;
}

/** The first level, unless a later one has missed as many starts as it may. */
ServerAdmission::Levels::iterator ServerAdmission::LevelToServe()
{
  const unsigned mayMiss = MayMiss(this->levels.size());
  const auto mostMissed = std::max_element(
    std::next(this->levels.begin()), this->levels.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.StartsMissed() < aOther.second.StartsMissed();
    });
  const bool isDue =
    mostMissed != this->levels.end() && mostMissed->second.StartsMissed() >= mayMiss;
  return isDue ? mostMissed : this->levels.begin();
}

/** Starts that a level may miss while a number of levels wait. Several can be due at once, so
    each comes one start earlier for each other one. */
unsigned ServerAdmission::MayMiss(std::size_t aLevelCount)
{
  const std::size_t others = std::max<std::size_t>(aLevelCount, 1) - 1;
  return kStartsPerTurn - static_cast<unsigned>(std::min<std::size_t>(others, kStartsPerTurn));
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
  this->RefuseSlowArrivals(aNow, aDecisions);
  std::vector<LevelNumber> numbers;
  for (const auto& [number, level] : this->levels) {
    numbers.push_back(number);
  }
  // From the highest level down: what is refused there no longer goes before the others.
  for (const LevelNumber number : numbers) {
    for (const AdmissionTicket ticket : this->FindLateStarts(aNow, number)) {
      this->Refuse(ticket,
                   this->IsArrival(ticket) ? AdmissionRefusalReason::TooMuchAhead
                                           : AdmissionRefusalReason::Displaced,
                   aDecisions);
    }
  }
}

/** Refuses new work that would wait too long at the rate at which its organisation's work
    starts. Later arrivals that go first take their part of that rate: other organisations of
    the level, and higher levels. */
void ServerAdmission::RefuseSlowArrivals(Instant aNow, AdmissionDecisions& aDecisions)
{
  for (const AdmissionTicket ticket : this->arrivals) {
    const auto found = this->waiting.find(ticket);
    if (found == this->waiting.end()) {
      continue;
    }
    const Waiting& work = found->second;
    const auto wait = this->levels.at(work.level).ExpectedWait(work.item);
    if (wait && aNow + *wait * kForecastPercent / 100 > work.item.startBy) {
      this->Refuse(ticket, AdmissionRefusalReason::TooMuchAhead, aDecisions);
    }
  }
}

/** Returns the requests of a level that can't start in time, given those before them that can. */
std::vector<AdmissionTicket> ServerAdmission::FindLateStarts(Instant aNow, LevelNumber aLevel) const
{
  const WaitingLevel& level = this->levels.at(aLevel);
  const WorkAhead ahead = this->WorkAheadOf(aNow, aLevel);
  const Duration averageCost = level.Work() / static_cast<Duration::rep>(level.Count());
  // The next statement at the server may end at any moment.
  const auto earliestStart = [&](Duration aOwnWork, std::size_t aOwnStarts) {
    return aNow + LeastWork(ahead.Before(aOwnWork, aOwnStarts), averageCost) / this->Servers();
  };
  std::vector<AdmissionTicket> late;
  if (earliestStart(level.Work(), level.Count()) <= level.EarliestStartBy()) {
    return late;
  }
  Duration ownWork{ 0 };
  std::size_t ownStarts = 0;
  for (const auto& [key, entry] : level.Entries()) {
    if (earliestStart(ownWork, ownStarts) > entry.startBy) {
      late.push_back(key.second);
    } else {
      ownWork += entry.cost;
      ++ownStarts;
    }
  }
  return late;
}

bool ServerAdmission::IsArrival(AdmissionTicket aTicket) const
{
  return std::find(this->arrivals.begin(), this->arrivals.end(), aTicket) != this->arrivals.end();
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
  // Time behind work of ours doesn't count.
  const Duration running = aNow - *aWork.runningSince - aOutcome.openTime;
  const Duration time = aWork.hadWorkAhead
                          ? std::clamp(running, Duration::zero(), aOutcome.serverTime)
                          : aOutcome.serverTime;
  const auto usual = static_cast<double>(this->usualTimes.Expected(aWork.kind).count());
  const double slowness = static_cast<double>(time.count()) / std::max(1.0, usual);
  this->limit.RecordAnswer(slowness, this->IsFull());
  this->estimate.Record(aWork.kind, time);
  this->usualTimes.Record(aWork.kind, time);
}

void ServerAdmission::UpdateUtilisation(Instant aNow)
{
  const auto atServer = static_cast<double>(this->inFlight.size() + this->waiting.size());
  this->utilisation.Set(aNow, atServer / this->slots);
}

WorkAhead ServerAdmission::WorkAheadOf(Instant aNow, LevelNumber aLevel) const
{
  WorkAhead ahead;
  ahead.mayMiss = MayMiss(this->levels.size() + (this->levels.contains(aLevel) ? 0 : 1));
  std::size_t lowerCount = 0;
  for (const auto& [number, level] : this->levels) {
    if (number < aLevel) {
      ahead.higherWork += level.Work();
    } else if (number > aLevel) {
      ahead.lowerWork += level.Work();
      lowerCount += level.Count();
      ++ahead.lowerLevels;
    } else {
      ahead.startsMissed = level.StartsMissed();
    }
  }
  if (lowerCount > 0) {
    ahead.averageLowerCost = ahead.lowerWork / static_cast<Duration::rep>(lowerCount);
  }
  double higherRate = 0;
  for (const auto& [number, rate] : this->startRates) {
    if (number < aLevel) {
      higherRate += rate.WorkPerTime(aNow);
      ahead.averageHigherCost = std::max(ahead.averageHigherCost, rate.AverageCost());
    }
  }
  ahead.higherShare = std::min(1.0, higherRate / this->Servers());
  return ahead;
}

/** Expected time until one of the statements at the server ends: with n of them at random
    points of their run, an n+1-th of their average time. */
Duration ServerAdmission::UntilNextStart() const
{
  Duration cost{ 0 };
  for (const InFlight& work : this->inFlight) {
    cost += work.cost;
  }
  const auto count = static_cast<Duration::rep>(this->inFlight.size());
  return count == 0 ? Duration::zero() : cost / count / (1 + this->BusySlots());
}

/** For how long no statement has ended, if that is much longer than usual; a server that has
    stopped goes on when nobody knows. */
Duration ServerAdmission::StalledFor(Instant aNow) const
{
  Duration longestCost{ 0 };
  Instant since = this->lastEndAt;
  for (const InFlight& work : this->inFlight) {
    longestCost = std::max(longestCost, work.cost);
    since = std::max(since, work.runningSince.value_or(since));
  }
  const Duration stalled = aNow - since;
  return stalled > kStallFactor * longestCost ? stalled : Duration::zero();
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
