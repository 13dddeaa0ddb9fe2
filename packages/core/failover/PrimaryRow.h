#pragma once

#include "core/base/Names.h"

#include <cstdint>
#include <string>

namespace mustardshift {

/** The platform's row `database/<name>`, which records a group's primary. */
struct PrimaryRow
{
  /** Version of the row in the platform's table; zero when the row does not exist yet. */
  std::uint64_t version = 0;
  std::uint64_t term = 0;
  ServerAddress primary;
  /** Unique to the attempt that wrote the row, so that it can recognise its own write. */
  std::string operationId;

  friend bool operator==(const PrimaryRow&, const PrimaryRow&) = default;
};

} // namespace mustardshift
