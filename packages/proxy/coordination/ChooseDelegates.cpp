#include "proxy/coordination/ChooseDelegates.h"

#include "proxy/coordination/StableHash.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

std::set<VmId> ChooseDelegates(std::string_view aTask,
                               const std::map<VmId, FailureDomainName>& aVms,
                               std::size_t aVmCount)
{
  std::set<VmId> delegates;
  if (aVmCount <= kMaxVmsWithoutDelegates) {
    for (const auto& [vm, domain] : aVms) {
      delegates.insert(vm);
    }
    return delegates;
  }
  std::map<FailureDomainName, std::vector<std::pair<std::uint64_t, VmId>>> ranked;
  const std::string prefix = std::string(aTask) + "/";
  for (const auto& [vm, domain] : aVms) {
    ranked[domain].emplace_back(StableHash(prefix + vm.Text()), vm);
  }
  for (auto& [domain, vms] : ranked) {
    const std::size_t count = std::min(kDelegatesPerDomain, vms.size());
    std::partial_sort(vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(count), vms.end());
    for (std::size_t index = 0; index < count; ++index) {
      delegates.insert(vms[index].second);
    }
  }
  return delegates;
}

} // namespace mustardshift::proxy
