#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

namespace mustardshift {

/** Leads requests to a database, and says how old the data of its reads may be. */
struct Route
{
  RouteName name;
  /** Organisation that may use the route; ignored on public routes. */
  OrganisationName organisation;
  /** True when the route is open to all and needs no key. */
  bool isPublic = false;
  DatabaseName database;
  /** Largest age of the data that a read may return; zero stands for the present state. */
  Duration freshness{ 0 };

  friend bool operator==(const Route&, const Route&) = default;
};

} // namespace mustardshift
