#pragma once

#include "core/base/Names.h"

#include <compare>
#include <cstdint>

namespace mustardshift {

/** One registration of a VM. A process that registers anew, because it restarted or because its
    registration was removed, takes a larger incarnation than any before on this VM. */
struct VmIncarnation
{
  VmId vm;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const VmIncarnation&, const VmIncarnation&) = default;
};

} // namespace mustardshift
