#pragma once

#include "core/base/Instant.h"

namespace mustardshift::proxy {

/** Thresholds of OutlierDetector. */
struct OutlierOptions
{
  /** Smallest target latency of the group's routes. A server counts as slow only if its average
      takes more than half of it: below, callers don't notice. */
  Duration targetLatency = std::chrono::milliseconds(100);
  /** Failures in succession after which a server is ejected. */
  unsigned consecutiveFailures = 5;
  /** Part of the answers that fail from which on a server is ejected; callers need 0.95 served,
      and a retry costs them time. */
  double failureRatio = 0.1;
  /** First ejection; doubles with each further one, up to maxEjection. */
  Duration baseEjection = std::chrono::milliseconds(500);
  Duration maxEjection = std::chrono::seconds(16);
};

} // namespace mustardshift::proxy
