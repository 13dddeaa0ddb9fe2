#pragma once

#include <cstddef>

namespace mustardshift {

/** Returns the smallest number of servers that is more than half of aServerCount. Thread safety:
    pure function. */
constexpr std::size_t MajorityOf(std::size_t aServerCount)
{
  return aServerCount / 2 + 1;
}

} // namespace mustardshift
