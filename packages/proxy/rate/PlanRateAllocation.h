#pragma once

#include "proxy/cluster/SessionConfiguration.h"
#include "proxy/rate/AllocationMember.h"
#include "proxy/rate/RateAllocation.h"

#include <map>
#include <optional>
#include <vector>

namespace mustardshift::proxy {

/** Works out the next allocation, or returns nothing when the present one will do.

    The sum of what all VMs may use never exceeds the whole: parts that are taken from a VM stay in
    its reservedParts until it has confirmed the allocation that took them, or has lapsed, and only
   then go to others. Moves parts only when a VM's demand nears its share.

    @param aCurrent  the allocation in the table; version 0 when there is none.
    @param aMembers  all VMs that have a row. A VM with a share and without a row counts as lapsed.

    Thread safety: pure. */
std::optional<RateAllocation> PlanRateAllocation(
  const RateAllocation& aCurrent,
  const std::vector<AllocationMember>& aMembers,
  const std::map<OrganisationName, OrganisationLimit>& aLimits);

} // namespace mustardshift::proxy
