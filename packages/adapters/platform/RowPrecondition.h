#pragma once

#include <cstdint>
#include <string>

namespace mustardshift {

/** Requires that a row has a version; zero requires that it does not exist. */
struct RowPrecondition
{
  std::string key;
  std::uint64_t version = 0;
};

} // namespace mustardshift
