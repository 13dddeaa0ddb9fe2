#include "core/lease/QuotaShardPlan.h"

#include <algorithm>
#include <map>

namespace mustardshift {

namespace {

using Holdings = std::map<VmId, unsigned>;

/** The VM with the fewest shards; the smallest id among equals. Precondition: not empty. */
Holdings::iterator Poorest(Holdings& aHoldings)
{
  return std::min_element(
    aHoldings.begin(), aHoldings.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second < aTwo.second;
    });
}

/** The VM with the most shards; the largest id among equals. Precondition: not empty. */
Holdings::iterator Richest(Holdings& aHoldings)
{
  return std::max_element(
    aHoldings.begin(), aHoldings.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second <= aTwo.second;
    });
}

/** How many of aSelf's shards go to others until no two VMs differ by more than one shard. Every
    VM that sees the same rows and members computes the same moves. */
unsigned CountGiven(Holdings aHoldings, const VmId& aSelf)
{
  unsigned given = 0;
  while (true) {
    const auto poorest = Poorest(aHoldings);
    const auto richest = Richest(aHoldings);
    if (richest->second <= poorest->second + 1) {
      return given;
    }
    --richest->second;
    ++poorest->second;
    given += richest->first == aSelf ? 1 : 0;
  }
}

} // namespace

bool IsLapsed(Instant aNow, const QuotaShardRow& aRow)
{
  return aNow - aRow.firstObserved >= WithDrift(kQuotaLeaseDuration);
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

  Holdings holdings;
  for (const VmId& vm : aLive) {
    holdings[vm] = 0;
  }
  if (aIsLeaving) {
    holdings.erase(self);
  } else {
    holdings[self] = 0;
  }

  std::vector<QuotaShardId> free;
  std::vector<QuotaShardId> used;
  std::vector<QuotaShardId> withdrawn;
  for (const QuotaShardRow& row : aHolder.Rows()) {
    if (row.holder == self && row.incarnation == aHolder.Incarnation()) {
      (aHolder.WithdrawnSince(row.shard) ? withdrawn : used).push_back(row.shard);
    } else if (row.holder == self && row.incarnation < aHolder.Incarnation()) {
      // The earlier process of this VM is gone, since this one has its address. Loans that it gave
      // may run on.
      if (aNow - aHolder.Started() >= WithDrift(kQuotaLoanDuration) && !aIsLeaving) {
        plan.claim.push_back(row.shard);
      }
    } else if (row.holder.IsEmpty() || IsLapsed(aNow, row)) {
      free.push_back(row.shard);
      continue;
    }
    if (const auto holding = holdings.find(row.holder); holding != holdings.end()) {
      ++holding->second;
    }
  }

  for (const QuotaShardId shard : free) {
    if (holdings.empty()) {
      break;
    }
    const auto poorest = Poorest(holdings);
    ++poorest->second;
    if (poorest->first == self) {
      plan.claim.push_back(shard);
    }
  }

  const std::size_t wanted =
    aIsLeaving ? used.size() + withdrawn.size() : CountGiven(holdings, self);
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
    if (since && aNow - *since >= WithDrift(kQuotaLoanDuration) &&
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
