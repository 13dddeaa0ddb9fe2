#pragma once

#include "core/base/Instant.h"

namespace mustardshift {

/** Estimates how many requests per second have arrived recently. The estimate rises within about
    half a second and falls over several seconds, so that a short pause in the requests does not
    make a VM give quota away.

    Thread safety: none. */
class DemandEstimate
{
public:
  /** Records aCount requests that arrived at aNow. */
  void RecordRequests(Instant aNow, double aCount = 1);

  /** Returns the estimated demand in requests per second. */
  double Rate(Instant aNow) const;

  /** Returns the demand in requests per second averaged over several seconds, without the fast rise
      of Rate(). */
  double SmoothedRate(Instant aNow) const;

private:
  double DecayedFastCount(Instant aNow) const;
  double DecayedSlowCount(Instant aNow) const;

  double fastCount = 0;
  double slowCount = 0;
  Instant lastDecay{};
};

} // namespace mustardshift
