#pragma once

#include "core/base/Names.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Names one run of a database server; an address can belong to several in turn. */
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

/** How a database server sees itself. */
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
  /** Statements that run at the same time. */
  unsigned slots = 1;
  ServerState state = ServerState::Ready;
  ServerRole role = ServerRole::Replica;
  /** Start of the process, milliseconds of Unix time; tells two runs under one id apart. */
  std::int64_t startedAtMs = 0;

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

} // namespace mustardshift::proxy
