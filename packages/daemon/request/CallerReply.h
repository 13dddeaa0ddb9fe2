#pragma once

#include "core/base/Outcome.h"

#include <functional>
#include <string>
#include <vector>

namespace mustardshift {

/** The result of a request that ran, as returned to the client. */
struct CallerAnswer
{
  std::vector<std::string> rows;
  std::string sessionToken;
  bool servedByReplica = false;
};

/** Called exactly once for each request, on the request loop's thread; it must not block. */
using ReplyCallback = std::function<void(Outcome<CallerAnswer>)>;

} // namespace mustardshift
