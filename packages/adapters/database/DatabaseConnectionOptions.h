#pragma once

#include "adapters/timer/DeadlineTimer.h"
#include "core/base/Instant.h"
#include "core/base/Outcome.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace mustardshift {

/** Settings of one DatabaseConnection. */
struct DatabaseConnectionOptions
{
  /** Largest request frame; a larger one is refused with StatementInvalid and never sent. It has to
      stay below the 4 MiB that gRPC accepts by default. */
  static constexpr std::size_t kMaximumFrameBytes = std::size_t{ 1 } << 20;

  /** Time within which the server has to accept the connection. */
  Duration openTimeout = std::chrono::seconds(1);
  /** Identifies the calling process to the server; may be empty. */
  std::string userAgent;
  /** Called exactly once: when the server has accepted the connection, or with the refusal
      ConnectionFailed (not run). May be empty. */
  std::function<void(Outcome<void>)> onOpened;
  /** Called exactly once, after the connection stopped being usable, also when it never opened or
      was closed by its owner. May be empty. */
  std::function<void()> onClosed;
  /** Timer that measures timeouts and delivers refusals; it has to outlive the connection. */
  DeadlineTimer* timer = &DeadlineTimer::Shared();
};

} // namespace mustardshift
