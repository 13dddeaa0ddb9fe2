#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/routing/SelectionCandidate.h"

#include <cstddef>
#include <vector>

namespace mustardshift::proxy {

/** A statement for which ServerSelector ranks servers. */
struct SelectionRequest
{
  DatabaseName group;
  OrganisationName organisation;
  /** The organisation's configured rate, in operations per second over all VMs; zero if it has
      none. */
  double organisationRate = 0;
  unsigned priority = 0;
  /** Time within which a server has to begin the statement. */
  Duration timeLeft{ 0 };
  /** Random number in [0, 1), or the fraction of a counter, that decides which server comes
      first. */
  double draw = 0;
  /** Not empty; servers that were tried already, or are behind, unreachable or out of service,
      are left out by the caller. */
  std::vector<SelectionCandidate> candidates;
};

} // namespace mustardshift::proxy
