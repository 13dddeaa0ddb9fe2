#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <string>
#include <vector>

namespace mustardshift {

/** A statement with the values of its placeholders. */
struct Statement
{
  std::string text;
  std::vector<std::string> parameters;
};

/** What a client sends, whatever the call. */
struct CallerRequest
{
  std::string key;
  RouteName route;
  std::string sessionToken;
  RequestId requestId;
  Statement statement;
  bool isReadOnly = false;
  /** True when running the statement twice does no harm. */
  bool isRepeatable = false;
  /** Instant by which the client wants its answer. */
  Instant deadline{};
};

} // namespace mustardshift
