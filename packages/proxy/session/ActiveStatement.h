#pragma once

#include "core/base/Instant.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/rate/Throttler.h"
#include "proxy/schedule/Scheduler.h"
#include "proxy/session/ServerChoice.h"
#include "proxy/statement/ClientReply.h"
#include "proxy/statement/Statement.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace mustardshift::proxy {

/** A client's statement between its arrival and its reply. */
template<DatabaseNetwork Network>
struct ActiveStatement
{
  std::string requestId;
  Statement statement;
  /** Receives the reply; empty after the client has disconnected. */
  std::function<void(Instant, ClientReply)> reply;
  Instant startedAt{};
  Instant deadline{};
  unsigned attempts = 0;
  /** Servers that were tried and could not run the statement. */
  std::set<ServerId> excludedServers;
  StatementPath path = StatementPath::Primary;
  /** Position that the server's log has to contain. */
  std::optional<LogPosition> minimumPosition;
  /** Pending request for a connection; zero for none. */
  typename ServerPool<Network>::Ticket connectionTicket = 0;
  /** Pending request for a rate token; zero for none. */
  Throttler::Ticket tokenTicket = 0;
  /** A rate token was taken, and no server has been asked to run the statement yet. */
  bool hasToken = false;
  /** The server to which the statement was sent most recently. */
  std::optional<ServerId> server;
  /** Time from the start until the latest connection became available. */
  Duration connectionWait{ 0 };
  /** A CommandSequence is running on the session's connection. */
  bool isRunning = false;
  std::optional<Scheduler::TaskId> deadlineTimer;
  std::optional<Scheduler::TaskId> retryTimer;
  std::optional<Scheduler::TaskId> unresponsiveServerTimer;
};

} // namespace mustardshift::proxy
