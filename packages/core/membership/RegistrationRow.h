#pragma once

#include "core/membership/VmIncarnation.h"

#include <cstdint>

namespace mustardshift {

/** A VM's registration as stored in the platform's table (row vm/<id>). */
struct RegistrationRow
{
  VmIncarnation vm;
  /** Version of the row. Each renewal increases it. */
  std::uint64_t rowVersion = 0;

  friend bool operator==(const RegistrationRow&, const RegistrationRow&) = default;
};

} // namespace mustardshift
