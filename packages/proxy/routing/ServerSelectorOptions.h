#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <cstddef>

namespace mustardshift::proxy {

/** Settings of ServerSelector. */
struct ServerSelectorOptions
{
  FailureDomainName ownDomain;
  /** Number of failure domains of the deployment. Precondition: > 0. */
  std::size_t domainCount = 1;
  /** Number of groups of the deployment. Precondition: > 0. */
  std::size_t groupCount = 1;
  /** Time of waiting that one crossing between failure domains is worth (domain_crossing_cost);
      zero: crossings cost nothing beyond their latency. */
  Duration crossingCost = std::chrono::milliseconds(5);
  /** Time of a server's slot for opening a connection. */
  Duration openTime = std::chrono::milliseconds(12);
};

} // namespace mustardshift::proxy
