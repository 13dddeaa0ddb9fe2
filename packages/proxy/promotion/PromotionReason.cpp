#include "proxy/promotion/PromotionReason.h"

#include <cstddef>

namespace mustardshift::proxy {

namespace {

bool IsUnreachableForMost(const DatabaseName& aGroup,
                          const ServerId& aPrimary,
                          const FleetView& aFleet)
{
  const std::set<VmId>& probers = aFleet.Probers(aGroup);
  std::size_t reports = 0;
  for (const VmId& vm : probers) {
    reports += aFleet.Members().at(vm).row.unreachablePrimaries.count(aPrimary);
  }
  return 2 * reports > probers.size();
}

} // namespace

std::optional<PromotionReason> FindPromotionReason(Instant aNow,
                                                   const DatabaseName& aGroup,
                                                   const ClusterState& aCluster,
                                                   const FleetView& aFleet)
{
  const std::optional<ServerId> primary = aCluster.PrimaryOf(aGroup);
  if (!primary) {
    const std::optional<Instant> withoutPrimarySince = aCluster.WithoutPrimarySince(aGroup);
    if (withoutPrimarySince && aNow - *withoutPrimarySince >= kMissingPrimaryTimeout) {
      return PromotionReason::Missing;
    }
    return std::nullopt;
  }
  if (aCluster.DrainingSince(*primary)) {
    return PromotionReason::Leaving;
  }
  if (IsUnreachableForMost(aGroup, *primary, aFleet)) {
    return PromotionReason::Unreachable;
  }
  return std::nullopt;
}

} // namespace mustardshift::proxy
