#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/lease/QuotaShardHolder.h"

#include <set>
#include <vector>

namespace mustardshift {

/** What a VM should do about its cell's shards. Each item becomes a write that applies only if the
    row's version is the one observed, so plans of different VMs, or of stale views, can collide
    without harm: one write wins and the others are rejected. */
struct QuotaShardPlan
{
  /** Send as one write: QuotaShardHolder::BeginWrite(). */
  std::vector<QuotaShardId> renew;
  /** Send as a write each, so that one lost race doesn't cost the other shards. */
  std::vector<QuotaShardId> claim;
  /** Call QuotaShardHolder::Withdraw() at once; no write. */
  std::vector<QuotaShardId> withdraw;
  /** Send as one write: QuotaShardHolder::BeginRelease(). */
  std::vector<QuotaShardId> release;
};

/** Decides what to do about the shards.

    @param aHolder  the rows as observed and the leases of this VM.
    @param aLive    VMs of the cell that are reachable and take work; this VM counts even if absent,
                    unless it leaves.
    @param aIsLeaving  true when this VM shuts down or is drained, so that it gives all shards up.
    @param aConnectionsAreWithinEntitlement  true when this VM has no more connections open to any
                    server than its entitlement, which leaves withdrawn shards out. No shard is
                    released before.

    A shard is released no earlier than the longest loan, with drift, after it was withdrawn, so
    that loans made from it have ended. Until all rows were observed, the plan is empty.

    Thread safety: pure. */
QuotaShardPlan PlanQuotaShards(Instant aNow,
                               const QuotaShardHolder& aHolder,
                               const std::set<VmId>& aLive,
                               bool aIsLeaving,
                               bool aConnectionsAreWithinEntitlement);

/** True when a row's holder, whoever it is, can't use the shard any more: the version has not
    changed for a lease with drift on this VM's clock. Thread safety: pure. */
bool IsLeaseExpired(Instant aNow, const QuotaShardRow& aRow);

} // namespace mustardshift
