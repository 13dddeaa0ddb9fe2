#pragma once

#include "core/session/LogPosition.h"
#include "proxy/statement/AccessKind.h"

#include <optional>
#include <string>

namespace mustardshift::proxy {

/** What the proxy sends to a database server. */
enum class ServerCommandKind
{
  /** A client's statement, text unchanged. */
  Forward,
  /** A client's execution of a prepared statement, under the name that the connection uses. */
  Execute,
  SetValue,
  Prepare,
  Begin,
  BeginReadOnly,
  Rollback,
  /** Drops session values and prepared names. */
  Reset,
  /** Asks for role and log position. */
  Status,
};

struct ServerCommand
{
  ServerCommandKind kind = ServerCommandKind::Forward;
  /** The client's request id; empty for commands of the proxy's own. */
  std::string requestId;
  /** Forward only. */
  std::string text;
  /** Name of a session value or of a prepared statement on this connection. */
  std::string name;
  /** Value, shape or arguments. */
  std::string body;
  AccessKind access = AccessKind::Read;
  /** The server refuses as Lagging unless its log holds this position. */
  std::optional<LogPosition> after;
};

} // namespace mustardshift::proxy
