#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/pool/ConnectionCandidate.h"
#include "proxy/pool/PooledConnection.h"

#include <functional>
#include <vector>

namespace mustardshift::proxy {

/** Asks the pool for a connection to one of several servers. */
template<DatabaseNetwork Network>
struct ConnectionRequest
{
  OrganisationName organisation;
  std::vector<ConnectionCandidate> candidates;
  /** The request is given up at this instant. */
  Instant deadline{};
  /** Lower ones are served first. */
  unsigned priority = 0;
  /** Gets a connection, or nullptr when the request was given up. */
  std::function<void(Instant, PooledConnection<Network>*)> handler;
};

} // namespace mustardshift::proxy
