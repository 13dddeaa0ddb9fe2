#pragma once

#include "core/base/Instant.h"
#include "core/membership/VmIncarnation.h"

#include <cstdint>
#include <optional>
#include <set>

namespace mustardshift {

/** State of a VM's configuration, which the VM sends to its peers in each pong. */
struct TrustReport
{
  VmIncarnation vm;
  /** Version of the configuration that the VM has. */
  std::uint64_t version = 0;
  /** Time, on the VM's clock, since this version was last confirmed to contain every accepted
      change; nothing if it never was. Trust under the rule for a total platform outage (see
      ConfigurationTrust) is not a confirmation. */
  std::optional<Duration> confirmationAge;
  /** Whether the platform answered a read that the VM sent within
      kPlatformReachabilityTimeout. */
  bool reachesPlatform = false;
  /** Whether there may be an accepted change that the VM doesn't have: it sent a change and doesn't
      know the result, or it knows of a version above its own. */
  bool hasUnresolvedChange = false;
  /** Registrations that the VM knows of, including its own. */
  std::set<VmIncarnation> knownVms;
};

} // namespace mustardshift
