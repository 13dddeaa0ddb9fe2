#include "proxy/session/SetupCommands.h"

#include <algorithm>

namespace mustardshift::proxy {

std::vector<ServerCommand> MakeSetupCommands(
  const std::map<std::string, std::string>& aConnectionVariables,
  const std::set<std::string>& aConnectionPrepared,
  const std::map<std::string, std::string>& aSessionVariables,
  const PreparedStatement* aPrepared)
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
    const auto present = aConnectionVariables.find(name);
    if (!needsReset && present != aConnectionVariables.end() && present->second == value) {
      continue;
    }
    ServerCommand set;
    set.kind = ServerCommandKind::SetVariable;
    set.name = name;
    set.body = value;
    commands.push_back(std::move(set));
  }
  if (aPrepared != nullptr &&
      (needsReset || !aConnectionPrepared.contains(aPrepared->ServerSideName()))) {
    ServerCommand prepare;
    prepare.kind = ServerCommandKind::Prepare;
    prepare.name = aPrepared->ServerSideName();
    prepare.body = aPrepared->text;
    prepare.access = aPrepared->access;
    commands.push_back(std::move(prepare));
  }
  return commands;
}

} // namespace mustardshift::proxy
