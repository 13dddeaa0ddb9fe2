#pragma once

#include "core/base/Instant.h"
#include "core/membership/VmIncarnation.h"

#include <cstdint>
#include <optional>
#include <set>

namespace mustardshift {

/** What a VM tells its peers, in each pong, about its configuration. */
struct TrustReport
{
  VmIncarnation vm;
  /** Version of the configuration that the VM has. */
  std::uint64_t version = 0;
  /** How long ago, on the VM's clock, this version was known to contain every accepted change;
      nothing if never. The rule for a total platform outage doesn't count here. */
  std::optional<Duration> confirmationAge;
  /** Whether the platform answered the VM lately. */
  bool reachesPlatform = false;
  /** Whether the VM sent a change of which it doesn't know if it was accepted. */
  bool hasUnresolvedChange = false;
  /** Registrations that the VM knows, its own included. */
  std::set<VmIncarnation> knownVms;
};

} // namespace mustardshift
