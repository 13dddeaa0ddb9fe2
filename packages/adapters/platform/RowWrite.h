#pragma once

#include <string>

namespace mustardshift {

/** Writes a row, or removes it. */
struct RowWrite
{
  std::string key;
  std::string value;
  bool remove = false;
};

} // namespace mustardshift
