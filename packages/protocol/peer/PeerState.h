#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/membership/VmIncarnation.h"
#include "protocol/peer/KnownPrimary.h"
#include "protocol/peer/PeerDrainState.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mustardshift {

/** What a VM tells its peers about itself in Ping and Pong. */
struct PeerState
{
  std::uint64_t configurationVersion = 0;
  /** Age of the last confirmation of configurationVersion when the message was made; nothing when
      it was never confirmed. The receiver of a Pong may count the confirmation as having happened
      this long before it sent the Ping that the Pong answers. The age in a Ping confirms nothing,
      because nobody knows how long the Ping was on its way. */
  std::optional<Duration> confirmationAge;
  /** False when the sender's last requests to the platform failed. */
  bool platformReachable = false;
  /** True while the sender does not know whether a change that it sent was accepted. */
  bool hasUnresolvedChange = false;
  /** Registrations that the sender knows, itself included. Nothing when the sender leaves
      the list out, for instance because it has not changed; a receiver then keeps the last one. */
  std::optional<std::vector<VmIncarnation>> knownVms;
  /** Databases whose term the sender wants to tell; a receiver merges by the highest term. */
  std::vector<KnownPrimary> primaries;
  /** All databases whose primary the sender suspects. */
  std::vector<DatabaseName> suspectedDatabases;
  /** All quota shards that the sender holds. */
  std::vector<std::uint32_t> heldShards;
  PeerDrainState drainState = PeerDrainState::Serving;

  friend bool operator==(const PeerState&, const PeerState&) = default;
};

} // namespace mustardshift
