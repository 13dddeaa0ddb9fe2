#include "standins/platform/CapacityLimit.h"

#include <algorithm>

namespace mustardshift::standin {

CapacityLimit::CapacityLimit(double aRate, double aBurst)
  : rate(aRate)
  , burst(aBurst)
  , tokens(aBurst)
  , updated(Clock::now())
{
}

std::optional<Duration> CapacityLimit::Reserve()
{
  const std::lock_guard lock(this->mutex);
  const Clock::time_point now = Clock::now();
  const double elapsed = std::chrono::duration<double>(now - this->updated).count();
  this->updated = now;
  this->tokens = std::min(this->burst, this->tokens + elapsed * this->rate) - 1;
  if (this->tokens >= 0) {
    return Duration(0);
  }
  const auto delay =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-this->tokens / this->rate));
  if (delay > kLongestDelay) {
    this->tokens += 1;
    return std::nullopt;
  }
  return delay;
}

} // namespace mustardshift::standin
