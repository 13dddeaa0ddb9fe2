#pragma once

#include "core/routing/ReadPlan.h"
#include "core/session/LogPosition.h"

namespace mustardshift {

/** Where a read goes, and the position that its answer has to hold. */
struct PlannedRead
{
  ReadPlan plan;
  LogPosition minimumPosition;
};

} // namespace mustardshift
