#include "daemon/request/ServerPool.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

namespace {

/** Delay after a connection could not be opened; it doubles with each failure up to kMaxBackOff. */
constexpr Duration kMinBackOff = std::chrono::milliseconds(20);
constexpr Duration kMaxBackOff = std::chrono::seconds(1);

} // namespace

ServerPool::ServerPool(EventLoop& aLoop,
                       ServerAddress aServer,
                       std::string aUserAgent,
                       std::function<void(Instant)> aOnAvailable)
  : loop(aLoop)
  , handle(aLoop.GetHandle())
  , server(std::move(aServer))
  , userAgent(std::move(aUserAgent))
  , onAvailable(std::move(aOnAvailable))
{
}

ServerPool::~ServerPool()
{
  this->CloseAll();
}

void ServerPool::SetEntitlement(unsigned aConnections)
{
  this->entitlement = aConnections;
  this->RemoveClosed();
  std::size_t open = this->connections.size();
  for (Slot& slot : this->connections) {
    if (open <= this->entitlement) {
      break;
    }
    if (!slot.isBusy) {
      slot.connection->Close();
      --open;
    }
  }
  this->RemoveClosed();
}

std::shared_ptr<ConnectionLease> ServerPool::TryAcquire(Instant aNow)
{
  this->RemoveClosed();
  for (Slot& slot : this->connections) {
    if (!slot.isBusy) {
      slot.isBusy = true;
      return std::make_shared<ConnectionLease>(this->weak_from_this(), slot.connection);
    }
  }
  if (this->connections.size() >= this->entitlement || this->IsBackingOff(aNow)) {
    return nullptr;
  }
  return std::make_shared<ConnectionLease>(this->weak_from_this(), this->Open(true));
}

void ServerPool::SendShared(Instant aNow,
                            database::v1::Request aRequest,
                            Duration aTimeout,
                            ServerConnection::AnswerCallback aCallback)
{
  this->RemoveClosed();
  std::shared_ptr<ServerConnection> connection;
  if (!this->connections.empty()) {
    connection = this->connections.front().connection;
  } else if (this->entitlement > 0 && !this->IsBackingOff(aNow)) {
    connection = this->Open(false);
  }
  if (!connection) {
    this->loop.Post([callback = std::move(aCallback)](Instant aLater) {
      callback(aLater,
               RefuseNotRun(Reason::ConnectionFailed, "no connection to the server may be opened"));
    });
    return;
  }
  connection->Send(std::move(aRequest), aTimeout, std::move(aCallback));
}

void ServerPool::Preconnect(Instant aNow)
{
  this->RemoveClosed();
  const bool hasIdle = std::any_of(this->connections.begin(),
                                   this->connections.end(),
                                   [](const Slot& aSlot) { return !aSlot.isBusy; });
  if (hasIdle || this->connections.size() >= this->entitlement || this->IsBackingOff(aNow)) {
    return;
  }
  this->Open(false);
}

void ServerPool::CloseAll()
{
  for (const Slot& slot : this->connections) {
    slot.connection->Close();
  }
  this->RemoveClosed();
}

unsigned ServerPool::BusyConnections() const
{
  return static_cast<unsigned>(std::count_if(this->connections.begin(),
                                             this->connections.end(),
                                             [](const Slot& aSlot) { return aSlot.isBusy; }));
}

void ServerPool::Return(const std::shared_ptr<ServerConnection>& aConnection)
{
  for (Slot& slot : this->connections) {
    if (slot.connection == aConnection) {
      slot.isBusy = false;
    }
  }
  if (this->connections.size() > this->entitlement) {
    aConnection->Close();
  }
  this->RemoveClosed();
  // Posted through the handle, since a lease may be destroyed after the loop, with a task that
  // holds it.
  this->handle.Post([weak = this->weak_from_this()](Instant aNow) {
    if (const auto self = weak.lock()) {
      self->onAvailable(aNow);
    }
  });
}

std::shared_ptr<ServerConnection> ServerPool::Open(bool aIsBusy)
{
  auto connection =
    std::make_shared<ServerConnection>(this->loop,
                                       this->server,
                                       this->userAgent,
                                       [weak = this->weak_from_this()](Instant aNow, bool aOpened) {
                                         if (const auto self = weak.lock()) {
                                           self->OnOpened(aNow, aOpened);
                                         }
                                       });
  this->connections.push_back({ connection, aIsBusy });
  return connection;
}

void ServerPool::RemoveClosed()
{
  std::erase_if(this->connections, [](const Slot& aSlot) { return !aSlot.connection->IsUsable(); });
}

void ServerPool::OnOpened(Instant aNow, bool aOpened)
{
  if (aOpened) {
    this->backOff = Duration{ 0 };
    this->backOffUntil = Instant{};
    this->onAvailable(aNow);
    return;
  }
  this->backOff = std::clamp(this->backOff * 2, kMinBackOff, kMaxBackOff);
  this->backOffUntil = aNow + this->backOff;
  this->loop.Schedule(this->backOffUntil, [weak = this->weak_from_this()](Instant aLater) {
    if (const auto self = weak.lock()) {
      self->onAvailable(aLater);
    }
  });
}

} // namespace mustardshift
