#pragma once

#include "core/base/Names.h"
#include "core/configuration/DatabaseGroup.h"
#include "core/configuration/Organisation.h"
#include "core/configuration/Route.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace mustardshift {

/** What operators have configured, as of one version. */
struct Configuration
{
  /** Zero stands for "nothing configured yet". */
  std::uint64_t version = 0;
  std::vector<Organisation> organisations;
  std::vector<Route> routes;
  std::vector<DatabaseGroup> databases;
  std::set<FailureDomainName> drainedFailureDomains;
  /** Secret that authenticates session tokens, 64 lower-case hexadecimal digits. It is shown to
      no operator. */
  std::string tokenSecret;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace mustardshift
