#pragma once

#include "core/base/Name.h"

namespace mustardshift {

/** Id of an entry VM, that is a VM that accepts the callers' requests. */
using VmId = Name<struct VmIdTag>;
/** Name of a failure domain. */
using FailureDomainName = Name<struct FailureDomainNameTag>;
/** Name of an organisation (tenant). */
using OrganisationName = Name<struct OrganisationNameTag>;
/** Name of a database, that is a group of servers with one primary. */
using DatabaseName = Name<struct DatabaseNameTag>;
/** Address of a database server, "IP:port". */
using ServerAddress = Name<struct ServerAddressTag>;
/** Name of a route. */
using RouteName = Name<struct RouteNameTag>;
/** Request id that the caller chooses; a retry carries the same id. */
using RequestId = Name<struct RequestIdTag>;

} // namespace mustardshift
