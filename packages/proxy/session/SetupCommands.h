#pragma once

#include "proxy/session/PreparedStatement.h"
#include "proxy/statement/ServerCommand.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** Commands that bring a connection's values in line with a session's, and prepare a statement if
    the connection lacks it.

    @param aConnectionValues    values that the server holds for the connection.
    @param aConnectionPrepared  names that are prepared on the connection.
    @param aSessionValues       values of the session.
    @param aPrepared            the statement to execute, or nullptr.

    Thread safety: pure. */
std::vector<ServerCommand> MakeSetupCommands(
  const std::map<std::string, std::string>& aConnectionValues,
  const std::set<std::string>& aConnectionPrepared,
  const std::map<std::string, std::string>& aSessionValues,
  const PreparedStatement* aPrepared);

} // namespace mustardshift::proxy
