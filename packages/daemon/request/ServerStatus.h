#pragma once

#include "core/base/Names.h"

#include <cstddef>

namespace mustardshift {

/** State of one database server, as monitoring shows it. */
struct ServerStatus
{
  ServerAddress address;
  std::size_t connections = 0;
  std::size_t queued = 0;
  bool isPrimary = false;
  /** The server answered lately. */
  bool isReachable = false;
};

} // namespace mustardshift
