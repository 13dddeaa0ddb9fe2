#include "core/configuration/KeyHash.h"

#include "core/base/Sha256.h"

#include <algorithm>

namespace mustardshift {

bool IsWellFormedKey(std::string_view aKey)
{
  const auto isPrintable = [](char aByte) { return aByte >= ' ' && aByte <= '~'; };
  return !aKey.empty() && aKey.size() <= kMaxKeyBytes &&
         std::all_of(aKey.begin(), aKey.end(), isPrintable);
}

std::string KeyHash(std::string_view aKey)
{
  return Sha256Hex(aKey);
}

} // namespace mustardshift
