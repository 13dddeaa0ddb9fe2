#pragma once

#include "core/base/Instant.h"

namespace mustardshift::proxy {

/** Time limits of the session engine. */
struct SessionTimings
{
  /** Taken off a route's bound on age, for clocks that don't run quite alike. */
  Duration stalenessMargin = std::chrono::milliseconds(100);
  /** Longest wait for a connection, as a part of the statement's time limit. */
  double connectionWaitFraction = 0.5;
  /** A read whose server has answered nobody for this long is tried elsewhere. */
  Duration unresponsiveServerTimeout = std::chrono::milliseconds(250);
  /** Pause before a statement that the server was too busy for is sent again. */
  Duration busyRetryDelay = std::chrono::milliseconds(10);
  /** A leaving server that leads its group keeps its work for this long, until it is replaced. */
  Duration drainingPrimaryGrace = std::chrono::milliseconds(3500);
  /** Most attempts of one statement. */
  unsigned maxTries = 5;
};

} // namespace mustardshift::proxy
