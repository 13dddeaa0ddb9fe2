#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/session/LogPosition.h"

#include <cstdint>
#include <optional>

namespace mustardshift {

/** What a read needs. */
struct ReadRequirement
{
  /** The larger of the session's floor and the floor of the route's freshness bound. {0, 0} when
      any position will do. */
  LogPosition minimumPosition;
  /** Set when SessionToken::MustReadAtPrimary, or when FreshnessTracker knows no floor. */
  bool mustReadAtPrimary = false;
  /** The group's present term as the VM knows it; 0 when it is unknown, and no replica is read. */
  std::uint64_t term = 0;
  /** The database's primary in this term, when it is known and in service. */
  std::optional<ServerAddress> primary;
  /** When the read's answer is due. */
  Instant deadline;
};

} // namespace mustardshift
