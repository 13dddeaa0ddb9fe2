#pragma once

#include "core/base/Outcome.h"

#include <functional>
#include <string>
#include <vector>

namespace mustardshift {

/** The answer to a request that ran. */
struct CallerAnswer
{
  std::vector<std::string> rows;
  std::string sessionToken;
  bool servedByReplica = false;
};

/** Called exactly once for each request, on the request loop's thread; it must not block. */
using ReplyCallback = std::function<void(Outcome<CallerAnswer>)>;

} // namespace mustardshift
