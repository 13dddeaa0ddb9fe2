#pragma once

#include "core/base/Names.h"
#include "proxy/rate/RateShare.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mustardshift::proxy {

/** Division of all organisations' rates among the VMs. */
struct RateAllocation
{
  std::uint64_t version = 0;
  std::map<OrganisationName, std::map<VmId, RateShare>> shares;

  /** Parts of one VM; zero if it has none. */
  std::uint32_t PartsOf(const OrganisationName& aOrganisation, const VmId& aVm) const;

  friend bool operator==(const RateAllocation&, const RateAllocation&) = default;
};

/** Returns an allocation in which a VM has no more parts than in either of two, and the others have
    those of the first one. Has the version of the first one. Thread safety: pure. */
RateAllocation LimitShares(const RateAllocation& aAllocation,
                           const RateAllocation& aLimit,
                           const VmId& aVm);

/** Encodes an allocation as CBOR. Thread safety: pure. */
std::string EncodeRateAllocation(const RateAllocation& aAllocation);

/** Decodes the output of EncodeRateAllocation(). Returns nothing if the bytes are malformed. Thread
    safety: pure. */
std::optional<RateAllocation> DecodeRateAllocation(std::string_view aBytes);

} // namespace mustardshift::proxy
