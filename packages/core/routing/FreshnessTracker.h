#pragma once

#include "core/base/Instant.h"
#include "core/session/LogPosition.h"
#include "core/session/TermHistory.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace mustardshift {

/** Records log positions of a database's primary over time, to determine which log position a
    replica needs to have reached for its data to be at most of a given age.

    Memory is bounded: when aCapacity observations are stored, every second one is removed. Minimum
    positions returned after that may be higher than necessary but never too low.

    Thread safety: none. */
class FreshnessTracker
{
public:
  /** @param aMaxAge  largest age that will be requested; older observations are removed.
      @param aCapacity    maximum number of stored observations.
      Preconditions: aMaxAge >= 0, aCapacity >= 4. */
  explicit FreshnessTracker(Duration aMaxAge, std::size_t aCapacity = 256);

  /** Records a position that the primary reported.

      @param aSentAt  instant before the request for the report was sent. An observation that is not
                      later than the previous one by this instant is ignored.
      Precondition: a majority of the group, including the primary, reported the primary's term as
      its accepted term in answers to requests that were sent at or after aSentAt. Without this
      majority, the position may be that of a deposed primary, which does not show how old the data
      is. */
  void Observe(Instant aSentAt, LogPosition aPosition);

  /** Removes positions whose log entries were discarded by a promotion, because no server will ever
      hold them again.

      @param aPrimary  current position of the new primary.
      @param aHistory  term history of the new primary's log. */
  void RemoveDiscarded(LogPosition aPrimary, const TermHistory& aHistory);

  /** Returns the log position that a replica has to have reached for its data to be at most aAge
      old at aNow: the first position observed at or after aNow - aAge. Returns nothing if there is
      no such observation; the read then has to go to the primary. This is always the case for an
      age of zero.
      Precondition: aAge >= 0. */
  std::optional<LogPosition> MinimumPositionFor(Duration aAge, Instant aNow) const;

  /** Number of stored observations. */
  std::size_t Size() const { return this->observations.size(); }

private:
  struct Observation
  {
    Instant sentAt;
    LogPosition position;
  };

  Duration maxAge;
  std::size_t capacity;
  /** Sorted by sentAt, oldest first. */
  std::vector<Observation> observations;
};

} // namespace mustardshift
