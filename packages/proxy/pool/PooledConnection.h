#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ServerRecord.h"
#include "proxy/pool/DatabaseNetwork.h"

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace mustardshift::proxy {

/** Names and values of the variables of a session. */
using SessionVariables = std::map<std::string, std::string>;

/** One open connection to a database server, with the state that the server holds for it.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network>
struct PooledConnection
{
  ServerId server;
  /** Organisation for which the connection was opened. It carries only statements of this
      organisation. */
  OrganisationName organisation;
  std::unique_ptr<typename Network::Link> link;
  /** Session variables that the server holds for this connection. */
  SessionVariables variables;
  /** Names of the statements that are prepared on this connection. */
  std::set<std::string> preparedNames;
  bool isBusy = false;
  /** The link was lost while a caller held the connection and no command was running. */
  bool isBroken = false;
  Instant idleSince{};

  /** Most bytes of variables, and most prepared names, that an idle connection remembers. Sessions
      with a few values and some hundred statements stay below. */
  static constexpr std::size_t kMaxVariableBytes = 65'536;
  static constexpr std::size_t kMaxPreparedNames = 1000;

  /** Makes the next session reset the connection if it remembers too much, and forgets it. */
  void ForgetLargeState()
  {
    std::size_t bytes = 0;
    for (const auto& [name, value] : this->variables) {
      bytes += name.size() + value.size();
    }
    if (bytes > kMaxVariableBytes || this->preparedNames.size() > kMaxPreparedNames) {
      // No session has a variable without a name, so MakeSetupCommands() begins with a reset.
      this->variables = { { std::string(), std::string() } };
      this->preparedNames.clear();
    }
  }
};

} // namespace mustardshift::proxy
