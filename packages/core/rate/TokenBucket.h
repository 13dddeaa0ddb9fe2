#pragma once

#include "core/base/Instant.h"

#include <optional>

namespace mustardshift {

/** Token bucket whose rate and capacity may change at any time. Tokens are created only by the
    passage of time at the current rate, and by Add(). A change of rate or capacity creates none.

    Thread safety: none; one thread owns the bucket. */
class TokenBucket
{
public:
  /** Creates an empty bucket with a rate and a capacity of zero. */
  TokenBucket() = default;

  /** @param aRate      tokens per second, not negative.
      @param aCapacity  maximum number of tokens, not negative.
      @param aTokens    initial number of tokens, not negative; limited to aCapacity.
      @param aNow       present time, from which the bucket refills. */
  TokenBucket(double aRate, double aCapacity, double aTokens, Instant aNow);

  /** Adds the tokens for the time since the last refill. Has no effect if aNow is not
      later than the last refill. */
  void Refill(Instant aNow);

  /** Refills, then takes aCount tokens and returns true, or takes none and returns false if there
      are fewer. Precondition: aCount >= 0. */
  bool TryTake(Instant aNow, double aCount = 1);

  /** Refills up to aNow at the current rate, then sets the rate (tokens per second) and the
      capacity. Tokens above the new capacity are discarded. Precondition: neither value is
      negative. */
  void SetRateAndCapacity(Instant aNow, double aRate, double aCapacity);

  /** Removes up to aCount tokens and returns how many were removed. */
  double Remove(double aCount);

  /** Adds tokens that another bucket gave up, up to the capacity. Precondition: aCount >= 0. */
  void Add(double aCount);

  /** Returns when the bucket will contain aCount tokens, which may be aNow, or nothing if it never
      will at the current rate and capacity, or only after more than 1e6 s. */
  std::optional<Instant> AvailableAt(Instant aNow, double aCount);

  /** Number of tokens at the time of the last refill or change. */
  double Tokens() const { return this->tokens; }
  double Rate() const { return this->rate; }
  double Capacity() const { return this->capacity; }

private:
  double rate = 0;
  double capacity = 0;
  double tokens = 0;
  Instant lastRefill{};
};

} // namespace mustardshift
