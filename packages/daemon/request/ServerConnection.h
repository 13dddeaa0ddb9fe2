#pragma once

#include "adapters/database/DatabaseConnection.h"
#include "core/base/Instant.h"
#include "daemon/loop/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace mustardshift {

/** A connection to a database server whose answers arrive on the request loop.

    Thread safety: the request loop's thread only. */
class ServerConnection
{
public:
  using AnswerCallback = std::function<void(Instant, Outcome<database::v1::Answer>)>;

  /** @param aOnOpened  called on the loop once the connection is open (true) or has failed
                        (false). */
  ServerConnection(EventLoop& aLoop,
                   const ServerAddress& aServer,
                   const std::string& aUserAgent,
                   const std::function<void(Instant, bool)>& aOnOpened);

  /** Sends a request; several may be outstanding. See DatabaseConnection::Send for the errors. */
  void Send(database::v1::Request aRequest, Duration aTimeout, AnswerCallback aCallback);

  /** Closes the connection; outstanding requests are refused. */
  void Close() { this->connection->Close(); }

  bool IsUsable() const { return this->connection->IsUsable(); }

private:
  EventLoop& loop;
  std::unique_ptr<DatabaseConnection> connection;
};

} // namespace mustardshift
