#pragma once

#include "core/base/Instant.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/rate/TokenGate.h"
#include "proxy/schedule/Scheduler.h"
#include "proxy/session/ServerChoice.h"
#include "proxy/statement/ClientReply.h"
#include "proxy/statement/Statement.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace mustardshift::proxy {

/** A client's statement from its arrival to its reply. */
template<DatabaseNetwork Network>
struct ActiveStatement
{
  std::string requestId;
  Statement statement;
  /** Gets the reply; empty once the client has gone. */
  std::function<void(Instant, ClientReply)> reply;
  Instant startedAt{};
  Instant deadline{};
  unsigned tries = 0;
  /** Servers that were tried and could not run it. */
  std::set<ServerId> excluded;
  StatementPath path = StatementPath::Primary;
  /** Position that the server has to hold. */
  std::optional<LogPosition> minPosition;
  /** Wait for a connection; zero for none. */
  typename ServerPool<Network>::Ticket connectionTicket = 0;
  /** Wait for a rate token; zero for none. */
  TokenGate::Ticket tokenTicket = 0;
  /** A rate token was taken, and no server was asked to run the operation yet. */
  bool hasToken = false;
  /** The server that was asked last. */
  std::optional<ServerId> server;
  /** Time until the latest connection was there. */
  Duration connectionWait{ 0 };
  /** A script is under way on the session's connection. */
  bool isRunning = false;
  std::optional<Scheduler::TaskId> deadlineTimer;
  std::optional<Scheduler::TaskId> retryTimer;
  std::optional<Scheduler::TaskId> unresponsiveServerTimer;
};

} // namespace mustardshift::proxy
