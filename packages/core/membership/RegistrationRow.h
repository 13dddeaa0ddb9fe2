#pragma once

#include "core/membership/VmIncarnation.h"

#include <cstdint>

namespace mustardshift {

/** A VM's registration as the platform's table shows it (row vm/<id>). */
struct RegistrationRow
{
  VmIncarnation vm;
  /** Version of the row; each renewal raises it. */
  std::uint64_t rowVersion = 0;

  friend bool operator==(const RegistrationRow&, const RegistrationRow&) = default;
};

} // namespace mustardshift
