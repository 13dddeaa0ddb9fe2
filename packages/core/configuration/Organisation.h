#pragma once

#include "core/base/Names.h"
#include "core/configuration/ApiKey.h"

#include <vector>

namespace mustardshift {

/** A tenant with its keys and its limits, which count over all VMs together. */
struct Organisation
{
  OrganisationName name;
  /** Requests per second. */
  double rate = 0;
  /** Requests above the rate that may come at once. */
  double burst = 0;
  /** Weight in the fair queues of the databases. */
  unsigned weight = 1;
  std::vector<ApiKey> keys;

  friend bool operator==(const Organisation&, const Organisation&) = default;
};

} // namespace mustardshift
