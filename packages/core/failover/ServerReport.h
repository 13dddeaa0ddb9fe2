#pragma once

#include "core/session/LogPosition.h"

#include <cstdint>

namespace mustardshift {

/** State of a database server as reported by the server itself, which reads it atomically. */
struct ServerReport
{
  std::uint64_t acceptedTerm = 0;
  /** Term of the last entry of the server's log, and the number of entries. Accepting a term does
      not change it. The choice of a primary compares these positions. */
  LogPosition position;
  /** True while the server executes writes as the primary of its accepted term. */
  bool leads = false;

  friend bool operator==(const ServerReport&, const ServerReport&) = default;
};

} // namespace mustardshift
