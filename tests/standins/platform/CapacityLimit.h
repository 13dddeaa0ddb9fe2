#pragma once

#include "core/base/Instant.h"

#include <chrono>
#include <mutex>
#include <optional>

namespace mustardshift::standin {

/** Token bucket that delays calls beyond a rate. Thread safety: may be used from any thread. */
class CapacityLimit
{
public:
  /** @param aRate   calls per second.
      @param aBurst  calls that may start at once after a pause. */
  CapacityLimit(double aRate, double aBurst);

  /** Reserves a place and returns how long the call has to wait; nothing when the wait would exceed
      kLongestDelay, in which case no place is reserved. */
  std::optional<Duration> Reserve();

  static constexpr Duration kLongestDelay = std::chrono::seconds(5);

private:
  using Clock = std::chrono::steady_clock;

  std::mutex mutex;
  double rate;
  double burst;
  /** Falls below zero while calls wait. */
  double tokens;
  Clock::time_point updated;
};

} // namespace mustardshift::standin
