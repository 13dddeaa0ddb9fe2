#pragma once

#include "core/base/Names.h"
#include "core/configuration/Configuration.h"

#include <set>
#include <vector>

namespace mustardshift {

/** What one schema file says: the complete lists of organisations, routes and databases. Drained
    failure domains and databases are no part of a file, so that applying an old file never
    returns them to service. */
struct Schema
{
  std::vector<Organisation> organisations;
  std::vector<Route> routes;
  /** inService is true in all of them. */
  std::vector<DatabaseGroup> databases;
  /** Organisations without a "keys" entry in the file: their present keys stay. */
  std::set<OrganisationName> organisationsKeepingKeys;

  /** Returns the configuration that follows from a present one: lists are replaced; version,
      drained failure domains, token secret, the service state of databases that stay, and the
      keys of organisationsKeepingKeys are kept. The caller sets the new version.
      Thread safety: pure. */
  Configuration ApplyTo(const Configuration& aPresent) const;
};

} // namespace mustardshift
