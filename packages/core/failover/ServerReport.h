#pragma once

#include "core/session/LogPosition.h"

#include <cstdint>

namespace mustardshift {

/** What a database server says about itself, read by the server in one step. */
struct ServerReport
{
  std::uint64_t acceptedTerm = 0;
  /** Term of the last entry of the server's log, and the number of entries. The term is never the
      accepted one merely because it is accepted: the choice of a primary compares positions. */
  LogPosition position;
  /** True while the server executes writes as the primary of its accepted term. */
  bool leads = false;

  friend bool operator==(const ServerReport&, const ServerReport&) = default;
};

} // namespace mustardshift
