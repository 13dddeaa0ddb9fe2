#pragma once

#include "core/base/Instant.h"

#include <cstddef>

namespace mustardshift::proxy {

/** Work of other levels that starts before or between the requests of one level. Estimates how
    much work the server does before a request of the level starts.

    Thread safety: a value type. */
struct WorkAhead
{
  /** Work of the levels that go first, and its average cost. */
  Duration higherWork{ 0 };
  Duration averageHigherCost{ 0 };
  /** Part of the server's time that these levels have taken lately, between 0 and 1. */
  double higherShare = 0;
  /** Work of the levels that go later, its average cost, and their number. */
  Duration lowerWork{ 0 };
  Duration averageLowerCost{ 0 };
  unsigned lowerLevels = 0;
  /** Starts of other levels that the level may miss before it gets one. */
  unsigned mayMiss = 0;
  /** Starts since the level began to wait or had its last start. */
  unsigned startsMissed = 0;

  /** Work that starts before a request of the level if nothing else arrives.
      @param aOwnWork  work of the level before the request.
      @param aOwnStarts  number of starts of the level before the request. */
  Duration Before(Duration aOwnWork, std::size_t aOwnStarts) const;

  /** As Before(), if the levels that go first take the same part of the server's time as lately. */
  Duration ExpectedBefore(Duration aOwnWork, std::size_t aOwnStarts) const;

private:
  Duration Before(Duration aOwnWork, std::size_t aOwnStarts, Duration aHigherWork) const;
};

} // namespace mustardshift::proxy
