#include "core/lease/QuotaShardPlan.h"

#include <algorithm>
#include <map>

namespace mustardshift {

namespace {

using ShardCounts = std::map<VmId, unsigned>;

/** Returns the VM with the fewest shards, and among equals the one with the smallest id.
    Precondition: aShardCounts is not empty. */
ShardCounts::iterator VmWithFewestShards(ShardCounts& aShardCounts)
{
  return std::min_element(
    aShardCounts.begin(), aShardCounts.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second < aTwo.second;
    });
}

/** Returns the VM with the most shards, and among equals the one with the largest id. Precondition:
    aShardCounts is not empty. */
ShardCounts::iterator VmWithMostShards(ShardCounts& aShardCounts)
{
  return std::max_element(
    aShardCounts.begin(), aShardCounts.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second <= aTwo.second;
    });
}

/** Returns how many shards aSelf must give to other VMs until the shard counts of any two VMs
    differ by at most one. Every VM that observes the same rows and members computes the same
    result. */
unsigned CountShardsToGiveAway(ShardCounts aShardCounts, const VmId& aSelf)
{
  unsigned shardsGiven = 0;
  while (true) {
    const auto vmWithFewest = VmWithFewestShards(aShardCounts);
    const auto vmWithMost = VmWithMostShards(aShardCounts);
    if (vmWithMost->second <= vmWithFewest->second + 1) {
      return shardsGiven;
    }
    --vmWithMost->second;
    ++vmWithFewest->second;
    shardsGiven += vmWithMost->first == aSelf ? 1 : 0;
  }
}

} // namespace

bool IsLeaseExpired(Instant aNow, const QuotaShardRow& aRow)
{
  return aNow - aRow.firstObserved >= WithClockDriftMargin(kQuotaLeaseDuration);
}

QuotaShardPlan PlanQuotaShards(Instant aNow,
                               const QuotaShardHolder& aHolder,
                               const std::set<VmId>& aAvailableVms,
                               bool aIsLeaving,
                               bool aConnectionsAreWithinAllowance)
{
  QuotaShardPlan plan;
  if (!aHolder.HasObservedAll()) {
    return plan;
  }
  const VmId& self = aHolder.Self();

  ShardCounts shardCounts;
  for (const VmId& vm : aAvailableVms) {
    shardCounts[vm] = 0;
  }
  if (aIsLeaving) {
    shardCounts.erase(self);
  } else {
    shardCounts[self] = 0;
  }

  std::vector<QuotaShardId> freeShards;
  std::vector<QuotaShardId> usedShards;
  std::vector<QuotaShardId> withdrawnShards;
  for (const QuotaShardRow& row : aHolder.Rows()) {
    if (row.holder == self && row.incarnation == aHolder.Incarnation()) {
      (aHolder.WithdrawnSince(row.shard) ? withdrawnShards : usedShards).push_back(row.shard);
    } else if (row.holder == self && row.incarnation < aHolder.Incarnation()) {
      // The row belongs to an earlier process of this VM. That process has ended, because this
      // process uses its address, but loans that it made may still be running.
      if (aNow - aHolder.StartedAt() >= WithClockDriftMargin(kMaxQuotaLoanDuration) &&
          !aIsLeaving) {
        plan.claim.push_back(row.shard);
      }
    } else if (row.holder.IsEmpty() || IsLeaseExpired(aNow, row)) {
      freeShards.push_back(row.shard);
      continue;
    }
    if (const auto holding = shardCounts.find(row.holder); holding != shardCounts.end()) {
      ++holding->second;
    }
  }

  for (const QuotaShardId shard : freeShards) {
    if (shardCounts.empty()) {
      break;
    }
    const auto vmWithFewest = VmWithFewestShards(shardCounts);
    ++vmWithFewest->second;
    if (vmWithFewest->first == self) {
      plan.claim.push_back(shard);
    }
  }

  const std::size_t shardsToGiveAway = aIsLeaving ? usedShards.size() + withdrawnShards.size()
                                                  : CountShardsToGiveAway(shardCounts, self);
  while (withdrawnShards.size() < shardsToGiveAway && !usedShards.empty()) {
    plan.withdraw.push_back(usedShards.back());
    withdrawnShards.push_back(usedShards.back());
    usedShards.pop_back();
  }
  while (withdrawnShards.size() > shardsToGiveAway) {
    plan.renew.push_back(withdrawnShards.back());
    withdrawnShards.pop_back();
  }

  for (const QuotaShardId shard : withdrawnShards) {
    const std::optional<Instant> withdrawnSince = aHolder.WithdrawnSince(shard);
    if (withdrawnSince && aNow - *withdrawnSince >= WithClockDriftMargin(kMaxQuotaLoanDuration) &&
        aConnectionsAreWithinAllowance) {
      plan.release.push_back(shard);
    }
  }

  bool isDue = !plan.renew.empty();
  // A lease whose deadline is at or before this instant has reached the age for renewal.
  const Instant latestDueDeadline = aNow + kQuotaLeaseDuration - kQuotaRenewalInterval;
  const std::vector<HeldQuotaShard> shardsNotDue = aHolder.HeldShards(latestDueDeadline);
  for (const QuotaShardId shard : usedShards) {
    isDue =
      isDue || std::none_of(shardsNotDue.begin(),
                            shardsNotDue.end(),
                            [&](const HeldQuotaShard& aHeld) { return aHeld.shard == shard; });
  }
  if (isDue) {
    plan.renew.insert(plan.renew.end(), usedShards.begin(), usedShards.end());
  }
  return plan;
}

} // namespace mustardshift
