#pragma once

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace mustardshift::proxy {

/** Hash whose values are the same in all builds (XXH64 with seed 0), for choices and digests that
    VMs compare. Thread safety: pure. */
inline std::uint64_t StableHash(std::string_view aText)
{
  return XXH64(aText.data(), aText.size(), 0);
}

} // namespace mustardshift::proxy
