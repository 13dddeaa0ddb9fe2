#pragma once

#include "core/base/Names.h"

#include <cstdint>
#include <map>

namespace mustardshift::proxy {

/** State of one VM that PlanRateAllocation() needs to divide the rates. */
struct AllocationMember
{
  VmId vm;
  FailureDomainName domain;
  /** Version of the latest allocation that the VM has applied. */
  std::uint64_t confirmedVersion = 0;
  /** Recent operations per second that clients requested from the VM. */
  std::map<OrganisationName, double> demand;
  /** The VM has not renewed its row for so long that it has stopped using its shares. */
  bool hasLeaseExpired = false;
};

} // namespace mustardshift::proxy
