#pragma once

#include "protocol/peer/PeerHeader.h"
#include "protocol/peer/PeerState.h"

namespace mustardshift {

/** Answers a Ping with the state of the sender. */
struct Pong
{
  PeerHeader header;
  PeerState state;

  friend bool operator==(const Pong&, const Pong&) = default;
};

} // namespace mustardshift
