#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ServerRecord.h"
#include "proxy/pool/DatabaseNetwork.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace mustardshift::proxy {

/** Names and values that a session has set. */
using SessionValues = std::map<std::string, std::string>;

/** One open connection to a database server, with what the server remembers of it.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network>
struct PooledConnection
{
  ServerId server;
  /** The organisation that the server was told; the connection carries only its statements. */
  OrganisationName organisation;
  std::unique_ptr<typename Network::Link> link;
  /** Values that the server holds for this connection. */
  SessionValues values;
  /** Names of statements that are prepared on this connection. */
  std::set<std::string> prepared;
  bool isBusy = false;
  /** The link broke while somebody held the connection and ran no command. */
  bool isBroken = false;
  Instant idleSince{};
};

} // namespace mustardshift::proxy
