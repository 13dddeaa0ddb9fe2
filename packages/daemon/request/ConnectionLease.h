#pragma once

#include "daemon/request/ServerConnection.h"

#include <memory>

namespace mustardshift {

class ServerPool;

/** Exclusive use of one pooled connection for a statement or a transaction. The destructor returns
    the connection to its pool.

    Thread safety: the request loop's thread only. */
class ConnectionLease
{
public:
  ConnectionLease(std::weak_ptr<ServerPool> aPool, std::shared_ptr<ServerConnection> aConnection);
  ~ConnectionLease();
  ConnectionLease(const ConnectionLease&) = delete;
  ConnectionLease& operator=(const ConnectionLease&) = delete;

  /** Sends on the connection; see ServerConnection::Send. */
  void Send(database::v1::Request aRequest,
            Duration aTimeout,
            ServerConnection::AnswerCallback aCallback);

  /** Closes the connection, so that it is not reused. The server rolls back the transaction that is
      open on it. */
  void Discard();

private:
  std::weak_ptr<ServerPool> pool;
  std::shared_ptr<ServerConnection> connection;
};

} // namespace mustardshift
