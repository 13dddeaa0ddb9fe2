#include "proxy/outlier/ReadTimes.h"

#include <algorithm>

namespace mustardshift::proxy {

namespace {

/** Reads that the recent average remembers, and the least number to judge by. */
constexpr unsigned kRecentMemory = 20;
constexpr unsigned kMinRecent = 10;
/** The same for the past. */
constexpr unsigned kPastMemory = 500;
constexpr unsigned kMinPast = 100;
/** A single read counts as at most this many times the recent average, so that it alone doesn't
    make a server look slow. */
constexpr double kMaxRatio = 4;
/** And as at most this many times the past, so that a server that has become slow stands out
    against its past for some hundred reads. */
constexpr double kMaxPastRatio = 2;

Duration ToDuration(double aMicroseconds)
{
  return Duration(static_cast<Duration::rep>(aMicroseconds));
}

} // namespace

void ReadTimes::Record(Duration aTime)
{
  auto sample = static_cast<double>(aTime.count());
  if (this->recentCount >= kMinRecent) {
    sample = std::min(sample, kMaxRatio * this->recent);
  }
  this->recentCount = std::min(this->recentCount + 1, kRecentMemory);
  this->recent += (sample - this->recent) / this->recentCount;
  const double pastSample =
    this->pastCount < kMinPast ? sample : std::min(sample, kMaxPastRatio * this->past);
  this->pastCount = std::min(this->pastCount + 1, kPastMemory);
  this->past += (pastSample - this->past) / this->pastCount;
}

void ReadTimes::ClearRecent()
{
  this->recent = 0;
  this->recentCount = 0;
}

Duration ReadTimes::Recent() const
{
  return this->recentCount < kMinRecent ? Duration::zero() : ToDuration(this->recent);
}

Duration ReadTimes::Past() const
{
  return this->pastCount < kMinPast ? Duration::zero() : ToDuration(this->past);
}

} // namespace mustardshift::proxy
