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
  /** Term in which the server itself leads or receives. */
  std::uint64_t term = 0;
  /** Term for which the server has been paused; 0 if it receives. */
  std::uint64_t pausedTerm = 0;
  /** Whether the server leads its group, as far as it knows. */
  bool isPrimary = false;
};

} // namespace mustardshift::proxy
