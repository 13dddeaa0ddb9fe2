#include "proxy/admission/WorkAhead.h"

#include <algorithm>

namespace mustardshift::proxy {

Duration WorkAhead::Before(Duration aOwnWork, std::size_t aOwnStarts) const
{
  // Higher levels go first, but of startsPerTurn starts this level gets one.
  const auto turns = static_cast<Duration::rep>(aOwnStarts + 1);
  const auto missed = static_cast<Duration::rep>(this->startsMissed);
  const Duration::rep startsAhead =
    std::max<Duration::rep>(0, (this->startsPerTurn - 1) * turns - missed);
  const Duration higher = std::min(this->higherWork, startsAhead * this->averageHigherCost);
  // Each lower level gets one start in startsPerTurn.
  const Duration first = aOwnWork + higher;
  const unsigned firstStarts = std::max(1U, this->startsPerTurn - this->lowerLevels);
  const Duration lower = std::min(this->lowerWork, first * this->lowerLevels / firstStarts);
  return first + lower;
}

} // namespace mustardshift::proxy
