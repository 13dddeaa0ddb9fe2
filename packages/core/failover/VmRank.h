#pragma once

#include "core/base/Names.h"

#include <vector>

namespace mustardshift {

/** Returns how many of the members come before this VM in acting on a database. The order is a hash
    of database and VM, equal on all VMs and different from database to database, which spreads the
    work. Thread safety: pure. */
unsigned RankOf(const DatabaseName& aDatabase,
                const VmId& aSelf,
                const std::vector<VmId>& aMembers);

} // namespace mustardshift
