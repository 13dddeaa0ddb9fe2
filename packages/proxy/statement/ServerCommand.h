#pragma once

#include "core/session/LogPosition.h"
#include "proxy/statement/AccessKind.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mustardshift::proxy {

/** Kind of a command that the proxy sends to a database server. */
enum class ServerCommandKind
{
  /** Runs a client's statement with its text unchanged. */
  Forward,
  /** Runs a prepared statement for a client, under its name on the connection. */
  Execute,
  SetVariable,
  Prepare,
  Begin,
  BeginReadOnly,
  Rollback,
  /** Removes the session variables and the prepared statements of the connection. */
  Reset,
  /** Requests ServerReply::serverStatus. */
  Status,
  /** Makes a replica receive nothing until Resume, the next promotion, or its restart. Refused
      unless `term` is above the newest term. */
  Pause,
  Resume,
  /** Makes a primary a replica if its term is below `term`. */
  Demote,
};

struct ServerCommand
{
  ServerCommandKind kind = ServerCommandKind::Forward;
  /** The client's request id; empty for commands that the proxy issues itself. */
  std::string requestId;
  /** Forward only. */
  std::string text;
  /** Name of a session variable or of a prepared statement on this connection. */
  std::string name;
  /** Value (SetVariable), statement text (Prepare) or arguments (Execute). */
  std::string body;
  AccessKind access = AccessKind::Read;
  /** Pause and Demote only. */
  std::uint64_t term = 0;
  /** The server refuses the command as Lagging unless its log contains this position. */
  std::optional<LogPosition> minimumPosition;
};

} // namespace mustardshift::proxy
