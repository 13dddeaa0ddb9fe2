#pragma once

#include "core/base/Instant.h"

#include <optional>

namespace mustardshift {

/** Token bucket whose rate and capacity may change at any time. Tokens appear only by the passing
    of time at the rate in force, and by Add(): a change of rate or capacity creates none.

    Thread safety: none; one thread owns the bucket. */
class TokenBucket
{
public:
  /** An empty bucket without rate or capacity. */
  TokenBucket() = default;

  /** @param aRate      tokens per second, not negative.
      @param aCapacity  largest number of tokens, not negative.
      @param aTokens    tokens to start with; more than aCapacity are cut to it.
      @param aNow       present time, from which the bucket fills. */
  TokenBucket(double aRate, double aCapacity, double aTokens, Instant aNow);

  /** Adds the tokens of the time that has passed. A time before an earlier one changes nothing. */
  void Refill(Instant aNow);

  /** Refills and takes aCount tokens, or takes none and returns false. */
  bool TryTake(Instant aNow, double aCount = 1);

  /** Refills up to aNow at the present rate, then changes rate (tokens per second) and capacity.
      Tokens above the new capacity are lost. */
  void SetRateAndCapacity(Instant aNow, double aRate, double aCapacity);

  /** Removes up to aCount tokens and returns how many were removed. */
  double Remove(double aCount);

  /** Adds tokens that another bucket gave up, at most up to the capacity. Precondition:
      aCount >= 0. */
  void Add(double aCount);

  /** Returns when aCount tokens will be there, which may be aNow, or nothing when they never will
      at the present rate and capacity. */
  std::optional<Instant> AvailableAt(Instant aNow, double aCount);

  /** Tokens as of the last call that was given a time. */
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
