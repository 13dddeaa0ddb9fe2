#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/routing/LeavingShare.h"
#include "proxy/routing/RankedCandidate.h"
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

    A server that its gateway reports as ejected is left out, unless all are, but at most half of
    the replicas at once; while it is probed, a few statements go there. The only candidate is
    always returned.

    Thread safety: none; one thread owns the object. */
class ServerSelector
{
public:
  /** An organisation whose configured rate, divided by the numbers of groups and failure
      domains, is less than this has little demand: a connection of its own in each failure
      domain would be idle for most of the 300 ms after which scarce connections are closed. In
      operations per second. */
  static constexpr double kLittleDemand = 1;

  /** Precondition: the view outlives the selector. */
  ServerSelector(const ServerLoadView& aView, ServerSelectorOptions aOptions);

  /** Applies new settings and numbers of groups and failure domains. */
  void SetOptions(const ServerSelectorOptions& aOptions) { this->options = aOptions; }

  /** Ranks the candidates. Precondition: there is at least one. */
  SelectionResult Rank(Instant aNow, const SelectionRequest& aRequest);

  /** Share of a group's statements that leaves the home servers now, between 0 and 1, for
      organisations that use their own failure domain. */
  double LeavingShareOf(const DatabaseName& aGroup) const;

private:
  /** Group, and the server of an organisation with little demand or an empty id. */
  using HomeKey = std::pair<DatabaseName, ServerId>;
  using Ranked = std::vector<RankedCandidate>;
  struct Home
  {
    /** The server of an organisation with little demand, or an empty id. */
    ServerId affinity;
    SelectionReason reason = SelectionReason::OwnDomain;
  };

  Ranked Judge(Instant aNow, const SelectionRequest& aRequest) const;
  void AddImbalance(Instant aNow, double aAverageUtilisation, Ranked& aRanked) const;
  Home MarkHome(const SelectionRequest& aRequest, Ranked& aRanked) const;
  std::pair<std::size_t, SelectionReason> ChooseFirst(Instant aNow,
                                                      const SelectionRequest& aRequest,
                                                      const Home& aHome,
                                                      const Ranked& aRanked);
  bool HasLittleDemand(const SelectionRequest& aRequest) const;
  double TargetShare(const Ranked& aRanked) const;
  LeavingShare& ShareFor(Instant aNow, const HomeKey& aKey);
  std::size_t Draw(const Ranked& aRanked, bool aIsHome, double aDraw) const;
  double CostUnit() const;

  ServerSelectorOptions options;
  const ServerLoadView& view;
  std::map<HomeKey, LeavingShare> shares;
};

} // namespace mustardshift::proxy
