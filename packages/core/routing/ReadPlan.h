#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/base/Refusal.h"
#include "core/session/LogPosition.h"

#include <variant>

namespace mustardshift {

/** Read from a replica whose log is known to have reached the minimum position. */
struct ReadAtReplica
{
  ServerAddress replica;
};

/** Ask a replica to wait until its log has reached the minimum position, then read from it. If this
    takes longer than the bound, plan the read again without this replica. */
struct WaitAtReplica
{
  ServerAddress replica;
  LogPosition minimumPosition;
  /** Maximum time to wait; never extends beyond the read's deadline. */
  Duration bound{ 0 };
};

/** Read from the primary, and answer only after a majority of the servers has confirmed the
    position of the read. */
struct ReadAtPrimary
{
  ServerAddress primary;
};

/** The server that serves a read, or the reason for refusing it (always with verdict NotRun). */
using ReadPlan = std::variant<ReadAtReplica, WaitAtReplica, ReadAtPrimary, Refusal>;

} // namespace mustardshift
