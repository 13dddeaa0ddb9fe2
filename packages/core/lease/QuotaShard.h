#pragma once

#include "core/base/Instant.h"

#include <compare>
#include <cstdint>

namespace mustardshift {

/** Number of quota shards per cell. A cell is a group of at most 12 VMs that divide one capacity
    among themselves: the rate and burst of each organisation, and the connections to each server.
    The capacity is split into equal shards, and a VM may use the shards whose leases it holds. */
inline constexpr unsigned kQuotaShardsPerCell = 12;

/** Duration of a lease on a shard. It is counted from an instant before the request that acquired
    or renewed the lease was sent. */
inline constexpr Duration kQuotaLeaseDuration = std::chrono::seconds(600);

/** Interval at which a VM renews its leases: a lease is renewed when it reaches this age. The
    interval leaves time for two more attempts before the lease expires. */
inline constexpr Duration kQuotaRenewalInterval = std::chrono::seconds(200);

/** Maximum duration of a loan of quota between VMs, counted from an instant before the borrower
    sent its request. */
inline constexpr Duration kMaxQuotaLoanDuration = std::chrono::seconds(5);

/** Returns aDuration plus the maximum drift between the clocks of two VMs, 1 %. A VM that waits for
    another VM's lease or loan to end waits this long, because the other VM measures the duration
    with its own clock. Thread safety: pure. */
constexpr Duration WithClockDriftMargin(Duration aDuration)
{
  return aDuration + aDuration / 100 + Duration(1);
}

/** Identifies one shard of a cell, 0 to kQuotaShardsPerCell - 1. */
struct QuotaShardId
{
  std::uint8_t index = 0;

  friend auto operator<=>(const QuotaShardId&, const QuotaShardId&) = default;
};

/** Returns how many connections to one server the holder of aShard may open, when all VMs together
    may open aConnectionLimit. The sum over all shards is exactly aConnectionLimit. Thread safety:
    pure. */
constexpr unsigned ConnectionLimitOfShard(QuotaShardId aShard, unsigned aConnectionLimit)
{
  const std::uint64_t limit = aConnectionLimit;
  const std::uint64_t index = aShard.index;
  return static_cast<unsigned>((index + 1) * limit / kQuotaShardsPerCell -
                               index * limit / kQuotaShardsPerCell);
}

} // namespace mustardshift
