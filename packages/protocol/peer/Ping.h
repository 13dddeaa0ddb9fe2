#pragma once

#include "protocol/peer/PeerHeader.h"
#include "protocol/peer/PeerState.h"

namespace mustardshift {

/** Requests the state of a peer, and contains the state of the sender. */
struct Ping
{
  PeerHeader header;
  PeerState state;

  friend bool operator==(const Ping&, const Ping&) = default;
};

} // namespace mustardshift
