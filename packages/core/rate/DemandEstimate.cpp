#include "core/rate/DemandEstimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace mustardshift {

namespace {

constexpr double kQuickSeconds = 0.5;
constexpr double kSlowSeconds = 5;

double Decayed(double aCount, Duration aPassed, double aSeconds)
{
  const double passed = std::max(0.0, std::chrono::duration<double>(aPassed).count());
  return aCount * std::exp(-passed / aSeconds);
}

} // namespace

void DemandEstimate::Ask(Instant aNow, double aCount)
{
  this->quick = this->DecayedQuick(aNow) + aCount;
  this->slow = this->DecayedSlow(aNow) + aCount;
  this->decayedUntil = std::max(this->decayedUntil, aNow);
}

double DemandEstimate::Rate(Instant aNow) const
{
  return std::max(this->DecayedQuick(aNow) / kQuickSeconds, this->DecayedSlow(aNow) / kSlowSeconds);
}

double DemandEstimate::SteadyRate(Instant aNow) const
{
  return this->DecayedSlow(aNow) / kSlowSeconds;
}

double DemandEstimate::DecayedQuick(Instant aNow) const
{
  return Decayed(this->quick, aNow - this->decayedUntil, kQuickSeconds);
}

double DemandEstimate::DecayedSlow(Instant aNow) const
{
  return Decayed(this->slow, aNow - this->decayedUntil, kSlowSeconds);
}

} // namespace mustardshift
