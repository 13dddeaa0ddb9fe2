#pragma once

#include "protocol/peer/PeerHeader.h"

#include <cstdint>
#include <string>

namespace mustardshift {

/** Sends a peer a configuration change that the platform's table has accepted. */
struct ConfigurationPush
{
  PeerHeader header;
  /** The configuration version that the change created. */
  std::uint64_t version = 0;
  /** The change as it is stored in its row of the platform's table. Empty when it is too large for
      a peer message; the receiver then reads it from the platform. */
  std::string change;

  friend bool operator==(const ConfigurationPush&, const ConfigurationPush&) = default;
};

} // namespace mustardshift
