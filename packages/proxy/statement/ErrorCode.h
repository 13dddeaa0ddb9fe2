#pragma once

#include "core/base/Verdict.h"

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Why a statement or a session was refused, by a database server or by the proxy. */
enum class ErrorCode
{
  /** Overloaded, or the proxy can't serve the request now. */
  Busy,
  Aborted,
  /** The server's log doesn't contain the position that was requested. */
  Lagging,
  /** The server is not the primary. */
  ReadOnly,
  /** The address now belongs to another server. */
  Misrouted,
  TooManyConnections,
  UnknownStatement,
  Failed,
  Timeout,
  /** The answer to a commit or a write was lost, so it is unknown whether it took effect. */
  InDoubt,
  Unauthorised,
  UnknownDatabase,
  Malformed,
};

inline constexpr std::array<std::pair<ErrorCode, std::string_view>, 13> kErrorCodeNames{ {
  { ErrorCode::Busy, "busy" },
  { ErrorCode::Aborted, "aborted" },
  { ErrorCode::Lagging, "lagging" },
  { ErrorCode::ReadOnly, "read-only" },
  { ErrorCode::Misrouted, "misrouted" },
  { ErrorCode::TooManyConnections, "too-many-connections" },
  { ErrorCode::UnknownStatement, "unknown-statement" },
  { ErrorCode::Failed, "failed" },
  { ErrorCode::Timeout, "timeout" },
  { ErrorCode::InDoubt, "in-doubt" },
  { ErrorCode::Unauthorised, "unauthorised" },
  { ErrorCode::UnknownDatabase, "unknown-database" },
  { ErrorCode::Malformed, "malformed" },
} };

/** Returns whether a server that answered a statement with this code has run the statement. For a
    code that only the proxy issues, returns what the code tells the client. Thread safety: pure. */
Verdict VerdictOf(ErrorCode aCode);

} // namespace mustardshift::proxy
