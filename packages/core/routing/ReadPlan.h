#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/base/Refusal.h"
#include "core/session/LogPosition.h"

#include <variant>

namespace mustardshift {

/** Read from a replica that is known to hold the floor. */
struct ReadAtReplica
{
  ServerAddress replica;
};

/** Ask a replica to wait until it holds the floor, then read from it. When the bound passes first,
    plan again without this replica. */
struct WaitAtReplica
{
  ServerAddress replica;
  LogPosition minimumPosition;
  /** Longest time to wait; ends before the deadline. */
  Duration bound{ 0 };
};

/** Read from the primary, and answer only once the position of the read is on a majority. */
struct ReadAtPrimary
{
  ServerAddress primary;
};

/** Where a read goes, or why it is refused (always with verdict NotRun). */
using ReadPlan = std::variant<ReadAtReplica, WaitAtReplica, ReadAtPrimary, Refusal>;

} // namespace mustardshift
