#include "proxy/session/SetupCommands.h"

#include <algorithm>

namespace mustardshift::proxy {

std::vector<ServerCommand> MakeSetupCommands(
  const std::map<std::string, std::string>& aConnectionVariables,
  const std::set<std::string>& aConnectionPreparedNames,
  const std::map<std::string, std::string>& aSessionVariables,
  const PreparedStatement* aPreparedStatement)
{
  std::vector<ServerCommand> commands;
  // A single variable can't be removed from a connection; a reset removes all variables and the
  // prepared statements.
  const bool needsReset =
    std::any_of(aConnectionVariables.begin(), aConnectionVariables.end(), [&](const auto& aEntry) {
      return !aSessionVariables.contains(aEntry.first);
    });
  if (needsReset) {
    ServerCommand reset;
    reset.kind = ServerCommandKind::Reset;
    commands.push_back(std::move(reset));
  }
  for (const auto& [name, value] : aSessionVariables) {
    const auto connectionVariable = aConnectionVariables.find(name);
    if (!needsReset && connectionVariable != aConnectionVariables.end() &&
        connectionVariable->second == value) {
      continue;
    }
    ServerCommand set;
    set.kind = ServerCommandKind::SetVariable;
    set.name = name;
    set.body = value;
    commands.push_back(std::move(set));
  }
  if (aPreparedStatement != nullptr &&
      (needsReset || !aConnectionPreparedNames.contains(aPreparedStatement->serverSideName))) {
    ServerCommand prepare;
    prepare.kind = ServerCommandKind::Prepare;
    prepare.name = aPreparedStatement->serverSideName;
    prepare.body = aPreparedStatement->text;
    prepare.access = aPreparedStatement->access;
    commands.push_back(std::move(prepare));
  }
  return commands;
}

} // namespace mustardshift::proxy
