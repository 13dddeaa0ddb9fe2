#pragma once

#include "core/base/Names.h"
#include "proxy/rate/RateMember.h"

#include <cstddef>
#include <set>
#include <vector>

namespace mustardshift::proxy {

/** Up to this many VMs, each holds a part of every organisation's rate. */
inline constexpr std::size_t kMostVmsThatAllHold = 16;
/** VMs of one failure domain that hold parts of an organisation's rate in larger fleets: another
   one is there when one stops, and a domain that is cut off has its own. */
inline constexpr std::size_t kHoldersPerDomain = 2;

/** Chooses the VMs that hold parts of an organisation's rate.

    In a large fleet a part of a small rate would be less than a token. There, only a few VMs of
   each failure domain hold parts, and the others fetch tokens from them (see TokenExchange). The
   choice is by rendezvous hashing, so that a VM that comes or goes changes little else.

    Thread safety: pure. */
std::set<VmId> ChooseRateHolders(const OrganisationName& aOrganisation,
                                 const std::vector<const RateMember*>& aLive);

} // namespace mustardshift::proxy
