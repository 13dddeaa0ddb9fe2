#pragma once

#include "core/session/LogPosition.h"
#include "proxy/statement/ErrorCode.h"
#include "proxy/statement/TransactionState.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** The proxy's answer to one statement of a client. */
struct ClientReply
{
  std::vector<std::string> rows;
  /** Signature of the server that ran the statement; empty when the proxy itself gave the reply. */
  std::string signature;
  /** Set when the statement was refused. */
  std::optional<ErrorCode> error;
  /** Human-readable reason of an error. */
  std::string message;
  TransactionState state = TransactionState::Idle;
  std::optional<LogPosition> position;
};

} // namespace mustardshift::proxy
