#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/lease/QuotaShardHolder.h"

#include <set>
#include <vector>

namespace mustardshift {

/** Actions that a VM should take on the shards of its cell. Each write applies only if the row
    still has the version that was observed. Plans of different VMs, or plans made from outdated
    rows, may therefore conflict safely: one write succeeds and the others are rejected. */
struct QuotaShardPlan
{
  /** Shards to renew, all in one write: QuotaShardHolder::BeginWrite(). */
  std::vector<QuotaShardId> renew;
  /** Shards to claim, each in a write of its own, so that a conflict on one shard does not reject
      the others. */
  std::vector<QuotaShardId> claim;
  /** Shards to pass to QuotaShardHolder::Withdraw() immediately; no write is needed. */
  std::vector<QuotaShardId> withdraw;
  /** Shards to release, all in one write: QuotaShardHolder::BeginRelease(). */
  std::vector<QuotaShardId> release;
};

/** Decides which shards to renew, claim, withdraw and release.

    @param aHolder  the rows as observed and the leases of this VM.
    @param aAvailableVms  VMs of the cell that are reachable and accept work. This VM is counted
    even if it is not among them, unless it is leaving.
    @param aIsLeaving  true when this VM is shutting down or is drained, and therefore gives up all
                       shards.
    @param aConnectionsAreWithinAllowance  true when this VM has no more connections open to any
                                             server than its allowance, which excludes withdrawn
                                             shards. No shard is released while this is false.

    A shard is released no earlier than the maximum loan duration, plus the clock drift, after it
    was withdrawn, so that the loans made from it have ended. The plan is empty until all rows were
    observed.

    Thread safety: pure. */
QuotaShardPlan PlanQuotaShards(Instant aNow,
                               const QuotaShardHolder& aHolder,
                               const std::set<VmId>& aAvailableVms,
                               bool aIsLeaving,
                               bool aConnectionsAreWithinAllowance);

/** Returns true when the lease on a row has expired for any holder: the row's version has not
    changed for the duration of a lease plus the clock drift, measured with this VM's clock. Thread
    safety: pure. */
bool IsLeaseExpired(Instant aNow, const QuotaShardRow& aRow);

} // namespace mustardshift
