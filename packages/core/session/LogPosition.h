#pragma once

#include <compare>
#include <cstdint>

namespace mustardshift {

/** A position in a database's log. Positions are ordered by term, then by offset. This order is not
    enough to decide whether a server in a later term holds a position; TermHistory decides that. */
struct LogPosition
{
  std::uint64_t term = 0;
  std::uint64_t offset = 0;

  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
};

} // namespace mustardshift
