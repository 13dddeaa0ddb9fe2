#include "Socket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

sockaddr_in LoopbackAddress(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

/** A socket that is bound to the port, or -1. */
int Bind(int aType, std::uint16_t aPort)
{
  const int descriptor = ::socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in address = LoopbackAddress(aPort);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

std::uint16_t PortOf(int aDescriptor)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(aDescriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

} // namespace

Socket::Socket(int aDescriptor)
  : descriptor(aDescriptor)
{
  const int yes = 1;
  ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

Socket::~Socket()
{
  ::close(this->descriptor);
}

std::shared_ptr<Socket> Socket::Connect(const std::string& aAddress)
{
  const std::size_t colon = aAddress.find(':');
  const sockaddr_in address =
    LoopbackAddress(static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))));
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  return std::make_shared<Socket>(descriptor);
}

bool Socket::Send(const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      ::send(this->descriptor, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Socket::Fill(Clock::time_point aUntil)
{
  const auto left = std::chrono::ceil<milliseconds>(aUntil - Clock::now()).count();
  pollfd waiting{ this->descriptor, POLLIN, 0 };
  if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
    this->hasTimedOut = true;
    return false;
  }
  std::array<char, 16384> buffer{};
  const ssize_t count = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    return false;
  }
  this->input.append(buffer.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> Socket::ReadLine(milliseconds aTimeout)
{
  const auto until = Clock::now() + aTimeout;
  this->hasTimedOut = false;
  std::size_t end = 0;
  while ((end = this->input.find("\r\n")) == std::string::npos) {
    if (!this->Fill(until)) {
      return std::nullopt;
    }
  }
  std::string line = this->input.substr(0, end);
  this->input.erase(0, end + 2);
  return line;
}

std::optional<std::string> Socket::ReadBytes(std::size_t aCount, milliseconds aTimeout)
{
  const auto until = Clock::now() + aTimeout;
  this->hasTimedOut = false;
  while (this->input.size() < aCount) {
    if (!this->Fill(until)) {
      return std::nullopt;
    }
  }
  std::string bytes = this->input.substr(0, aCount);
  this->input.erase(0, aCount);
  return bytes;
}

void Socket::Shutdown()
{
  ::shutdown(this->descriptor, SHUT_RDWR);
}

Listener::Listener()
  : descriptor(Bind(SOCK_STREAM, 0))
  , address("127.0.0.1:" + std::to_string(PortOf(this->descriptor)))
{
  ::listen(this->descriptor, SOMAXCONN);
}

void Listener::Start(Handler aHandler)
{
  std::thread([descriptor = this->descriptor, handler = std::move(aHandler)] {
    int accepted = 0;
    while ((accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
      std::thread([handler, socket = std::make_shared<Socket>(accepted)] {
        handler(socket);
      }).detach();
    }
    ::close(descriptor);
  }).detach();
}

void Listener::Close()
{
  // Ends the accepting thread, which closes the descriptor.
  ::shutdown(this->descriptor, SHUT_RDWR);
}

std::uint16_t FreePort()
{
  // Below the ports that the system gives to outgoing connections, so that none of them takes the
  // port before the process that is to listen on it has started.
  constexpr std::uint32_t kFirst = 20'000;
  constexpr std::uint32_t kCount = 12'000;
  static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * 97;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    const int stream = Bind(SOCK_STREAM, port);
    const int datagram = Bind(SOCK_DGRAM, port);
    ::close(stream);
    ::close(datagram);
    if (stream >= 0 && datagram >= 0) {
      return port;
    }
  }
}

int AskReadiness(const std::string& aAddress)
{
  const auto socket = Socket::Connect(aAddress);
  if (socket == nullptr ||
      !socket->Send("GET /v1/ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")) {
    return 0;
  }
  const auto status = socket->ReadLine(milliseconds(1000));
  return status && status->size() > 12 ? std::stoi(status->substr(9, 3)) : 0;
}

} // namespace review
