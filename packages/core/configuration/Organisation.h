#pragma once

#include "core/base/Names.h"
#include "core/configuration/ApiKey.h"

#include <vector>

namespace mustardshift {

/** A tenant with its keys and limits. The limits apply to the sum of its requests on all VMs. */
struct Organisation
{
  OrganisationName name;
  /** Sustained limit, in requests per second. */
  double rate = 0;
  /** Number of requests above the rate that are admitted at once. */
  double burst = 0;
  /** Share relative to other organisations in the fair queues of the databases. */
  unsigned weight = 1;
  std::vector<ApiKey> keys;

  friend bool operator==(const Organisation&, const Organisation&) = default;
};

} // namespace mustardshift
