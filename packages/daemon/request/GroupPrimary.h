#pragma once

#include "core/base/Names.h"

#include <cstdint>

namespace mustardshift {

/** The primary of a database in a term, as recorded in the platform's table. */
struct GroupPrimary
{
  /** Zero if no primary is known. */
  std::uint64_t term = 0;
  ServerAddress server;

  friend bool operator==(const GroupPrimary&, const GroupPrimary&) = default;
};

} // namespace mustardshift
