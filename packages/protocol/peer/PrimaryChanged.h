#pragma once

#include "protocol/peer/KnownPrimary.h"
#include "protocol/peer/PeerHeader.h"

namespace mustardshift {

/** Announces a promotion that is recorded in the platform's table. */
struct PrimaryChanged
{
  PeerHeader header;
  KnownPrimary primary;

  friend bool operator==(const PrimaryChanged&, const PrimaryChanged&) = default;
};

} // namespace mustardshift
