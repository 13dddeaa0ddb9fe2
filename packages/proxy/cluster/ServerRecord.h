#pragma once

#include "core/base/Names.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Identifies one process of a database server; successive processes can have the same address. */
using ServerId = Name<struct ServerIdTag>;

/** Whether a database server takes new work. */
enum class ServerState
{
  Ready,
  Draining,
};

inline constexpr std::array<std::pair<ServerState, std::string_view>, 2> kServerStateNames{ {
  { ServerState::Ready, "ready" },
  { ServerState::Draining, "draining" },
} };

/** Role that a database server reports about itself. */
enum class ServerRole
{
  Primary,
  Replica,
};

inline constexpr std::array<std::pair<ServerRole, std::string_view>, 2> kServerRoleNames{ {
  { ServerRole::Primary, "primary" },
  { ServerRole::Replica, "replica" },
} };

/** A database server's entry in the list of servers. */
struct ServerRecord
{
  ServerId id;
  /** The group that the server belongs to. */
  DatabaseName group;
  ServerAddress address;
  FailureDomainName domain;
  /** Number of statements that the server runs at the same time. */
  unsigned slots = 1;
  ServerState state = ServerState::Ready;
  ServerRole role = ServerRole::Replica;
  /** Start of the process in milliseconds of Unix time; distinguishes two processes with the same
      id. */
  std::int64_t startedAtMs = 0;

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

} // namespace mustardshift::proxy
