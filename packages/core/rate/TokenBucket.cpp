#include "core/rate/TokenBucket.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mustardshift {

TokenBucket::TokenBucket(double aRate, double aCapacity, double aTokens, Instant aNow)
  : rate(aRate)
  , capacity(aCapacity)
  , tokens(std::min(aTokens, aCapacity))
  , lastRefill(aNow)
{
  MUSTARDSHIFT_ASSERT(aRate >= 0 && aCapacity >= 0 && aTokens >= 0);
}

void TokenBucket::Refill(Instant aNow)
{
  if (aNow <= this->lastRefill) {
    return;
  }
  const double elapsedSeconds = std::chrono::duration<double>(aNow - this->lastRefill).count();
  this->lastRefill = aNow;
  this->tokens = std::min(this->capacity, this->tokens + this->rate * elapsedSeconds);
}

bool TokenBucket::TryTake(Instant aNow, double aCount)
{
  MUSTARDSHIFT_ASSERT(aCount >= 0);
  this->Refill(aNow);
  if (this->tokens < aCount) {
    return false;
  }
  this->tokens -= aCount;
  return true;
}

void TokenBucket::SetRateAndCapacity(Instant aNow, double aRate, double aCapacity)
{
  MUSTARDSHIFT_ASSERT(aRate >= 0 && aCapacity >= 0);
  this->Refill(aNow);
  this->rate = aRate;
  this->capacity = aCapacity;
  this->tokens = std::min(this->tokens, aCapacity);
}

double TokenBucket::Remove(double aCount)
{
  const double removed = std::clamp(aCount, 0.0, this->tokens);
  this->tokens -= removed;
  return removed;
}

void TokenBucket::Add(double aCount)
{
  MUSTARDSHIFT_ASSERT(aCount >= 0);
  this->tokens = std::min(this->capacity, this->tokens + aCount);
}

std::optional<Instant> TokenBucket::AvailableAt(Instant aNow, double aCount)
{
  this->Refill(aNow);
  if (this->tokens >= aCount) {
    return aNow;
  }
  if (this->rate <= 0 || this->capacity < aCount) {
    return std::nullopt;
  }
  // Add one microsecond, so that rounding cannot return an instant just before the token is
  // available.
  const double secondsUntilAvailable = (aCount - this->tokens) / this->rate;
  constexpr double kMaxWaitSeconds = 1e6;
  if (secondsUntilAvailable > kMaxWaitSeconds) {
    return std::nullopt;
  }
  return aNow + Duration(static_cast<Duration::rep>(std::ceil(secondsUntilAvailable * 1e6)) + 1);
}

} // namespace mustardshift
