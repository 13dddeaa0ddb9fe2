#pragma once

#include "core/base/Instant.h"
#include "proxy/pool/PooledConnection.h"
#include "proxy/pool/ServerHealth.h"
#include "proxy/statement/ServerCommand.h"
#include "proxy/statement/ServerReply.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** Result of a command sequence, which ends at the first command that does not succeed, or after
    the last one. */
struct CommandSequenceResult
{
  ServerReply reply;
  /** The command that the reply answers. */
  ServerCommandKind command = ServerCommandKind::Forward;
  /** The reply answers the last command; all commands before it succeeded. */
  bool isLast = false;
  /** Instant just before the command that the reply answers was sent. */
  Instant sentAt{};
  /** Log position returned by a Begin command of the sequence, and the instant just before that
      command was sent. */
  std::optional<LogPosition> beginPosition;
  Instant beginSentAt{};
};

/** Sends commands on one connection, each after the reply to the previous one, and tracks the
    session variables and prepared statements that the server holds for the connection.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network>
class CommandSequence : public std::enable_shared_from_this<CommandSequence<Network>>
{
public:
  using Handler = std::function<void(Instant, CommandSequenceResult)>;

  /** Starts a sequence. The connection must stay open, or be closed through its link, until the
      handler has been called. Precondition: aCommands is not empty and the connection is running no
      command. */
  static void Run(Instant aNow,
                  PooledConnection<Network>& aConnection,
                  ServerHealth& aHealth,
                  std::vector<ServerCommand> aCommands,
                  Handler aHandler)
  {
    auto sequence = std::make_shared<CommandSequence>();
    sequence->connection = &aConnection;
    sequence->health = &aHealth;
    sequence->commands = std::move(aCommands);
    sequence->handler = std::move(aHandler);
    sequence->SendNext(aNow);
  }

private:
  void SendNext(Instant aNow)
  {
    this->result.sentAt = aNow;
    this->connection->link->Send(
      this->commands[this->next],
      [self = this->shared_from_this()](Instant aThen, ServerReply aReply) {
        self->OnReply(aThen, std::move(aReply));
      });
  }

  void OnReply(Instant aNow, ServerReply aReply)
  {
    const ServerCommand& command = this->commands[this->next];
    if (aReply.status == ReplyStatus::Lost && !aReply.isTooLarge) {
      this->health->RecordAttemptFailure(this->connection->server, this->result.sentAt);
    } else {
      this->health->RecordReply(this->connection->server, aNow);
    }
    if (aReply.status == ReplyStatus::Done) {
      this->UpdateConnectionState(command, aReply);
    }
    this->result.isLast = this->next + 1 == this->commands.size();
    if (aReply.status == ReplyStatus::Done && !this->result.isLast) {
      ++this->next;
      this->SendNext(aNow);
      return;
    }
    this->result.command = command.kind;
    this->result.reply = std::move(aReply);
    const Handler callback = std::move(this->handler);
    callback(aNow, std::move(this->result));
  }

  void UpdateConnectionState(const ServerCommand& aCommand, const ServerReply& aReply)
  {
    switch (aCommand.kind) {
      case ServerCommandKind::SetVariable:
        this->connection->variables[aCommand.name] = aCommand.body;
        break;
      case ServerCommandKind::Prepare:
        this->connection->preparedNames.insert(aCommand.name);
        break;
      case ServerCommandKind::Reset:
        this->connection->variables.clear();
        this->connection->preparedNames.clear();
        break;
      case ServerCommandKind::Begin:
        this->result.beginPosition = aReply.position;
        this->result.beginSentAt = this->result.sentAt;
        break;
      default:
        break;
    }
  }

  PooledConnection<Network>* connection = nullptr;
  ServerHealth* health = nullptr;
  std::vector<ServerCommand> commands;
  std::size_t next = 0;
  Handler handler;
  CommandSequenceResult result;
};

} // namespace mustardshift::proxy
