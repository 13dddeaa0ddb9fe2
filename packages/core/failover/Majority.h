#pragma once

#include <cstddef>

namespace mustardshift {

/** Returns the smallest number of servers that is more than half. Thread safety: pure. */
constexpr std::size_t MajorityOf(std::size_t aServerCount)
{
  return aServerCount / 2 + 1;
}

} // namespace mustardshift
