#pragma once

#include "core/base/Instant.h"

#include <cstddef>

namespace mustardshift::proxy {

/** Time limits and retry limits of sessions. */
struct SessionLimits
{
  /** Subtracted from a route's maxStaleness to allow for differences between clocks. */
  Duration stalenessMargin = std::chrono::milliseconds(100);
  /** Longest wait for a connection, as a fraction of the statement's time limit. */
  double connectionWaitFraction = 0.5;
  /** A read is retried on another server or connection when its server has answered no statement
      for this long. */
  Duration unresponsiveServerTimeout = std::chrono::milliseconds(250);
  /** Delay before a statement that the server refused as busy is sent again. */
  Duration busyRetryDelay = std::chrono::milliseconds(10);
  /** A primary that is draining, or whose failure domain is out of service, still receives
      statements for this long, so that it can be replaced first. */
  Duration drainingPrimaryGrace = std::chrono::milliseconds(3500);
  /** Maximum number of attempts to run one statement. */
  unsigned maxAttempts = 5;
  /** Most bytes of session variables and prepared statements in one session. */
  std::size_t sessionStateBytes = std::size_t(4) << 20;
};

} // namespace mustardshift::proxy
