#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace mustardshift::standin {

/** An open transaction: its writes are applied in one step at the commit. */
struct Transaction
{
  /** Term that the server led when the transaction began. */
  std::uint64_t term = 0;
  std::map<std::string, std::string> writes;
  /** Version that each read or written key had when it was first used. */
  std::map<std::string, std::uint64_t> usedKeys;
  /** Log offset at which each prefix was first scanned. */
  std::map<std::string, std::uint64_t> scannedPrefixes;
};

} // namespace mustardshift::standin
