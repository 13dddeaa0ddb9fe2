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

/** Everything that operators have configured, at one version. */
struct Configuration
{
  /** Number of accepted changes that the configuration contains. Zero means that nothing has been
      configured yet. */
  std::uint64_t version = 0;
  std::vector<Organisation> organisations;
  std::vector<Route> routes;
  std::vector<DatabaseGroup> databases;
  std::set<FailureDomainName> drainedFailureDomains;
  /** Secret that authenticates session tokens, 64 lower-case hexadecimal digits. It is never shown
      to operators. */
  std::string tokenSecret;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace mustardshift
