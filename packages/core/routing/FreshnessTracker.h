#pragma once

#include "core/base/Instant.h"
#include "core/session/LogPosition.h"
#include "core/session/TermHistory.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace mustardshift {

/** Remembers positions of a database's primary, to turn an age of data into a log position.

    Memory is bounded: when aCapacity observations are held, every second one is forgotten, which
    makes later floors higher than necessary but never too low.

    Thread safety: none. */
class FreshnessTracker
{
public:
  /** @param aLongestAge  largest age that will be asked for; older observations are forgotten.
      Preconditions: aLongestAge >= 0, aCapacity >= 4. */
  explicit FreshnessTracker(Duration aLongestAge, std::size_t aCapacity = 256);

  /** Notes a position that the primary reported.

      @param aSentAt  instant before the request for the report was sent. Observations that arrive
                      out of order of this instant are ignored.
      Precondition: a majority of the group, the primary included, reported the primary's term as
      accepted in answers to requests that were sent at or after aSentAt. A deposed primary's
      position alone says nothing about the age of the data. */
  void Observe(Instant aSentAt, LogPosition aPosition);

  /** Forgets positions that a promotion cut off, which no server will ever hold again.

      @param aPrimary  present position of the new primary.
      @param aHistory  history of the new primary's log. */
  void ForgetDiscarded(LogPosition aPrimary, const TermHistory& aHistory);

  /** Position that data has to include to be at most aAge old at aNow: the first position observed
      at or after aNow - aAge. Nothing when there is no such observation; the read then has to go to
      the primary. An age of zero therefore always leads to the primary.
      Precondition: aAge >= 0. */
  std::optional<LogPosition> MinimumPositionFor(Duration aAge, Instant aNow) const;

  std::size_t Size() const { return this->observations.size(); }

private:
  struct Observation
  {
    Instant sentAt;
    LogPosition position;
  };

  Duration longestAge;
  std::size_t capacity;
  /** In ascending order of sentAt. */
  std::vector<Observation> observations;
};

} // namespace mustardshift
