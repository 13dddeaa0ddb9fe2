#pragma once

#include "core/base/Names.h"

#include <cstdint>
#include <vector>

namespace mustardshift {

/** One server of a database. */
struct DatabaseServer
{
  ServerAddress address;
  FailureDomainName failureDomain;

  friend bool operator==(const DatabaseServer&, const DatabaseServer&) = default;
};

/** A database: a group of three servers, one of which is the primary. */
struct DatabaseGroup
{
  DatabaseName name;
  std::vector<DatabaseServer> servers;
  /** Maximum number of statements that one server executes concurrently. */
  std::uint32_t slots = 1;
  /** Maximum number of connections that one server accepts, summed over all VMs. */
  std::uint32_t connectionLimit = 1;
  /** False while the database is drained by operators. */
  bool inService = true;

  friend bool operator==(const DatabaseGroup&, const DatabaseGroup&) = default;
};

} // namespace mustardshift
