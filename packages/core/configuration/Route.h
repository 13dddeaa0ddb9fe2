#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

namespace mustardshift {

/** Assigns requests to a database, and bounds the age of the data that its reads may return. */
struct Route
{
  RouteName name;
  /** Organisation that may use the route; ignored on public routes. */
  OrganisationName organisation;
  /** True when every caller may use the route without a key. */
  bool isPublic = false;
  DatabaseName database;
  /** Maximum age of the data that a read may return. With zero, reads return the current state. */
  Duration freshness{ 0 };

  friend bool operator==(const Route&, const Route&) = default;
};

} // namespace mustardshift
