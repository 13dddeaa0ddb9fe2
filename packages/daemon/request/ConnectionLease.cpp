#include "daemon/request/ConnectionLease.h"

#include "daemon/request/ServerPool.h"

#include <utility>

namespace mustardshift {

ConnectionLease::ConnectionLease(std::weak_ptr<ServerPool> aPool,
                                 std::shared_ptr<ServerConnection> aConnection)
  : pool(std::move(aPool))
  , connection(std::move(aConnection))
{
}

ConnectionLease::~ConnectionLease()
{
  if (const std::shared_ptr<ServerPool> owner = this->pool.lock()) {
    owner->Return(this->connection);
  }
}

void ConnectionLease::Send(database::v1::Request aRequest,
                           Duration aTimeout,
                           ServerConnection::AnswerCallback aCallback)
{
  this->connection->Send(std::move(aRequest), aTimeout, std::move(aCallback));
}

void ConnectionLease::Discard()
{
  this->connection->Close();
}

} // namespace mustardshift
