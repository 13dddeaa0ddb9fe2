#pragma once

#include "core/base/Names.h"

#include <cstdint>

namespace mustardshift {

/** The highest term of a database that the sender knows, and the primary recorded for that term. */
struct KnownPrimary
{
  DatabaseName database;
  std::uint64_t term = 0;
  ServerAddress primary;

  friend bool operator==(const KnownPrimary&, const KnownPrimary&) = default;
};

} // namespace mustardshift
