#include "proxy/session/SetupCommands.h"

#include <algorithm>

namespace mustardshift::proxy {

std::vector<ServerCommand> MakeSetupCommands(
  const std::map<std::string, std::string>& aConnectionValues,
  const std::set<std::string>& aConnectionPrepared,
  const std::map<std::string, std::string>& aSessionValues,
  const PreparedStatement* aPrepared)
{
  std::vector<ServerCommand> commands;
  // A single value can't be removed from a connection; a reset removes all values and the prepared
  // statements as well.
  const bool needsReset =
    std::any_of(aConnectionValues.begin(), aConnectionValues.end(), [&](const auto& aEntry) {
      return !aSessionValues.contains(aEntry.first);
    });
  if (needsReset) {
    ServerCommand reset;
    reset.kind = ServerCommandKind::Reset;
    commands.push_back(std::move(reset));
  }
  for (const auto& [name, value] : aSessionValues) {
    const auto present = aConnectionValues.find(name);
    if (!needsReset && present != aConnectionValues.end() && present->second == value) {
      continue;
    }
    ServerCommand set;
    set.kind = ServerCommandKind::SetValue;
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
