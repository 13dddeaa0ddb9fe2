#pragma once

#include "core/base/Name.h"

namespace mustardshift {

/** Names an entry VM. */
using VmId = Name<struct VmIdTag>;
/** Names a failure domain. */
using FailureDomainName = Name<struct FailureDomainNameTag>;
/** Names an organisation (tenant). */
using OrganisationName = Name<struct OrganisationNameTag>;
/** Names a database, that is a group of servers with one primary. */
using DatabaseName = Name<struct DatabaseNameTag>;
/** Address of a database server, "IP:port". */
using ServerAddress = Name<struct ServerAddressTag>;
/** Names a route. */
using RouteName = Name<struct RouteNameTag>;
/** A caller's request id; a retry carries the same id. */
using RequestId = Name<struct RequestIdTag>;

} // namespace mustardshift
