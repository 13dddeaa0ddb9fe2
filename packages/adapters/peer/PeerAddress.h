#pragma once

#include "core/base/Names.h"

#include <string>

namespace mustardshift {

/** Where a peer listens. */
struct PeerAddress
{
  VmId id;
  /** "IP:port", or "[IP]:port" for IPv6. Names are not resolved. */
  std::string address;

  friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

} // namespace mustardshift
