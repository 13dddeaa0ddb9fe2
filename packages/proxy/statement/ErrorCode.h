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
  /** The server's log lacks the position that was asked for. */
  Lagging,
  /** The server is not the primary. */
  ReadOnly,
  /** The address belongs to another server by now. */
  Misrouted,
  TooManyConnections,
  UnknownStatement,
  Failed,
  Timeout,
  /** A commit or write whose answer was lost. */
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

/** Says whether a server that answered a statement with this code has run it. Codes that only the
    proxy issues map to what they tell the client. Thread safety: pure. */
Verdict VerdictOf(ErrorCode aCode);

} // namespace mustardshift::proxy
