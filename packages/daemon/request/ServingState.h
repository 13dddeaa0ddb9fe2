#pragma once

#include "core/base/Instant.h"
#include "core/configuration/ConfigurationTrust.h"

#include <string>

namespace mustardshift {

/** What decides, beside a request itself, whether this VM may start new work.

    Thread safety: the request loop's thread only. */
struct ServingState
{
  ConfigurationTrust& trust;
  /** True once the VM is being drained or shut down. */
  bool isDraining = false;
  /** Caller address of another VM, given to clients that are turned away; may be empty. */
  std::string alternativeAddress;
};

} // namespace mustardshift
