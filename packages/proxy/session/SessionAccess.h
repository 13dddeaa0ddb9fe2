#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/cluster/SessionRoute.h"
#include "proxy/statement/ErrorCode.h"

#include <string>
#include <tl/expected.hpp>

namespace mustardshift::proxy {

/** The route and the organisation that the configuration in force gives a client. */
struct SessionAccess
{
  SessionRoute route;
  /** Empty on public routes. */
  OrganisationName organisation;
};

/** Looks up a client's database and key in the configuration in force. The error says why the
    client is refused.

    @param aKeyHash  KeyHash() of the client's key; empty when it presented none.

    Thread safety: pure. */
tl::expected<SessionAccess, ErrorCode> FindSessionAccess(Instant aNow,
                                                         const ClusterState& aCluster,
                                                         const std::string& aDatabase,
                                                         const std::string& aKeyHash);

/** Looks up the organisation that has a key in the configuration in force. The error says why the
    client is refused. For the parameters see FindSessionAccess(). Thread safety: pure. */
tl::expected<OrganisationName, ErrorCode> FindOrganisation(Instant aNow,
                                                           const ClusterState& aCluster,
                                                           const std::string& aKeyHash);

} // namespace mustardshift::proxy
