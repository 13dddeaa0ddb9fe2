#pragma once

#include "core/base/Names.h"

#include <vector>

namespace mustardshift {

/** Returns the rank of a VM for a database: the number of members that precede it in the order in
    which VMs act on this database. The order is that of a hash of the database and the VM. It is
    the same on all VMs, and differs between databases so that the work is distributed. Thread
    safety: pure function. */
unsigned RankOf(const DatabaseName& aDatabase,
                const VmId& aSelf,
                const std::vector<VmId>& aMembers);

} // namespace mustardshift
