#pragma once

#include "core/base/Names.h"

#include <string>

namespace mustardshift {

/** Another entry VM, as the settings file names it. */
struct PeerSettings
{
  VmId vm;
  /** Address of its peer links, "IP:port". */
  std::string address;
  FailureDomainName failureDomain;

  friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
};

} // namespace mustardshift
