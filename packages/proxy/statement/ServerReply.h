#pragma once

#include "core/session/LogPosition.h"
#include "proxy/statement/ErrorCode.h"
#include "proxy/statement/TransactionState.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** How a command ended. */
enum class ReplyStatus
{
  Done,
  /** The server answered with an error. */
  Refused,
  /** No complete answer arrived, and the connection is closed. */
  Lost,
};

/** A database server's answer to one command. */
struct ServerReply
{
  ReplyStatus status = ReplyStatus::Lost;
  std::vector<std::string> rows;
  /** The server's proof that it ran the statement. */
  std::string signature;
  ErrorCode error = ErrorCode::Failed;
  std::string message;
  TransactionState state = TransactionState::Idle;
  /** Position up to which the server had applied its log when it answered. */
  std::optional<LogPosition> position;
  /** End of what the server has received, in replies to ServerCommandKind::Status. The server may
      not have applied all of it yet; a server that is promoted keeps all of it. */
  std::optional<LogPosition> receivedPosition;
};

} // namespace mustardshift::proxy
