#pragma once

#include "core/base/Instant.h"

namespace mustardshift::proxy {

/** A statement that has not run and might be tried again. */
struct RetryRequest
{
  /** How often it was sent. */
  unsigned attempts = 1;
  /** The latest instant at which a further attempt may start. */
  Instant startBy{};
  /** The server rejected it as busy, or its gateway refused it. */
  bool wasRejectedAsBusy = false;
  /** The next attempt goes to a server that was tried already. */
  bool isSameServer = false;
  /** Expected wait at the server of the next attempt. */
  Duration expectedWait{ 0 };
  /** Random number in [0, 1) that spreads the attempts of many statements. */
  double draw = 0;
};

} // namespace mustardshift::proxy
