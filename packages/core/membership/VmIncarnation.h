#pragma once

#include "core/base/Names.h"

#include <compare>
#include <cstdint>

namespace mustardshift {

/** Identifies one registration of a VM. Each new registration, after a restart of the process or
    after the removal of the previous registration, has a larger incarnation than all earlier ones
    of the VM. */
struct VmIncarnation
{
  VmId vm;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const VmIncarnation&, const VmIncarnation&) = default;
};

} // namespace mustardshift
