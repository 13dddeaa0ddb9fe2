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

/** State of the sending VM, as sent to its peers in Ping and Pong. */
struct PeerState
{
  std::uint64_t configurationVersion = 0;
  /** Time between the last confirmation of configurationVersion and the creation of the message;
      empty when the version was never confirmed. The receiver of a Pong may assume that the
      confirmation took place this long before it sent the Ping that the Pong answers. The age in a
      Ping confirms nothing, because the transit time of the Ping is unknown. */
  std::optional<Duration> confirmationAge;
  /** False when the sender's last requests to the platform failed. */
  bool platformReachable = false;
  /** True while the sender does not know whether a change that it sent was accepted. */
  bool hasUnresolvedChange = false;
  /** Registered VMs that the sender knows, itself included. Without a value when the sender leaves
      the list out, for instance because it has not changed; the receiver then keeps the list that
      it received last. */
  std::optional<std::vector<VmIncarnation>> knownVms;
  /** Primaries that the sender announces. For each database, the receiver keeps the one with the
      highest term. */
  std::vector<KnownPrimary> primaries;
  /** All databases whose primary the sender suspects. */
  std::vector<DatabaseName> suspectedDatabases;
  /** All quota shards that the sender holds. */
  std::vector<std::uint32_t> heldShards;
  PeerDrainState drainState = PeerDrainState::Serving;

  friend bool operator==(const PeerState&, const PeerState&) = default;
};

} // namespace mustardshift
