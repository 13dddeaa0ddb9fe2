#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/cluster/SessionRoute.h"
#include "proxy/statement/ErrorCode.h"

#include <string>
#include <tl/expected.hpp>

namespace mustardshift::proxy {

/** What the configuration in force allows a client. */
struct SessionAccess
{
  SessionRoute route;
  /** Empty on public routes. */
  OrganisationName organisation;
};

/** Looks a client's database and key up in the configuration in force, or says why it is refused.

    @param aKeyHash  KeyHash() of the client's key; empty when it presented none.

    Thread safety: pure. */
tl::expected<SessionAccess, ErrorCode> FindSessionAccess(Instant aNow,
                                                         const ClusterState& aCluster,
                                                         const std::string& aDatabase,
                                                         const std::string& aKeyHash);

} // namespace mustardshift::proxy
