#pragma once

#include <compare>
#include <cstdint>

namespace mustardshift::proxy {

/** Version of a row, or of the whole store. Within an era, numbers increase with each transaction.
    When the store returns from an older copy, the next era begins, in which numbers of the previous
    one are given out again. Versions are therefore compared by their eras first. */
struct StoreVersion
{
  /** Era of the answer that named the number; 0 for a store that reports none. */
  std::uint64_t era = 0;
  /** Number within the era; 0 stands for a row that does not exist. */
  std::uint64_t number = 0;

  friend constexpr auto operator<=>(const StoreVersion&, const StoreVersion&) = default;
};

} // namespace mustardshift::proxy
