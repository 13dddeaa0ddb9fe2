#include "core/lease/QuotaShardPlan.h"

#include <algorithm>
#include <map>

namespace mustardshift {

namespace {

using ShardCounts = std::map<VmId, unsigned>;

/** Returns the VM with the fewest shards, and among equals the one with the smallest id.
    Precondition: not empty. */
ShardCounts::iterator VmWithFewestShards(ShardCounts& aShardCounts)
{
  return std::min_element(
    aShardCounts.begin(), aShardCounts.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second < aTwo.second;
    });
}

/** Returns the VM with the most shards, and among equals the one with the largest id. Precondition:
    not empty. */
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
  unsigned given = 0;
  while (true) {
    const auto fewest = VmWithFewestShards(aShardCounts);
    const auto most = VmWithMostShards(aShardCounts);
    if (most->second <= fewest->second + 1) {
      return given;
    }
    --most->second;
    ++fewest->second;
    given += most->first == aSelf ? 1 : 0;
  }
}

} // namespace

bool IsLeaseExpired(Instant aNow, const QuotaShardRow& aRow)
{
  return aNow - aRow.firstObserved >= WithClockDriftMargin(kQuotaLeaseDuration);
}

QuotaShardPlan PlanQuotaShards(Instant aNow,
                               const QuotaShardHolder& aHolder,
                               const std::set<VmId>& aLive,
                               bool aIsLeaving,
                               bool aConnectionsAreWithinEntitlement)
{
  QuotaShardPlan plan;
  if (!aHolder.HasObservedAll()) {
    return plan;
  }
  const VmId& self = aHolder.Self();

  ShardCounts shardCounts;
  for (const VmId& vm : aLive) {
    shardCounts[vm] = 0;
  }
  if (aIsLeaving) {
    shardCounts.erase(self);
  } else {
    shardCounts[self] = 0;
  }

  std::vector<QuotaShardId> free;
  std::vector<QuotaShardId> used;
  std::vector<QuotaShardId> withdrawn;
  for (const QuotaShardRow& row : aHolder.Rows()) {
    if (row.holder == self && row.incarnation == aHolder.Incarnation()) {
      (aHolder.WithdrawnSince(row.shard) ? withdrawn : used).push_back(row.shard);
    } else if (row.holder == self && row.incarnation < aHolder.Incarnation()) {
      // The earlier process of this VM has ended, since this process uses its address. Loans that
      // it made may still be running.
      if (aNow - aHolder.Started() >= WithClockDriftMargin(kQuotaLoanDuration) && !aIsLeaving) {
        plan.claim.push_back(row.shard);
      }
    } else if (row.holder.IsEmpty() || IsLeaseExpired(aNow, row)) {
      free.push_back(row.shard);
      continue;
    }
    if (const auto holding = shardCounts.find(row.holder); holding != shardCounts.end()) {
      ++holding->second;
    }
  }

  for (const QuotaShardId shard : free) {
    if (shardCounts.empty()) {
      break;
    }
    const auto fewest = VmWithFewestShards(shardCounts);
    ++fewest->second;
    if (fewest->first == self) {
      plan.claim.push_back(shard);
    }
  }

  const std::size_t wanted =
    aIsLeaving ? used.size() + withdrawn.size() : CountShardsToGiveAway(shardCounts, self);
  while (withdrawn.size() < wanted && !used.empty()) {
    plan.withdraw.push_back(used.back());
    withdrawn.push_back(used.back());
    used.pop_back();
  }
  while (withdrawn.size() > wanted) {
    plan.renew.push_back(withdrawn.back());
    withdrawn.pop_back();
  }

  for (const QuotaShardId shard : withdrawn) {
    const std::optional<Instant> since = aHolder.WithdrawnSince(shard);
    if (since && aNow - *since >= WithClockDriftMargin(kQuotaLoanDuration) &&
        aConnectionsAreWithinEntitlement) {
      plan.release.push_back(shard);
    }
  }

  bool isDue = !plan.renew.empty();
  const Instant soon = aNow + kQuotaLeaseDuration - kQuotaRenewalInterval;
  const std::vector<HeldQuotaShard> heldThen = aHolder.HeldShards(soon);
  for (const QuotaShardId shard : used) {
    isDue =
      isDue || std::none_of(heldThen.begin(), heldThen.end(), [&](const HeldQuotaShard& aHeld) {
        return aHeld.shard == shard;
      });
  }
  if (isDue) {
    plan.renew.insert(plan.renew.end(), used.begin(), used.end());
  }
  return plan;
}

} // namespace mustardshift
