#pragma once

#include "proxy/cluster/SessionConfiguration.h"
#include "proxy/rate/AllocationMember.h"
#include "proxy/rate/RateAllocation.h"

#include <map>
#include <optional>
#include <vector>

namespace mustardshift::proxy {

/** Computes the next allocation, or returns nothing if the current one needs no change.

    The parts that all VMs may use never exceed kRateParts in total: parts revoked from a VM stay in
    its reservedParts until the VM has confirmed the allocation that revoked them or its lease has
    expired. Only then are these parts granted to others. Parts are moved only when a VM's demand
    approaches its share, when a VM has no parts yet, or when parts are released or revoked.

    @param aCurrent  the stored allocation; version 0 if there is none.
    @param aMembers  all VMs that have a row. The lease of a VM with parts but without a row
      counts as expired.

    Thread safety: pure. */
std::optional<RateAllocation> PlanRateAllocation(
  const RateAllocation& aCurrent,
  const std::vector<AllocationMember>& aMembers,
  const std::map<OrganisationName, OrganisationLimit>& aLimits);

} // namespace mustardshift::proxy
