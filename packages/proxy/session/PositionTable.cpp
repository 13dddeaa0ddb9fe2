#include "proxy/session/PositionTable.h"

namespace mustardshift::proxy {

void PositionTable::Observe(const DatabaseName& aGroup, Instant aSentAt, LogPosition aPosition)
{
  const Entry initial{ FreshnessTracker(this->maxAge), { aSentAt, aPosition } };
  Entry& entry = this->entries.try_emplace(aGroup, initial).first->second;
  if (aPosition.term < entry.latest.position.term) {
    return;
  }
  if (aPosition.term > entry.latest.position.term) {
    // Positions of the previous term may have been truncated, so that no server would ever reach
    // them. The first position of the new term includes all entries that remain.
    entry = initial;
  }
  entry.tracker.Observe(aSentAt, aPosition);
  if (aSentAt > entry.latest.sentAt) {
    entry.latest = { aSentAt, aPosition };
  }
}

std::optional<LogPosition> PositionTable::MinimumPositionFor(const DatabaseName& aGroup,
                                                             Duration aAge,
                                                             Instant aNow) const
{
  const auto entry = this->entries.find(aGroup);
  if (entry == this->entries.end()) {
    return std::nullopt;
  }
  return entry->second.tracker.MinimumPositionFor(aAge, aNow);
}

std::optional<PositionTable::Observation> PositionTable::Latest(const DatabaseName& aGroup) const
{
  const auto entry = this->entries.find(aGroup);
  if (entry == this->entries.end()) {
    return std::nullopt;
  }
  return entry->second.latest;
}

std::optional<Instant> PositionTable::LastObserved(const DatabaseName& aGroup) const
{
  const std::optional<Observation> latest = this->Latest(aGroup);
  return latest ? std::optional(latest->sentAt) : std::nullopt;
}

} // namespace mustardshift::proxy
