#pragma once

#include "core/base/Instant.h"

namespace mustardshift {

/** Estimates how many requests per second were asked for lately. The estimate rises within about
    half a second and falls over several seconds, so that a short lull doesn't give quota away.

    Thread safety: none. */
class DemandEstimate
{
public:
  /** Counts requests. */
  void RecordRequests(Instant aNow, double aCount = 1);

  /** Returns requests per second. */
  double Rate(Instant aNow) const;

  /** Returns requests per second averaged over several seconds, without the quick rise. */
  double SmoothedRate(Instant aNow) const;

private:
  double DecayedFastCount(Instant aNow) const;
  double DecayedSlowCount(Instant aNow) const;

  double fastCount = 0;
  double slowCount = 0;
  Instant lastDecay{};
};

} // namespace mustardshift
