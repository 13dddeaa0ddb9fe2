#pragma once

#include "core/base/Names.h"

#include <cstdint>

namespace mustardshift {

/** The highest term that the sender knows of for a database, and the primary recorded for it. */
struct KnownPrimary
{
  DatabaseName database;
  std::uint64_t term = 0;
  ServerAddress primary;

  friend bool operator==(const KnownPrimary&, const KnownPrimary&) = default;
};

} // namespace mustardshift
