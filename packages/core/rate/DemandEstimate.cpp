#include "core/rate/DemandEstimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mustardshift {

namespace {

constexpr double kFastTimeConstantSeconds = 0.5;
constexpr double kSlowTimeConstantSeconds = 5;

double Decayed(double aCount, Duration aElapsed, double aTimeConstantSeconds)
{
  const double elapsedSeconds = std::max(0.0, std::chrono::duration<double>(aElapsed).count());
  return aCount * std::exp(-elapsedSeconds / aTimeConstantSeconds);
}

} // namespace

void DemandEstimate::RecordRequests(Instant aNow, double aCount)
{
  this->fastCount = this->DecayedFastCount(aNow) + aCount;
  this->slowCount = this->DecayedSlowCount(aNow) + aCount;
  this->lastDecay = std::max(this->lastDecay, aNow);
}

double DemandEstimate::Rate(Instant aNow) const
{
  return std::max(this->DecayedFastCount(aNow) / kFastTimeConstantSeconds,
                  this->DecayedSlowCount(aNow) / kSlowTimeConstantSeconds);
}

double DemandEstimate::SmoothedRate(Instant aNow) const
{
  return this->DecayedSlowCount(aNow) / kSlowTimeConstantSeconds;
}

double DemandEstimate::DecayedFastCount(Instant aNow) const
{
  return Decayed(this->fastCount, aNow - this->lastDecay, kFastTimeConstantSeconds);
}

double DemandEstimate::DecayedSlowCount(Instant aNow) const
{
  return Decayed(this->slowCount, aNow - this->lastDecay, kSlowTimeConstantSeconds);
}

} // namespace mustardshift
