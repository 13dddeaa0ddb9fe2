#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/SessionConfiguration.h"

namespace mustardshift::proxy {

/** How far an organisation may exceed its limit. In any interval of length `window`, the number of
    admitted operations is at most
    (rate x window + burst) x (1 + overshoot) + slack. */
struct RateTolerance
{
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;
  double slack = 20;

  friend bool operator==(const RateTolerance&, const RateTolerance&) = default;
};

/** Returns the limit that all VMs together enforce. Each VM counts separately, so a request within
    the organisation's limit can find its VM's share exhausted; the tolerance compensates for such
    requests. The returned limit admits no more than the tolerance in any window. Thread safety:
    pure. */
OrganisationLimit EnforcedLimit(const OrganisationLimit& aLimit, const RateTolerance& aTolerance);

} // namespace mustardshift::proxy
