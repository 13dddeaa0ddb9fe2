#pragma once

#include "core/base/Names.h"
#include "proxy/coordination/FleetRole.h"

#include <cstddef>
#include <map>
#include <set>
#include <string_view>

namespace mustardshift::proxy {

/** Number of delegates per failure domain. With two, one remains when the other stops, and a
    failure domain that is disconnected from the others still has its own delegates. */
inline constexpr std::size_t kDelegatesPerDomain = 2;

/** Chooses the VMs that perform a task on behalf of all VMs, such as holding parts of an
    organisation's rate or querying the primary of a group for its log position. In a small fleet
    these are all VMs. In a larger one they are kDelegatesPerDomain VMs of each failure domain,
    chosen by rendezvous hashing, so that few choices change when a VM joins or leaves.

    @param aTask  name of the task; different tasks are spread over different VMs.
    @param aVms  the VMs that can be chosen, with their failure domains.
    @param aVmCount  number of all VMs.

    Thread safety: pure. */
std::set<VmId> ChooseDelegates(std::string_view aTask,
                               const std::map<VmId, FailureDomainName>& aVms,
                               std::size_t aVmCount);

} // namespace mustardshift::proxy
