#pragma once

#include "core/base/Names.h"
#include "core/configuration/Route.h"
#include "core/session/SessionToken.h"
#include "daemon/request/DatabaseDispatcher.h"

#include <memory>

namespace mustardshift {

/** What a checked request runs on behalf of, and where. */
struct AuthenticatedRequest
{
  Route route;
  /** Empty on public routes. */
  OrganisationName organisation;
  SessionToken token;
  std::shared_ptr<DatabaseDispatcher> dispatcher;
};

} // namespace mustardshift
