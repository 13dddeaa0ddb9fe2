#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ServerRecord.h"
#include "proxy/statement/ServerCommand.h"
#include "proxy/statement/ServerReply.h"

#include <concepts>
#include <functional>
#include <memory>

namespace mustardshift::proxy {

/** Server to which a connection is opened, and the organisation that uses it. */
struct ConnectTarget
{
  ServerId server;
  ServerAddress address;
  DatabaseName group;
  /** The organisation whose statements the connection carries; empty on public routes. */
  OrganisationName organisation;
};

/** Called with the reply to one command and the present time. */
using ReplyHandler = std::function<void(Instant, ServerReply)>;

/** An open connection to a database server. Commands are sent one at a time, each after the reply
    to the previous one. After Close(), or from the destructor, no handler is called. If the
    connection is lost, the running command is answered with ReplyStatus::Lost; if no command is
    running, the handler of OnLost() is called. */
template<class Link>
concept DatabaseLink = requires(Link aLink,
                                const ServerCommand& aCommand,
                                ReplyHandler aHandler,
                                std::function<void(Instant)> aLost)
{
  aLink.Send(aCommand, aHandler);
  aLink.OnLost(aLost);
  aLink.Close();
};

/** Opens connections to database servers. The handler is called exactly once, never from within
    Connect(). It receives the reply to the connection attempt, and a link if the status of the
    reply is Done. */
template<class Network>
concept DatabaseNetwork = DatabaseLink<typename Network::Link> && requires(
  Network aNetwork,
  const ConnectTarget& aTarget,
  std::function<void(Instant, ServerReply, std::unique_ptr<typename Network::Link>)> aHandler)
{
  aNetwork.Connect(aTarget, aHandler);
};

} // namespace mustardshift::proxy
