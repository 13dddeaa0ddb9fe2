#pragma once

#include "proxy/coordination/StoredRow.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** Tells copies of the operators' table apart by the versions of their rows.

    Thread safety: none; one thread owns the object. */
class OperatorTableDigest
{
public:
  /** Takes a read of the whole table. */
  void ReplaceRows(const std::vector<StoredRow>& aRows);
  /** Takes changes. */
  void ApplyRowChanges(const std::vector<StoredRow>& aRows);

  /** Equal for equal copies; zero before the first read. */
  std::uint64_t Value() const { return this->value; }

private:
  std::map<std::string, std::uint64_t> versions;
  std::uint64_t value = 0;
};

} // namespace mustardshift::proxy
