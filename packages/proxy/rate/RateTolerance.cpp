#include "proxy/rate/RateTolerance.h"

#include <algorithm>

namespace mustardshift::proxy {

namespace {

/** Fraction of the tolerated overshoot by which the rate is increased. The rest of the overshoot
    increases the burst, which compensates for uneven load between VMs. */
constexpr double kRateFractionOfOvershoot = 0.8;
/** Fraction of the tolerated number of operations that is used. The rest covers differences between
    clocks. */
constexpr double kUsedToleranceFraction = 0.98;

} // namespace

OrganisationLimit EnforcedLimit(const OrganisationLimit& aLimit, const RateTolerance& aTolerance)
{
  const double seconds = std::chrono::duration<double>(aTolerance.window).count();
  const double bound =
    (aLimit.ratePerSecond * seconds + aLimit.burst) * (1 + aTolerance.overshoot) + aTolerance.slack;
  const double rate = aLimit.ratePerSecond * (1 + kRateFractionOfOvershoot * aTolerance.overshoot);
  return { rate, std::max(0.0, kUsedToleranceFraction * bound - rate * seconds) };
}

} // namespace mustardshift::proxy
