#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "daemon/request/ConnectionLease.h"
#include "daemon/request/ServerConnection.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mustardshift {

/** The connections of this VM to one database server. Opens none beyond the entitlement, the number
    of connections that this VM may have.

    Thread safety: the request loop's thread only. */
class ServerPool : public std::enable_shared_from_this<ServerPool>
{
public:
  /** @param aOnAvailable  called on the loop when a connection may have become free. */
  ServerPool(EventLoop& aLoop,
             ServerAddress aServer,
             std::string aUserAgent,
             std::function<void(Instant)> aOnAvailable);
  ~ServerPool();
  ServerPool(const ServerPool&) = delete;
  ServerPool& operator=(const ServerPool&) = delete;

  /** Sets how many connections may be open. Connections in excess of the number are closed: idle
      ones at once, busy ones when they are returned. */
  void SetEntitlement(unsigned aConnections);

  /** Returns an idle connection or one that is being opened; null if the entitlement is in use or
      the pool backs off after a failed connection attempt. */
  std::shared_ptr<ConnectionLease> TryAcquire(Instant aNow);

  /** Sends a request that needs no exclusive connection, such as WaitForPosition, on any
      connection, also a busy one. Refused with NotRun ConnectionFailed if no connection is open and
      none may be opened. */
  void SendShared(Instant aNow,
                  database::v1::Request aRequest,
                  Duration aTimeout,
                  ServerConnection::AnswerCallback aCallback);

  /** Opens a connection before it is needed, if none is idle, fewer than the entitlement are open
      and the pool does not back off. */
  void Preconnect(Instant aNow);

  /** Closes all connections; outstanding requests are refused. */
  void CloseAll();

  unsigned OpenConnections() const { return static_cast<unsigned>(this->connections.size()); }
  unsigned BusyConnections() const;
  bool IsBackingOff(Instant aNow) const { return aNow < this->backOffUntil; }

private:
  friend class ConnectionLease;

  struct Slot
  {
    std::shared_ptr<ServerConnection> connection;
    bool isBusy = false;
  };

  void Return(const std::shared_ptr<ServerConnection>& aConnection);
  std::shared_ptr<ServerConnection> Open(bool aIsBusy);
  void RemoveClosed();
  void OnOpened(Instant aNow, bool aOpened);

  EventLoop& loop;
  EventLoop::Handle handle;
  ServerAddress server;
  std::string userAgent;
  std::function<void(Instant)> onAvailable;
  unsigned entitlement = 0;
  std::vector<Slot> connections;
  Instant backOffUntil{};
  Duration backOff{ 0 };
};

} // namespace mustardshift
