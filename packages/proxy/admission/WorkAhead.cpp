#include "proxy/admission/WorkAhead.h"

#include <algorithm>

namespace mustardshift::proxy {

namespace {

/** Smallest part of the server's time that higher levels are assumed to leave. */
constexpr double kMinShareLeft = 0.01;

} // namespace

Duration WorkAhead::Before(Duration aOwnWork, std::size_t aOwnStarts) const
{
  return this->Before(aOwnWork, aOwnStarts, this->higherWork);
}

Duration WorkAhead::ExpectedBefore(Duration aOwnWork, std::size_t aOwnStarts) const
{
  // What arrives during the wait takes its part of the wait.
  const double shareLeft = std::max(kMinShareLeft, 1 - this->higherShare);
  const auto present = static_cast<double>((aOwnWork + this->higherWork).count());
  const Duration arriving(static_cast<Duration::rep>(present * this->higherShare / shareLeft));
  return this->Before(aOwnWork, aOwnStarts, this->higherWork + arriving);
}

Duration WorkAhead::Before(Duration aOwnWork, std::size_t aOwnStarts, Duration aHigherWork) const
{
  // Higher levels go first until this level has missed as many starts as it may.
  const auto turns = static_cast<Duration::rep>(aOwnStarts + 1);
  const Duration::rep startsAhead = std::max<Duration::rep>(
    0, this->mayMiss * turns - static_cast<Duration::rep>(this->startsMissed));
  const Duration first = aOwnWork + std::min(aHigherWork, startsAhead * this->averageHigherCost);
  // Lower levels get their starts in the same way; their first turns don't come at once.
  const unsigned firstStarts = std::max(1U, this->mayMiss + 1 - this->lowerLevels);
  const Duration lower = first * this->lowerLevels / firstStarts - this->averageLowerCost;
  return first + std::clamp(lower, Duration::zero(), this->lowerWork);
}

} // namespace mustardshift::proxy
