#include "proxy/session/PositionTable.h"

#include <algorithm>

namespace mustardshift::proxy {

void PositionTable::Observe(const DatabaseName& aGroup, Instant aSentAt, LogPosition aPosition)
{
  const auto [entry, isNew] = this->entries.try_emplace(
    aGroup, Entry{ aPosition.term, FreshnessTracker(this->longestAge), aSentAt });
  if (aPosition.term < entry->second.term) {
    return;
  }
  if (aPosition.term > entry->second.term) {
    // Positions of the ended term may have been cut off, and no server would ever reach them. The
    // first position of the new term includes whatever is left of them.
    entry->second = Entry{ aPosition.term, FreshnessTracker(this->longestAge), aSentAt };
  }
  entry->second.tracker.Observe(aSentAt, aPosition);
  entry->second.last = std::max(entry->second.last, aSentAt);
}

std::optional<LogPosition> PositionTable::FloorFor(const DatabaseName& aGroup,
                                                   Duration aAge,
                                                   Instant aNow) const
{
  const auto entry = this->entries.find(aGroup);
  if (entry == this->entries.end()) {
    return std::nullopt;
  }
  return entry->second.tracker.FloorFor(aAge, aNow);
}

std::optional<Instant> PositionTable::LastObserved(const DatabaseName& aGroup) const
{
  const auto entry = this->entries.find(aGroup);
  if (entry == this->entries.end()) {
    return std::nullopt;
  }
  return entry->second.last;
}

} // namespace mustardshift::proxy
