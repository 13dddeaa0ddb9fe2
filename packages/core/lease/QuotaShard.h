#pragma once

#include "core/base/Instant.h"

#include <compare>
#include <cstdint>

namespace mustardshift {

/** Shards that the capacity of one cell is divided into. */
inline constexpr unsigned kQuotaShardsPerCell = 12;

/** How long a lease of a shard lasts, from before the request that took or renewed it was sent. */
inline constexpr Duration kQuotaLeaseDuration = std::chrono::seconds(600);

/** A lease is renewed once it is this old. Two more attempts fit in before it lapses. */
inline constexpr Duration kQuotaRenewalInterval = std::chrono::seconds(200);

/** The longest loan of quota between VMs, from before the borrower's request was sent. */
inline constexpr Duration kQuotaLoanDuration = std::chrono::seconds(5);

/** Lengthens a span that another VM's clock measures by the drift that clocks may have against
    each other, 1 %. Whoever waits for the end of another VM's lease or loan waits this long.
    Thread safety: pure. */
constexpr Duration WithClockDriftMargin(Duration aDuration)
{
  return aDuration + aDuration / 100 + Duration(1);
}

/** Names one shard of a cell, 0 to kQuotaShardsPerCell - 1. */
struct QuotaShardId
{
  std::uint8_t index = 0;

  friend auto operator<=>(const QuotaShardId&, const QuotaShardId&) = default;
};

/** Connections to a server that a shard entitles its holder to. The sum over all shards is exactly
    aConnectionLimit. Thread safety: pure. */
constexpr unsigned ConnectionLimitOfShard(QuotaShardId aShard, unsigned aConnectionLimit)
{
  const std::uint64_t limit = aConnectionLimit;
  const std::uint64_t index = aShard.index;
  return static_cast<unsigned>((index + 1) * limit / kQuotaShardsPerCell -
                               index * limit / kQuotaShardsPerCell);
}

} // namespace mustardshift
