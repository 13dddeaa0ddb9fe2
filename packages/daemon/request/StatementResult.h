#pragma once

#include "core/base/Instant.h"
#include "core/base/Outcome.h"
#include "core/session/LogPosition.h"

#include <functional>
#include <string>
#include <vector>

namespace mustardshift {

/** What a statement that ran returned. */
struct StatementResult
{
  std::vector<std::string> rows;
  /** Position that the session has seen with it; on a majority of the group. */
  LogPosition position;
  bool servedByReplica = false;
};

/** Called exactly once, on the request loop. */
using StatementCallback = std::function<void(Instant, Outcome<StatementResult>)>;

} // namespace mustardshift
