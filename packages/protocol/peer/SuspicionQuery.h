#pragma once

#include "protocol/peer/KnownPrimary.h"
#include "protocol/peer/PeerHeader.h"

namespace mustardshift {

/** Asks a peer whether it suspects the primary of a database, too. */
struct SuspicionQuery
{
  PeerHeader header;
  /** The term and the primary that the sender suspects. */
  KnownPrimary suspectedPrimary;

  friend bool operator==(const SuspicionQuery&, const SuspicionQuery&) = default;
};

} // namespace mustardshift
