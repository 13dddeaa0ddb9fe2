#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/pool/ConnectionCandidate.h"
#include "proxy/pool/PooledConnection.h"

#include <functional>
#include <vector>

namespace mustardshift::proxy {

/** Request for a connection to one of several servers. */
template<DatabaseNetwork Network>
struct ConnectionRequest
{
  OrganisationName organisation;
  std::vector<ConnectionCandidate> candidates;
  /** The request fails at this instant. */
  Instant deadline{};
  /** Requests with lower values are served first. */
  unsigned priority = 0;
  /** Called with a connection, or with nullptr if none became available before the deadline. */
  std::function<void(Instant, PooledConnection<Network>*)> handler;
};

} // namespace mustardshift::proxy
