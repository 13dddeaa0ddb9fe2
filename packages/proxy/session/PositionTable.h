#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/routing/FreshnessTracker.h"
#include "core/session/LogPosition.h"

#include <cstdint>
#include <map>
#include <optional>

namespace mustardshift::proxy {

/** Log positions of the groups' primaries, to turn the age that a read accepts into a position that
    a replica has to hold.

    Thread safety: none; one thread owns the object. */
class PositionTable
{
public:
  /** @param aMaxAge  largest age that will be asked for. */
  explicit PositionTable(Duration aMaxAge)
    : maxAge(aMaxAge)
  {
  }

  /** Notes a position that a server gave when it ran a statement that only the primary runs: a
      plain BEGIN, a write, or a commit of a transaction that wrote.
      @param aSentAt  instant before the statement was sent. */
  void Observe(const DatabaseName& aGroup, Instant aSentAt, LogPosition aPosition);

  /** Position that includes every commit acknowledged longer than aAge before aNow, or nothing when
      no recent observation shows one. */
  std::optional<LogPosition> MinPositionFor(const DatabaseName& aGroup,
                                            Duration aAge,
                                            Instant aNow) const;

  /** A position that the primary had at an instant. */
  struct Observation
  {
    Instant sentAt{};
    LogPosition position;
  };

  /** The observation of the latest instant. */
  std::optional<Observation> Latest(const DatabaseName& aGroup) const;
  /** Instant of the latest observation. */
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
