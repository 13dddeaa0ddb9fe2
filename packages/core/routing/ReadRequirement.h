#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/session/LogPosition.h"

#include <cstdint>
#include <optional>

namespace mustardshift {

/** Conditions that the server of a read has to meet. */
struct ReadRequirement
{
  /** Log position that the server has to have reached: the larger of the position that the
      session requires and the one that the route's freshness bound requires. {0, 0} if any position
      is sufficient. */
  LogPosition minimumPosition;
  /** True if SessionToken::MustReadAtPrimary requires it, or if FreshnessTracker returns no minimum
      position. */
  bool mustReadAtPrimary = false;
  /** The group's current term as known to the VM. 0 if unknown; then no replica is read. */
  std::uint64_t term = 0;
  /** The database's primary in this term, if it is known and in service. */
  std::optional<ServerAddress> primary;
  /** Time by which the read has to be answered. */
  Instant deadline;
};

} // namespace mustardshift
