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

/** A database: a group of three servers, one of which leads. */
struct DatabaseGroup
{
  DatabaseName name;
  std::vector<DatabaseServer> servers;
  /** Statements that one server executes at a time. */
  std::uint32_t slots = 1;
  /** Connections that one server accepts, over all VMs. */
  std::uint32_t connectionLimit = 1;
  /** False once operators drained the database. */
  bool inService = true;

  friend bool operator==(const DatabaseGroup&, const DatabaseGroup&) = default;
};

} // namespace mustardshift
