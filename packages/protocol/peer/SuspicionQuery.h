#pragma once

#include "protocol/peer/KnownPrimary.h"
#include "protocol/peer/PeerHeader.h"

namespace mustardshift {

/** Asks a peer whether it also suspects that the primary of a database has failed. */
struct SuspicionQuery
{
  PeerHeader header;
  /** The primary that the sender suspects, and its term. */
  KnownPrimary suspectedPrimary;

  friend bool operator==(const SuspicionQuery&, const SuspicionQuery&) = default;
};

} // namespace mustardshift
