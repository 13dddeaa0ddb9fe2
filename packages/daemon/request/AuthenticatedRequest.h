#pragma once

#include "core/base/Names.h"
#include "core/configuration/Route.h"
#include "core/session/SessionToken.h"
#include "daemon/request/DatabaseDispatcher.h"

#include <memory>

namespace mustardshift {

/** A request whose route, key and session token have been checked: the organisation it runs for
    and the dispatcher of its database. */
struct AuthenticatedRequest
{
  Route route;
  /** Empty if the route is public. */
  OrganisationName organisation;
  SessionToken token;
  std::shared_ptr<DatabaseDispatcher> dispatcher;
};

} // namespace mustardshift
