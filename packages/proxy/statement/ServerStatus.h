#pragma once

#include "core/session/LogPosition.h"

#include <cstdint>

namespace mustardshift::proxy {

/** What a database server tells of itself in reply to Status, Pause, Resume and Demote commands. */
struct ServerStatus
{
  /** Newest term that the server knows, also one for which it only has been paused. */
  std::uint64_t newestTerm = 0;
  /** End of what the server has received. The server may not have applied all of it yet; a server
      that is promoted keeps all of it. */
  LogPosition receivedPosition;
};

} // namespace mustardshift::proxy
