#pragma once

#include "core/base/Names.h"

#include <cstdint>
#include <map>

namespace mustardshift::proxy {

/** What the division of rates needs to know of one VM. */
struct AllocationMember
{
  VmId vm;
  FailureDomainName domain;
  /** Version of the latest allocation that the VM has put in force. */
  std::uint64_t confirmedVersion = 0;
  /** Operations per second that clients lately asked of the VM. */
  std::map<OrganisationName, double> demand;
  /** The VM has not renewed its row for so long that it has stopped using its shares. */
  bool hasLeaseExpired = false;
};

} // namespace mustardshift::proxy
