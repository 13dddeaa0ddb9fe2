#pragma once

#include "core/base/Instant.h"
#include "core/configuration/ConfigurationTrust.h"

#include <string>

namespace mustardshift {

/** State of this VM that decides whether it accepts new requests.

    Thread safety: the request loop's thread only. */
struct ServingState
{
  ConfigurationTrust& trust;
  /** True once the VM is being drained or shut down. */
  bool isDraining = false;
  /** Caller address of another VM, sent to clients whose requests are refused; may be empty. */
  std::string alternativeAddress;
};

} // namespace mustardshift
