#include "daemon/request/ServerConnection.h"

#include <utility>

namespace mustardshift {

ServerConnection::ServerConnection(EventLoop& aLoop,
                                   const ServerAddress& aServer,
                                   const std::string& aUserAgent,
                                   const std::function<void(Instant, bool)>& aOnOpened)
  : loop(aLoop)
{
  DatabaseConnectionOptions options;
  options.userAgent = aUserAgent;
  options.onOpened = [loop = this->loop.GetHandle(), aOnOpened](const Outcome<void>& aOutcome) {
    const bool opened = aOutcome.has_value();
    loop.Post([aOnOpened, opened](Instant aNow) { aOnOpened(aNow, opened); });
  };
  this->connection = DatabaseConnection::Open(aServer, std::move(options));
}

void ServerConnection::Send(database::v1::Request aRequest,
                            Duration aTimeout,
                            AnswerCallback aCallback)
{
  this->connection->Send(
    std::move(aRequest),
    aTimeout,
    [loop = this->loop.GetHandle(),
     callback = std::move(aCallback)](Outcome<database::v1::Answer> aAnswer) {
      loop.Post([callback, answer = std::move(aAnswer)](Instant aNow) { callback(aNow, answer); });
    });
}

} // namespace mustardshift
