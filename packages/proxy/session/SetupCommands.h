#pragma once

#include "proxy/session/PreparedStatement.h"
#include "proxy/statement/ServerCommand.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** Makes the commands that set the session variables of a connection to those of a session, and
    that prepare a statement unless it is already prepared on the connection.

    @param aConnectionVariables  session variables that are set on the connection.
    @param aConnectionPreparedNames  names of the statements that are prepared on the connection.
    @param aSessionVariables  variables of the session.
    @param aPreparedStatement  the statement to execute, or nullptr.

    Thread safety: pure. */
std::vector<ServerCommand> MakeSetupCommands(
  const std::map<std::string, std::string>& aConnectionVariables,
  const std::set<std::string>& aConnectionPreparedNames,
  const std::map<std::string, std::string>& aSessionVariables,
  const PreparedStatement* aPreparedStatement);

} // namespace mustardshift::proxy
