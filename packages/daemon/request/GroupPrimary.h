#pragma once

#include "core/base/Names.h"

#include <cstdint>

namespace mustardshift {

/** The primary of a database in a term, as the platform's table records it. */
struct GroupPrimary
{
  /** Zero stands for "not known". */
  std::uint64_t term = 0;
  ServerAddress server;

  friend bool operator==(const GroupPrimary&, const GroupPrimary&) = default;
};

} // namespace mustardshift
