#pragma once

#include "core/base/Names.h"

#include <cstddef>

namespace mustardshift {

/** State of one database server, for monitoring. */
struct ServerStatus
{
  ServerAddress address;
  std::size_t connections = 0;
  std::size_t queued = 0;
  bool isPrimary = false;
  /** Whether the server has answered recently. */
  bool isReachable = false;
};

} // namespace mustardshift
