#pragma once

#include "adapters/platform/PlatformError.h"
#include "adapters/platform/TableRow.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace mustardshift {

/** What a call to the platform returns in place of a result. */
struct PlatformFailure
{
  PlatformError error = PlatformError::NotReached;
  /** With PlatformError::Conflict: the present rows of all preconditions that failed; a row that
      does not exist is listed with version zero. */
  std::vector<TableRow> conflicts;
  /** One sentence for people. */
  std::string message;
};

/** A result of the platform, or the failure that took its place. */
template<class T>
using PlatformResult = tl::expected<T, PlatformFailure>;

} // namespace mustardshift
