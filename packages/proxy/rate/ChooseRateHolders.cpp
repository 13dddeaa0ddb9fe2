#include "proxy/rate/ChooseRateHolders.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace mustardshift::proxy {

std::set<VmId> ChooseRateHolders(const OrganisationName& aOrganisation,
                                 const std::vector<const RateMember*>& aLive)
{
  std::set<VmId> holders;
  if (aLive.size() <= kMostVmsThatAllHold) {
    for (const RateMember* member : aLive) {
      holders.insert(member->vm);
    }
    return holders;
  }
  std::map<FailureDomainName, std::vector<std::pair<std::size_t, VmId>>> ranked;
  for (const RateMember* member : aLive) {
    const std::size_t rank =
      std::hash<std::string>{}(aOrganisation.Text() + "/" + member->vm.Text());
    ranked[member->domain].emplace_back(rank, member->vm);
  }
  for (auto& [domain, vms] : ranked) {
    const std::size_t count = std::min(kHoldersPerDomain, vms.size());
    std::partial_sort(vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(count), vms.end());
    for (std::size_t index = 0; index < count; ++index) {
      holders.insert(vms[index].second);
    }
  }
  return holders;
}

} // namespace mustardshift::proxy
