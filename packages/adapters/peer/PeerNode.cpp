#include "adapters/peer/PeerNode.h"

#include "core/base/Assert.h"
#include "protocol/peer/PeerMessageCodec.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <variant>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace mustardshift {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

constexpr const char* kVmHeader = "Mustardshift-Vm";
constexpr const char* kPath = "/peer";

// Bytes handed to a socket that it has not taken yet. Beyond it messages stay in the node's own
// queue, where the oldest pings give way.
constexpr std::size_t kSocketBacklogLimit = std::size_t{ 128 } * 1024;
constexpr std::chrono::milliseconds kBacklogPoll{ 20 };
// Unacknowledged data for this long means that the path is cut; TCP alone would go on for many
// minutes and, once the path is back, wait for its last long retransmission interval.
constexpr unsigned kTcpUserTimeoutMilliseconds = 3000;
constexpr long kOpenTimeoutMilliseconds = 2000;
constexpr long kCloseTimeoutMilliseconds = 1000;
constexpr std::size_t kIncomingLimit = 256;

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == aAddress.size()) {
    return std::nullopt;
  }
  std::string host = aAddress.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string portText = aAddress.substr(colon + 1);
  constexpr std::size_t kPortDigits = 5;
  if (portText.size() > kPortDigits ||
      !std::all_of(portText.begin(), portText.end(), [](char aCharacter) {
        return aCharacter >= '0' && aCharacter <= '9';
      })) {
    return std::nullopt;
  }
  const unsigned long port = std::stoul(portText);
  asio::error_code error;
  const asio::ip::address address = asio::ip::make_address(host, error);
  if (error || port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

void SetSocketOptions(int aSocket)
{
  const int on = 1;
  const int idleSeconds = 10;
  const int intervalSeconds = 3;
  const int probes = 3;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ::setsockopt(aSocket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  ::setsockopt(aSocket,
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &kTcpUserTimeoutMilliseconds,
               sizeof kTcpUserTimeoutMilliseconds);
}

/** A message that waits for its link. */
struct QueuedMessage
{
  std::vector<std::uint8_t> bytes;
  bool isPing = false;
};

/** The outgoing link to one peer. The queue is guarded by the node's mutex; the other members
    but the constant ones belong to the node's thread. */
struct Link
{
  Link(PeerAddress aPeer, asio::io_context& aContext)
    : peer(std::move(aPeer))
    , timer(aContext)
  {
  }

  const PeerAddress peer;
  std::deque<QueuedMessage> queue;
  bool isFlushPosted = false;

  asio::steady_timer timer;
  Client::connection_ptr connection;
  bool isOpen = false;
  bool isRemoved = false;
  unsigned failures = 0;
};

using LinkPointer = std::shared_ptr<Link>;

} // namespace

class PeerNode::Implementation
{
public:
  Implementation(PeerNodeOptions aOptions, ReceiveCallback aOnReceive)
    : options(std::move(aOptions))
    , onReceive(std::move(aOnReceive))
    , work(asio::make_work_guard(this->context))
    , random(this->options.seed)
  {
  }

  std::optional<std::string> Listen()
  {
    const std::optional<asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(this->options.listenAddress);
    if (!endpoint) {
      return "the listen address is malformed: " + this->options.listenAddress;
    }
    this->SetUpEndpoint(this->server);
    this->SetUpEndpoint(this->client);
    this->server.set_reuse_addr(true);
    this->server.set_validate_handler(
      [this](const Handle& aHandle) { return this->Validate(aHandle); });
    this->server.set_message_handler(
      [this](const Handle& aHandle, const Server::message_ptr& aMessage) {
        this->OnIncomingMessage(aHandle, aMessage);
      });
    this->server.set_fail_handler([this](const Handle& aHandle) { this->incoming.erase(aHandle); });
    this->server.set_close_handler(
      [this](const Handle& aHandle) { this->incoming.erase(aHandle); });

    websocketpp::lib::error_code error;
    this->server.listen(*endpoint, error);
    if (error) {
      return "cannot listen on " + this->options.listenAddress + ": " + error.message();
    }
    asio::error_code endpointError;
    this->port = this->server.get_local_endpoint(endpointError).port();
    this->server.start_accept(error);
    if (error) {
      return "cannot accept on " + this->options.listenAddress + ": " + error.message();
    }
    this->thread = std::thread([this] { this->context.run(); });
    return std::nullopt;
  }

  void Stop()
  {
    const std::lock_guard stopLock(this->stopMutex);
    {
      const std::lock_guard lock(this->mutex);
      this->stopped = true;
      for (const auto& [id, link] : this->links) {
        this->messagesDropped += link->queue.size();
        link->queue.clear();
      }
    }
    if (this->thread.joinable()) {
      MUSTARDSHIFT_ASSERT(this->thread.get_id() != std::this_thread::get_id());
      this->context.stop();
      this->thread.join();
      this->CloseSockets();
    }
  }

  void SetPeers(const std::vector<PeerAddress>& aPeers)
  {
    const std::lock_guard lock(this->mutex);
    if (this->stopped) {
      return;
    }
    std::map<VmId, LinkPointer> next;
    for (const PeerAddress& peer : aPeers) {
      if (peer.id == this->options.self || peer.id.IsEmpty()) {
        continue;
      }
      const auto present = this->links.find(peer.id);
      if (present != this->links.end() && present->second->peer == peer) {
        next[peer.id] = present->second;
        continue;
      }
      LinkPointer link = std::make_shared<Link>(peer, this->context);
      next[peer.id] = link;
      asio::post(this->context, [this, link] { this->Open(link); });
    }
    for (const auto& [id, present] : this->links) {
      const LinkPointer link = present;
      const auto kept = next.find(id);
      if (kept != next.end() && kept->second == link) {
        continue;
      }
      this->messagesDropped += link->queue.size();
      link->queue.clear();
      asio::post(this->context, [this, link] { this->Remove(link); });
    }
    this->links = std::move(next);
  }

  bool Send(const VmId& aPeer, const PeerMessage& aMessage)
  {
    MUSTARDSHIFT_ASSERT(HeaderOf(aMessage).sender == this->options.self);
    Outcome<std::vector<std::uint8_t>> bytes = EncodePeerMessage(aMessage);
    if (!bytes) {
      return false;
    }
    const bool isPing =
      std::holds_alternative<Ping>(aMessage) || std::holds_alternative<Pong>(aMessage);

    const std::lock_guard lock(this->mutex);
    const auto found = this->links.find(aPeer);
    if (this->stopped || found == this->links.end()) {
      return false;
    }
    const LinkPointer& link = found->second;
    if (link->queue.size() >= this->options.queueCapacity) {
      const auto oldestPing =
        std::find_if(link->queue.begin(), link->queue.end(), [](const QueuedMessage& aQueued) {
          return aQueued.isPing;
        });
      link->queue.erase(oldestPing == link->queue.end() ? link->queue.begin() : oldestPing);
      ++this->messagesDropped;
    }
    link->queue.push_back({ std::move(*bytes), isPing });
    this->PostFlush(link);
    return true;
  }

  PeerNodeCounters Counters() const
  {
    PeerNodeCounters counters;
    counters.messagesSent = this->messagesSent;
    counters.bytesSent = this->bytesSent;
    counters.messagesReceived = this->messagesReceived;
    counters.bytesReceived = this->bytesReceived;
    counters.messagesDropped = this->messagesDropped;
    counters.messagesRejected = this->messagesRejected;
    counters.linksRejected = this->linksRejected;
    counters.linksOpened = this->linksOpened;
    counters.linksOpen = this->linksOpen;
    return counters;
  }

  std::uint16_t ListenPort() const { return this->port; }

private:
  template<class Endpoint>
  void SetUpEndpoint(Endpoint& aEndpoint)
  {
    aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
    aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
    aEndpoint.init_asio(&this->context);
    aEndpoint.set_max_message_size(kPeerMessageSizeLimit);
    aEndpoint.set_open_handshake_timeout(kOpenTimeoutMilliseconds);
    aEndpoint.set_close_handshake_timeout(kCloseTimeoutMilliseconds);
    aEndpoint.set_tcp_post_init_handler([&aEndpoint](Handle aHandle) {
      websocketpp::lib::error_code error;
      const auto connection = aEndpoint.get_con_from_hdl(aHandle, error);
      if (connection) {
        SetSocketOptions(connection->get_raw_socket().native_handle());
      }
    });
  }

  bool Validate(const Handle& aHandle)
  {
    const Server::connection_ptr connection = this->server.get_con_from_hdl(aHandle);
    const VmId id(connection->get_request_header(kVmHeader));
    if (id.IsEmpty() || id == this->options.self || this->incoming.size() >= kIncomingLimit) {
      ++this->linksRejected;
      connection->set_status(websocketpp::http::status_code::bad_request);
      return false;
    }
    connection->append_header(kVmHeader, this->options.self.Text());
    this->incoming[aHandle] = id;
    return true;
  }

  void OnIncomingMessage(const Handle& aHandle, const Server::message_ptr& aMessage)
  {
    const auto found = this->incoming.find(aHandle);
    if (found == this->incoming.end()) {
      return;
    }
    const VmId id = found->second;
    if (this->Receive(id, aMessage->get_opcode(), aMessage->get_payload())) {
      return;
    }
    // The rest of what this link brings is not looked at.
    this->incoming.erase(found);
    this->CloseConnection(this->server.get_con_from_hdl(aHandle));
  }

  /** Passes a message on; returns false when its link has to be closed. */
  bool Receive(const VmId& aPeer,
               websocketpp::frame::opcode::value aOpcode,
               const std::string& aPayload)
  {
    if (aOpcode == websocketpp::frame::opcode::binary) {
      // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): bytes held as characters
      const auto* data = reinterpret_cast<const std::uint8_t*>(aPayload.data());
      Outcome<PeerMessage> message = DecodePeerMessage({ data, aPayload.size() });
      if (message && HeaderOf(*message).sender == aPeer) {
        ++this->messagesReceived;
        this->bytesReceived += aPayload.size();
        this->onReceive(aPeer, std::move(*message), aPayload.size());
        return true;
      }
    }
    ++this->messagesRejected;
    return false;
  }

  void Open(const LinkPointer& aLink)
  {
    if (aLink->isRemoved) {
      return;
    }
    websocketpp::lib::error_code error;
    const Client::connection_ptr connection =
      ParseEndpoint(aLink->peer.address)
        ? this->client.get_connection("ws://" + aLink->peer.address + kPath, error)
        : nullptr;
    if (error || !connection) {
      this->Retry(aLink);
      return;
    }
    connection->append_header(kVmHeader, this->options.self.Text());
    connection->set_open_handler([this, aLink](const Handle&) { this->OnOpen(aLink); });
    connection->set_fail_handler([this, aLink](const Handle&) { this->OnLost(aLink); });
    connection->set_close_handler([this, aLink](const Handle&) { this->OnLost(aLink); });
    connection->set_message_handler([](const Handle&, const Client::message_ptr&) {
      // Peers send through their own outgoing links only.
    });
    aLink->connection = connection;
    this->client.connect(connection);
  }

  void OnOpen(const LinkPointer& aLink)
  {
    if (aLink->isRemoved) {
      this->CloseConnection(aLink->connection);
      return;
    }
    if (aLink->connection->get_response_header(kVmHeader) != aLink->peer.id.Text()) {
      ++this->linksRejected;
      this->CloseConnection(aLink->connection);
      return;
    }
    aLink->isOpen = true;
    aLink->failures = 0;
    ++this->linksOpened;
    ++this->linksOpen;
    this->Flush(aLink);
  }

  void OnLost(const LinkPointer& aLink)
  {
    if (aLink->isOpen) {
      aLink->isOpen = false;
      --this->linksOpen;
    }
    aLink->connection.reset();
    this->closing.erase(aLink);
    this->Retry(aLink);
  }

  void Retry(const LinkPointer& aLink)
  {
    if (aLink->isRemoved) {
      return;
    }
    constexpr unsigned kMostDoublings = 16;
    const unsigned doublings = std::min(aLink->failures, kMostDoublings);
    ++aLink->failures;
    const Duration longest =
      std::min(this->options.reconnectMinimum * (1U << doublings), this->options.reconnectMaximum);
    // Jitter keeps all VMs from knocking at a restarted peer at once.
    std::uniform_int_distribution<Duration::rep> wait(longest.count() / 2, longest.count());
    aLink->timer.expires_after(Duration{ wait(this->random) });
    aLink->timer.async_wait([this, aLink](const asio::error_code& aError) {
      if (!aError) {
        this->Open(aLink);
      }
    });
  }

  void Remove(const LinkPointer& aLink)
  {
    aLink->isRemoved = true;
    aLink->timer.cancel();
    if (aLink->connection) {
      this->closing.insert(aLink);
      this->CloseConnection(aLink->connection);
    }
  }

  template<class ConnectionPointer>
  void CloseConnection(const ConnectionPointer& aConnection)
  {
    if (!aConnection) {
      return;
    }
    websocketpp::lib::error_code error;
    aConnection->close(websocketpp::close::status::policy_violation, "", error);
  }

  /** Precondition: the mutex is held. */
  void PostFlush(const LinkPointer& aLink)
  {
    if (aLink->isFlushPosted) {
      return;
    }
    aLink->isFlushPosted = true;
    asio::post(this->context, [this, aLink] { this->Flush(aLink); });
  }

  void Flush(const LinkPointer& aLink)
  {
    std::unique_lock lock(this->mutex);
    aLink->isFlushPosted = false;
    while (aLink->isOpen && !aLink->queue.empty()) {
      if (aLink->connection->get_buffered_amount() > kSocketBacklogLimit) {
        this->FlushLater(aLink);
        return;
      }
      const QueuedMessage message = std::move(aLink->queue.front());
      aLink->queue.pop_front();
      lock.unlock();
      const websocketpp::lib::error_code error =
        aLink->connection->send(message.bytes.data(), message.bytes.size());
      if (error) {
        // The link is about to close; its handler reconnects.
        ++this->messagesDropped;
        return;
      }
      ++this->messagesSent;
      this->bytesSent += message.bytes.size();
      lock.lock();
    }
  }

  /** Precondition: the mutex is held and the link is open, so that its timer is free. */
  void FlushLater(const LinkPointer& aLink)
  {
    aLink->isFlushPosted = true;
    aLink->timer.expires_after(kBacklogPoll);
    aLink->timer.async_wait([this, aLink](const asio::error_code& aError) {
      if (!aError) {
        this->Flush(aLink);
        return;
      }
      // The link was lost meanwhile, and its timer serves the reconnection.
      const std::lock_guard lock(this->mutex);
      aLink->isFlushPosted = false;
    });
  }

  /** Closes all sockets once the thread has ended, so that peers notice at once. */
  void CloseSockets()
  {
    asio::error_code ignored;
    websocketpp::lib::error_code listenError;
    this->server.stop_listening(listenError);
    for (const auto& [handle, id] : this->incoming) {
      if (const auto connection = this->server.get_con_from_hdl(handle, listenError)) {
        connection->get_raw_socket().close(ignored);
      }
    }
    for (const auto& [id, link] : this->links) {
      this->closing.insert(link);
    }
    for (const LinkPointer& link : this->closing) {
      if (link->connection) {
        link->connection->get_raw_socket().close(ignored);
        // The connection's handlers own the link.
        link->connection.reset();
      }
    }
    this->closing.clear();
    this->linksOpen = 0;
  }

  const PeerNodeOptions options;
  const ReceiveCallback onReceive;

  asio::io_context context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> work;
  Server server;
  Client client;
  std::thread thread;
  std::uint16_t port = 0;

  std::mutex stopMutex;
  std::mutex mutex;
  bool stopped = false;
  std::map<VmId, LinkPointer> links;

  // These belong to the node's thread.
  std::map<Handle, VmId, std::owner_less<Handle>> incoming;
  std::set<LinkPointer> closing;
  std::mt19937_64 random;

  std::atomic<std::uint64_t> messagesSent = 0;
  std::atomic<std::uint64_t> bytesSent = 0;
  std::atomic<std::uint64_t> messagesReceived = 0;
  std::atomic<std::uint64_t> bytesReceived = 0;
  std::atomic<std::uint64_t> messagesDropped = 0;
  std::atomic<std::uint64_t> messagesRejected = 0;
  std::atomic<std::uint64_t> linksRejected = 0;
  std::atomic<std::uint64_t> linksOpened = 0;
  std::atomic<std::uint64_t> linksOpen = 0;
};

Outcome<std::unique_ptr<PeerNode>> PeerNode::Start(PeerNodeOptions aOptions,
                                                   ReceiveCallback aOnReceive)
{
  MUSTARDSHIFT_ASSERT(!aOptions.self.IsEmpty());
  MUSTARDSHIFT_ASSERT(aOptions.queueCapacity > 0);
  MUSTARDSHIFT_ASSERT(aOnReceive != nullptr);
  auto implementation =
    std::make_unique<Implementation>(std::move(aOptions), std::move(aOnReceive));
  if (std::optional<std::string> error = implementation->Listen()) {
    return RefuseNotRun(Reason::Internal, std::move(*error));
  }
  return std::unique_ptr<PeerNode>(new PeerNode(std::move(implementation)));
}

PeerNode::PeerNode(std::unique_ptr<Implementation> aImplementation)
  : implementation(std::move(aImplementation))
{
}

PeerNode::~PeerNode()
{
  this->implementation->Stop();
}

void PeerNode::SetPeers(const std::vector<PeerAddress>& aPeers)
{
  this->implementation->SetPeers(aPeers);
}

bool PeerNode::Send(const VmId& aPeer, const PeerMessage& aMessage)
{
  return this->implementation->Send(aPeer, aMessage);
}

void PeerNode::Stop()
{
  this->implementation->Stop();
}

PeerNodeCounters PeerNode::Counters() const
{
  return this->implementation->Counters();
}

std::uint16_t PeerNode::ListenPort() const
{
  return this->implementation->ListenPort();
}

} // namespace mustardshift
