#pragma once

#include "protocol/peer/PeerHeader.h"
#include "protocol/peer/PeerState.h"

namespace mustardshift {

/** Asks a peer for its state, and tells the sender's. */
struct Ping
{
  PeerHeader header;
  PeerState state;

  friend bool operator==(const Ping&, const Ping&) = default;
};

} // namespace mustardshift
