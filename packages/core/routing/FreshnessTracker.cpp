#include "core/routing/FreshnessTracker.h"

#include "core/base/Assert.h"

#include <algorithm>

namespace mustardshift {

FreshnessTracker::FreshnessTracker(Duration aMaxAge, std::size_t aCapacity)
  : maxAge(aMaxAge)
  , capacity(aCapacity)
{
  MUSTARDSHIFT_ASSERT(aMaxAge >= Duration::zero());
  MUSTARDSHIFT_ASSERT(aCapacity >= 4);
}

void FreshnessTracker::Observe(Instant aSentAt, LogPosition aPosition)
{
  if (!this->observations.empty()) {
    Observation& last = this->observations.back();
    if (aSentAt <= last.sentAt) {
      return;
    }
    if (aPosition == last.position) {
      last.sentAt = aSentAt;
      return;
    }
  }
  std::erase_if(this->observations, [&](const Observation& aObservation) {
    return aSentAt - aObservation.sentAt > this->maxAge;
  });
  if (this->observations.size() >= this->capacity) {
    std::size_t kept = 0;
    for (std::size_t i = 1; i < this->observations.size(); i += 2) {
      this->observations[kept++] = this->observations[i];
    }
    this->observations.resize(kept);
  }
  this->observations.push_back({ aSentAt, aPosition });
}

void FreshnessTracker::RemoveDiscarded(LogPosition aPrimary, const TermHistory& aHistory)
{
  std::erase_if(this->observations, [&](const Observation& aObservation) {
    return aObservation.position.term < aPrimary.term &&
           !aHistory.Holds(aPrimary, aObservation.position);
  });
}

std::optional<LogPosition> FreshnessTracker::MinimumPositionFor(Duration aAge, Instant aNow) const
{
  MUSTARDSHIFT_ASSERT(aAge >= Duration::zero());
  const auto found = std::lower_bound(
    this->observations.begin(),
    this->observations.end(),
    aNow - aAge,
    [](const Observation& aObservation, Instant aTime) { return aObservation.sentAt < aTime; });
  if (found == this->observations.end()) {
    return std::nullopt;
  }
  return found->position;
}

} // namespace mustardshift
