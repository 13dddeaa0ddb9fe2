#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/routing/FreshnessTracker.h"
#include "core/session/LogPosition.h"

#include <cstdint>
#include <map>
#include <optional>

namespace mustardshift::proxy {

/** Log positions of the groups' primaries. Translates the staleness that a read accepts into the
    minimum log position that the log of a replica has to contain.

    Thread safety: none; one thread owns the object. */
class PositionTable
{
public:
  /** @param aMaxAge  largest age that is passed to MinimumPositionFor(). */
  explicit PositionTable(Duration aMaxAge)
    : maxAge(aMaxAge)
  {
  }

  /** Records a position that a server returned when it ran a statement that only the primary runs:
      a plain BEGIN, a write, or a commit of a transaction that wrote.
      @param aSentAt  instant before the statement was sent. */
  void Observe(const DatabaseName& aGroup, Instant aSentAt, LogPosition aPosition);

  /** Position that includes every commit that was acknowledged more than aAge before aNow, or
      nothing when there is no observation recent enough to give one. */
  std::optional<LogPosition> MinimumPositionFor(const DatabaseName& aGroup,
                                                Duration aAge,
                                                Instant aNow) const;

  /** A position of the primary's log and the instant before the statement that returned it was
      sent. */
  struct Observation
  {
    Instant sentAt{};
    LogPosition position;
  };

  /** The observation with the latest instant, or nothing when there is none. */
  std::optional<Observation> Latest(const DatabaseName& aGroup) const;
  /** Instant of the latest observation, or nothing when there is none. */
  std::optional<Instant> LastObserved(const DatabaseName& aGroup) const;

private:
  struct Entry
  {
    FreshnessTracker tracker;
    Observation latest;
  };

  Duration maxAge;
  std::map<DatabaseName, Entry> entries;
};

} // namespace mustardshift::proxy
