#pragma once

#include "core/base/Names.h"

#include <cstddef>
#include <map>
#include <set>
#include <string_view>

namespace mustardshift::proxy {

/** Up to this many VMs, each does everything itself. */
inline constexpr std::size_t kMaxVmsWithoutDelegates = 16;
/** Delegates of one failure domain: another one is there when one stops, and a domain that is cut
   off has its own. */
inline constexpr std::size_t kDelegatesPerDomain = 2;

/** Chooses the VMs that do something on behalf of the others: hold parts of an organisation's rate,
    or ask a group's primary for its position. In a small fleet all VMs do; in a larger one a few of
    each failure domain, by rendezvous hashing, so that a VM that comes or goes changes little else.

    @param aSubject  what is done; subjects are spread over the VMs.
    @param aVms      the VMs that run, with their failure domains.

    Thread safety: pure. */
std::set<VmId> ChooseDelegates(std::string_view aTask,
                               const std::map<VmId, FailureDomainName>& aVms);

} // namespace mustardshift::proxy
