#pragma once

#include <cstdint>
#include <string>

namespace mustardshift {

/** A row of the platform's table. */
struct TableRow
{
  std::string key;
  std::string value;
  /** Grows by one with each write of the row; zero stands for "no such row". */
  std::uint64_t version = 0;

  friend bool operator==(const TableRow&, const TableRow&) = default;
};

} // namespace mustardshift
