#pragma once

#include <compare>
#include <cstdint>

namespace mustardshift {

/** A position in a database's log. Positions of different terms are ordered by term first; whether
    a server that is in a later term holds a position is decided by TermHistory, never by the bare
    numbers. */
struct LogPosition
{
  std::uint64_t term = 0;
  std::uint64_t offset = 0;

  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
};

} // namespace mustardshift
