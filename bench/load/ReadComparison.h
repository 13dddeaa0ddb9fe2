#pragma once

#include "load/LatencyHistogram.h"

#include <cstddef>
#include <string>

namespace mustardshift::bench {

/** Times of the same read, taken in turns. Both include the added distance. */
struct ReadComparisonResult
{
  LatencyHistogram direct;
  LatencyHistogram proxied;
  std::size_t failures = 0;
  /** Why the daemon refused the first read that it refused. */
  std::string firstRefusal;
};

/** Reads a key in turns at a database server and through a daemon, one request at a time, with
    aDistance slept before each. Thread safety: may be called from any thread. */
ReadComparisonResult CompareReads(const std::string& aDatabaseAddress,
                                  const std::string& aDaemonAddress,
                                  const std::string& aKey,
                                  const std::string& aRoute,
                                  std::size_t aCount,
                                  Duration aDistance);

} // namespace mustardshift::bench
