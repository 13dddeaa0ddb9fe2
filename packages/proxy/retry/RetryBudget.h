#pragma once

#include "core/base/Instant.h"
#include "proxy/retry/RetryRequest.h"

#include <optional>

namespace mustardshift::proxy {

/** Limits the retries of one VM to a fraction of what succeeded lately, with a small floor, so that
    retries don't multiply an overload.

    Thread safety: none; one thread owns the object. */
class RetryBudget
{
public:
  /** Retries for each statement that succeeded lately. */
  static constexpr double kFraction = 0.1;
  /** Successes count for about this long. */
  static constexpr Duration kMemory = std::chrono::seconds(10);
  /** Retries per second without any success, so that a VM with few statements retries after a
      single fault. */
  static constexpr double kFloorPerSecond = 1;
  /** Retries that the floor lets through at once. */
  static constexpr double kFloorBurst = 3;
  /** A statement is sent at most this many times. */
  static constexpr unsigned kMaxAttempts = 5;
  /** Shortest time between two attempts at one server. */
  static constexpr Duration kMinDelay = std::chrono::milliseconds(5);

  void RecordSuccess(Instant aNow);

  /** Decides whether a statement that has not run is tried again, and takes the retry from the
      budget. Returns the instant of the next attempt; nothing if attempts, time or budget have
      ended, or if the next server would refuse it. */
  std::optional<Instant> Plan(Instant aNow, const RetryRequest& aRequest);

  /** Retries that the budget would allow now. */
  double Available(Instant aNow) const;

private:
  double DecayedTokens(Instant aNow) const;
  double FloorTokens(Instant aNow) const;

  double earned = 0;
  double floorTokens = kFloorBurst;
  Instant changedAt{};
};

} // namespace mustardshift::proxy
