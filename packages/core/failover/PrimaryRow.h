#pragma once

#include "core/base/Names.h"

#include <cstdint>
#include <string>

namespace mustardshift {

/** The row `database/<name>` of the platform's table, which records the primary of a database. */
struct PrimaryRow
{
  /** Version of the row in the platform's table; zero if the row does not exist yet. */
  std::uint64_t version = 0;
  std::uint64_t term = 0;
  ServerAddress primary;
  /** Unique id of the attempt that wrote the row, by which the attempt recognises its own write. */
  std::string operationId;

  friend bool operator==(const PrimaryRow&, const PrimaryRow&) = default;
};

} // namespace mustardshift
