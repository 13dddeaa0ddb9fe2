#pragma once

#include "core/routing/ReadPlan.h"
#include "core/session/LogPosition.h"

namespace mustardshift {

/** The server chosen for a read, and the log position that this server's log must hold. */
struct PlannedRead
{
  ReadPlan plan;
  LogPosition minimumPosition;
};

} // namespace mustardshift
