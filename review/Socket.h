#pragma once

#include "Record.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace review {

/** A TCP connection over loopback with blocking calls.

    Thread safety: one thread reads and sends; Shutdown() may be called by any thread. */
class Socket
{
public:
  explicit Socket(int aDescriptor);
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket();

  /** Connects to "IP:port"; null if nothing accepts there. */
  static std::shared_ptr<Socket> Connect(const std::string& aAddress);

  bool Send(const std::string& aText);
  /** Reads up to the next CR LF, which is removed. Nothing if the connection has ended; see
      HasTimedOut() for the other reason. */
  std::optional<std::string> ReadLine(milliseconds aTimeout);
  std::optional<std::string> ReadBytes(std::size_t aCount, milliseconds aTimeout);
  bool HasTimedOut() const { return this->hasTimedOut; }
  /** Ends the connection in both directions. */
  void Shutdown();

private:
  bool Fill(Clock::time_point aUntil);

  int descriptor;
  std::string input;
  bool hasTimedOut = false;
};

/** A listener on a free port of 127.0.0.1. Each connection gets a thread of its own.

    Thread safety: Close() may be called by any thread. */
class Listener
{
public:
  using Handler = std::function<void(const std::shared_ptr<Socket>&)>;

  Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener() = default;

  void Start(Handler aHandler);
  /** Refuses connections from now on. */
  void Close();
  /** "127.0.0.1:port". */
  const std::string& Address() const { return this->address; }

private:
  int descriptor;
  std::string address;
};

/** A port of 127.0.0.1 that is free for TCP and UDP; another one for each call. */
std::uint16_t FreePort();

/** Asks "GET /v1/ready" of a VM; returns the status, or 0 without an answer. */
int AskReadiness(const std::string& aAddress);

} // namespace review
