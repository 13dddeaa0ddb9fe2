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

/** The fields that clients send; shared by all calls. */
struct CallerRequest
{
  std::string key;
  RouteName route;
  std::string sessionToken;
  RequestId requestId;
  Statement statement;
  bool isReadOnly = false;
  /** True if the client permits that the statement runs more than once. */
  bool isRepeatable = false;
  /** Instant by which the client expects its reply. */
  Instant deadline{};
};

} // namespace mustardshift
