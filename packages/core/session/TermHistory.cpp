#include "core/session/TermHistory.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

TermHistory::TermHistory(std::vector<TermStart> aStarts)
  : starts(std::move(aStarts))
{
  std::erase_if(this->starts, [](const TermStart& aStart) { return aStart.term == 0; });
  const auto isBefore = [](const TermStart& aLeft, const TermStart& aRight) {
    return aLeft.term != aRight.term ? aLeft.term < aRight.term
                                     : aLeft.firstOffset < aRight.firstOffset;
  };
  std::sort(this->starts.begin(), this->starts.end(), isBefore);
  const auto isSameTerm = [](const TermStart& aLeft, const TermStart& aRight) {
    return aLeft.term == aRight.term;
  };
  this->starts.erase(std::unique(this->starts.begin(), this->starts.end(), isSameTerm),
                     this->starts.end());
}

bool TermHistory::Holds(LogPosition aServer, LogPosition aMinimumPosition) const
{
  if (aMinimumPosition.offset == 0) {
    return true;
  }
  if (aServer.term < aMinimumPosition.term || aServer.offset < aMinimumPosition.offset) {
    return false;
  }
  if (aServer.term == aMinimumPosition.term) {
    return true;
  }
  const auto isBelow = [](const TermStart& aStart, std::uint64_t aTerm) {
    return aStart.term < aTerm;
  };
  const auto minimumPositionTerm =
    std::lower_bound(this->starts.begin(), this->starts.end(), aMinimumPosition.term, isBelow);
  const auto serverTerm =
    std::lower_bound(minimumPositionTerm, this->starts.end(), aServer.term, isBelow);
  if (minimumPositionTerm == this->starts.end() ||
      minimumPositionTerm->term != aMinimumPosition.term || serverTerm == this->starts.end() ||
      serverTerm->term != aServer.term) {
    return false;
  }
  // Each later term may have truncated the log at its start, so the position has to lie before the
  // starts of all terms from the next one up to the server's term.
  return std::all_of(
    std::next(minimumPositionTerm), std::next(serverTerm), [&](const TermStart& aStart) {
      return aMinimumPosition.offset < aStart.firstOffset;
    });
}

} // namespace mustardshift
