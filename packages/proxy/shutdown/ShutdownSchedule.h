#pragma once

#include "core/base/Instant.h"

namespace mustardshift::proxy {

/** Times of the steps of a planned stop. Each step is at or after the one before it. */
struct ShutdownSchedule
{
  /** Time after which the load balancer sends no more clients to a VM that is not ready. It removes
      a VM after two failed probes, one second apart. */
  static constexpr Duration kLoadBalancerRemovalDelay = std::chrono::milliseconds(2200);
  /** The process exits this long before the end of the grace period if no client expects an answer
      by then. */
  static constexpr Duration kExitMargin = std::chrono::milliseconds(700);
  /** All statements are refused from this long before the exit on: the longest time of nearly all
      statements. */
  static constexpr Duration kRefusalLead = std::chrono::milliseconds(1000);
  /** Statements that are still running this long before the end of the grace period are ended with
      an answer. */
  static constexpr Duration kLastAnswerMargin = std::chrono::milliseconds(300);
  /** The process exits this long before the end of the grace period in any case. */
  static constexpr Duration kForcedExitMargin = std::chrono::milliseconds(200);

  /** Idle sessions are closed from then on; their clients reconnect to other VMs. */
  Instant closeIdleAt{};
  /** Statements are refused from then on, also those of open transactions. */
  Instant refuseAt{};
  /** The process exits once no client expects an answer. */
  Instant exitAt{};
  /** Statements that are still running are ended with an answer. */
  Instant answerAt{};
  /** The process exits even if answers could not be delivered. */
  Instant forcedExitAt{};
};

/** Returns the schedule of a stop that was requested at aRequestedAt, for a process that is killed
    aGracePeriod later. Steps that don't fit into a short grace period are due at once.
    Thread safety: pure. */
ShutdownSchedule MakeShutdownSchedule(Instant aRequestedAt, Duration aGracePeriod);

} // namespace mustardshift::proxy
