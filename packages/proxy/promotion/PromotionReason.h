#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/coordination/FleetView.h"

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Reason why a group needs a new primary. */
enum class PromotionReason
{
  /** More than half of the VMs that query the primary for its position can't reach it. */
  Unreachable,
  /** The primary is shutting down, or its failure domain is out of service. */
  Leaving,
  /** No server of the group is registered as its primary. */
  Missing,
};

inline constexpr std::array<std::pair<PromotionReason, std::string_view>, 3> kPromotionReasonNames{
  {
    { PromotionReason::Unreachable, "unreachable" },
    { PromotionReason::Leaving, "leaving" },
    { PromotionReason::Missing, "missing" },
  }
};

/** A group needs a new primary if none has been registered for this long. Servers whose entries
    expired during an outage of the store register again within about two seconds. */
inline constexpr Duration kMissingPrimaryTimeout = std::chrono::milliseconds(2500);

/** Returns why the group needs a new primary, or nothing if it needs none.

    A primary that only some VMs can't reach is kept: more than half of the VMs that query its
    position (FleetView::Probers) have to report it as unreachable. Reports from VMs that are not
    live are ignored.

    Thread safety: pure. */
std::optional<PromotionReason> FindPromotionReason(Instant aNow,
                                                   const DatabaseName& aGroup,
                                                   const ClusterState& aCluster,
                                                   const FleetView& aFleet);

} // namespace mustardshift::proxy
