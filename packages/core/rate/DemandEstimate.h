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
  void Ask(Instant aNow, double aCount = 1);

  /** Returns requests per second. */
  double Rate(Instant aNow) const;

  /** Returns requests per second averaged over several seconds, without the quick rise. */
  double SteadyRate(Instant aNow) const;

private:
  double DecayedQuick(Instant aNow) const;
  double DecayedSlow(Instant aNow) const;

  double quick = 0;
  double slow = 0;
  Instant decayedUntil{};
};

} // namespace mustardshift
