#pragma once

#include "core/base/Instant.h"
#include "core/base/Outcome.h"
#include "core/session/LogPosition.h"

#include <functional>
#include <string>
#include <vector>

namespace mustardshift {

/** The result of a statement that ran. */
struct StatementResult
{
  std::vector<std::string> rows;
  /** Log position that the session has observed with this result; a majority of the database's
      servers holds it. */
  LogPosition position;
  bool servedByReplica = false;
};

/** Called exactly once for each statement, on the request loop. */
using StatementCallback = std::function<void(Instant, Outcome<StatementResult>)>;

} // namespace mustardshift
