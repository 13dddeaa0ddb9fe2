#include "proxy/routing/ServerSelector.h"

#include "core/base/Assert.h"

#include <algorithm>

namespace mustardshift::proxy {

ServerSelector::ServerSelector(const ServerLoadView& aView, ServerSelectorOptions aOptions)
  : options(std::move(aOptions))
  , view(aView)
{
}

SelectionResult ServerSelector::Rank(Instant aNow, const SelectionRequest& aRequest)
{
  MUSTARDSHIFT_ASSERT(!aRequest.candidates.empty());
  std::vector<std::pair<Duration, const SelectionCandidate*>> ranked;
  for (const SelectionCandidate& candidate : aRequest.candidates) {
    const bool crosses = candidate.domain != this->options.ownDomain;
    ranked.emplace_back(this->view.LoadOf(aNow, candidate.server).ExpectedWait(aRequest.priority) +
                          candidate.roundTrip +
                          (crosses ? this->options.crossingCost : Duration::zero()),
                        &candidate);
  }
  std::stable_sort(ranked.begin(), ranked.end(), [](const auto& aOne, const auto& aOther) {
    return aOne.first < aOther.first;
  });
  SelectionResult result;
  for (const auto& [completion, candidate] : ranked) {
    result.servers.push_back(candidate->server);
  }
  result.crossesDomains = ranked.front().second->domain != this->options.ownDomain;
  return result;
}

double ServerSelector::LeavingShare(const DatabaseName& aGroup) const
{
  const auto share = this->shares.find({ aGroup, ServerId() });
  return share == this->shares.end() ? 0 : share->second.value;
}

} // namespace mustardshift::proxy
