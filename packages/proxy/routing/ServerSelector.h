#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/routing/SelectionRequest.h"
#include "proxy/routing/SelectionResult.h"
#include "proxy/routing/ServerLoadView.h"
#include "proxy/routing/ServerSelectorOptions.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** Ranks the servers that may run a statement by expected completion, and keeps statements in the
    VM's own failure domain while that costs callers little.

    Each statement has home servers: those of the own failure domain; for an organisation with
   little demand, one replica that all VMs compute alike; all servers if neither exists. The share
   of the statements that leaves home grows with the difference of the expected completions, in
   units of the crossing cost. It is drawn for each statement and changes only gradually, since up
   to a hundred VMs see the same reports and would otherwise move together.

    Thread safety: none; one thread owns the object. */
class ServerSelector
{
public:
  /** Precondition: the view outlives the selector. */
  ServerSelector(const ServerLoadView& aView, ServerSelectorOptions aOptions);

  /** Applies new settings and numbers of groups and failure domains. */
  void SetOptions(const ServerSelectorOptions& aOptions) { this->options = aOptions; }

  /** Ranks the candidates. Precondition: there is at least one. */
  SelectionResult Rank(Instant aNow, const SelectionRequest& aRequest);

  /** Share of a group's statements that leaves the home servers now, between 0 and 1, for
      organisations that use their own failure domain. */
  double LeavingShare(const DatabaseName& aGroup) const;

private:
  /** Home of an organisation with little demand, or an empty id for the own failure domain. */
  using HomeKey = std::pair<DatabaseName, ServerId>;
  struct Share
  {
    double value = 0;
    Instant changedAt{};
  };

  ServerSelectorOptions options;
  const ServerLoadView& view;
  std::map<HomeKey, Share> shares;
};

} // namespace mustardshift::proxy
