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

/** Where a connection leads, and on whose behalf. */
struct ConnectTarget
{
  ServerId server;
  ServerAddress address;
  DatabaseName group;
  /** The organisation whose statements the connection carries; empty on public routes. */
  OrganisationName organisation;
};

/** Takes the answer to one command, with the present time. */
using ReplyHandler = std::function<void(Instant, ServerReply)>;

/** An open connection to a database server. Commands are sent one at a time: the next one after
    the reply to the one before. After Close(), or in the destructor, no handler is called. A lost
    connection answers the running command with ReplyStatus::Lost; without one it calls the handler
    of OnLost(). */
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

/** Opens connections to database servers. The handler gets the reply to the opening: with a link
    when its status is Done. It is called exactly once, never from within Connect(). */
template<class Network>
concept DatabaseNetwork = DatabaseLink<typename Network::Link> && requires(
  Network aNetwork,
  const ConnectTarget& aTarget,
  std::function<void(Instant, ServerReply, std::unique_ptr<typename Network::Link>)> aHandler)
{
  aNetwork.Connect(aTarget, aHandler);
};

} // namespace mustardshift::proxy
