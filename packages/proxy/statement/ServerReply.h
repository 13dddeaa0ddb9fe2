#pragma once

#include "core/session/LogPosition.h"
#include "proxy/statement/ErrorCode.h"
#include "proxy/statement/ServerStatus.h"
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
  /** The answer was given up because it was larger than this VM can hold; its status is Lost. */
  bool isTooLarge = false;
  std::vector<std::string> rows;
  /** The server's proof that it ran the statement. */
  std::string signature;
  ErrorCode error = ErrorCode::Failed;
  std::string message;
  TransactionState state = TransactionState::Idle;
  /** Position up to which the server had applied its log when it answered. */
  std::optional<LogPosition> position;
  /** Set in replies to Status, Pause, Resume and Demote commands, unless the server refused. */
  std::optional<ServerStatus> serverStatus;
};

} // namespace mustardshift::proxy
