#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/SessionConfiguration.h"

namespace mustardshift::proxy {

/** How far an organisation may exceed its limit: in any span of `window`, operations up to
    (rate x window + burst) x (1 + overshoot) + slack. */
struct RateTolerance
{
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;
  double slack = 20;

  friend bool operator==(const RateTolerance&, const RateTolerance&) = default;
};

/** The limit that the VMs enforce together. VMs count apart, so a request within the limit can find
    its VM's part used up; the tolerance makes up for that. The result admits no more than the
    tolerance in any window. Thread safety: pure. */
OrganisationLimit EnforcedLimit(const OrganisationLimit& aLimit, const RateTolerance& aTolerance);

} // namespace mustardshift::proxy
