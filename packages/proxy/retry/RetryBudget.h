#pragma once

#include "core/base/Instant.h"
#include "proxy/retry/RetryRequest.h"

#include <optional>

namespace mustardshift::proxy {

/** Limits the retries of one VM to a fraction of what succeeded lately, with a small floor, so
    that retries don't multiply an overload.

    Thread safety: none; one thread owns the object. */
class RetryBudget
{
public:
  /** Retries for each statement that succeeded lately. */
  static constexpr double kFraction = 0.1;
  /** A success counts with a weight of 1/e after this time. */
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

  /** Decides whether a statement that has not run is tried again, and if so takes the retry
      from the budget. Returns the instant of the next attempt; nothing if attempts, time or
      budget have ended, or if a server that is known to be full would be next for what another
      rejected as busy. The delay before an attempt is half to all of the expected wait of the
      server. Precondition: the statement has not run, or is a read. */
  std::optional<Instant> Plan(Instant aNow, const RetryRequest& aRequest);

  /** Number of retries that the budget allows now. */
  double Available(Instant aNow) const;

private:
  void Advance(Instant aNow);
  double EarnedAt(Instant aNow) const;
  double FloorAt(Instant aNow) const;

  double earned = 0;
  double floor = kFloorBurst;
  Instant changedAt{};
};

} // namespace mustardshift::proxy
