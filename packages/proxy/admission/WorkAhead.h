#pragma once

#include "core/base/Instant.h"

#include <cstddef>

namespace mustardshift::proxy {

/** Work of other levels that starts before or between the requests of one level. Estimates how much
    work the server does before a request of the level starts.

    Thread safety: a value type. */
struct WorkAhead
{
  /** Work of the levels that go first, and its average cost. */
  Duration higherWork{ 0 };
  Duration averageHigherCost{ 0 };
  /** Work of the levels that go later, and their number. */
  Duration lowerWork{ 0 };
  unsigned lowerLevels = 0;
  /** Of this many starts, a level that waits gets at least one. */
  unsigned startsPerTurn = 1;
  /** Starts since the level began to wait or had its last start. */
  unsigned startsMissed = 0;

  /** Work that starts before a request of the level.
      @param aOwnWork  work of the level before the request.
      @param aOwnStarts  number of starts of the level before the request. */
  Duration Before(Duration aOwnWork, std::size_t aOwnStarts) const;
};

} // namespace mustardshift::proxy
