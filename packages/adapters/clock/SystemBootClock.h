#pragma once

#include "core/base/Instant.h"

namespace mustardshift {

/** The machine's clock that counts while the machine is suspended and while the process is
    stopped (CLOCK_BOOTTIME). Code that needs the time takes a clock type as a template parameter;
    tests pass a type of their own that has the same Now().

    Thread safety: stateless; may be called from any thread. */
class SystemBootClock
{
public:
  /** Returns the present time. Ends the process if the machine has no such clock, since no lease
      or deadline could be kept without it. */
  Instant Now() const;
};

} // namespace mustardshift
