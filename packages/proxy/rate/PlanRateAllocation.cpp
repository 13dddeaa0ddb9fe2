#include "proxy/rate/PlanRateAllocation.h"

#include "proxy/coordination/ChooseDelegates.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace mustardshift::proxy {

namespace {

/** The parts that a VM receives for its demand cover this multiple of the demand. */
constexpr double kDemandHeadroom = 1.3;
/** Fraction of the rate that is always divided evenly, so that clients that move to another VM are
    served at once. */
constexpr double kMinEvenFraction = 0.2;
/** Parts are rebalanced when a VM's demand exceeds this fraction of its share. */
constexpr double kRebalanceUtilisation = 0.95;
/** A VM that has at least this fraction of its target gets no further parts. */
constexpr double kSufficientFraction = 0.7;
/** Differences from the target of up to this many parts are not corrected. */
constexpr std::uint32_t kMinPartsToMove = 100;

using Shares = std::map<VmId, RateShare>;

double DemandOf(const OrganisationName& aOrganisation, const AllocationMember& aMember)
{
  const auto found = aMember.demand.find(aOrganisation);
  return found == aMember.demand.end() ? 0.0 : found->second;
}

/** Returns the target of each VM in parts: parts for its demand plus headroom, and an even share of
    the remaining parts. Low demand thus changes the targets little, because a few requests do not
    show at which VMs the next requests will arrive. */
std::map<VmId, std::uint32_t> TargetParts(const OrganisationName& aOrganisation,
                                          const std::vector<const AllocationMember*>& aLiveMembers,
                                          double aRate)
{
  std::map<VmId, std::uint32_t> target;
  double total = 0;
  for (const AllocationMember* member : aLiveMembers) {
    total += DemandOf(aOrganisation, *member);
  }
  const auto count = static_cast<double>(aLiveMembers.size());
  const double usedFraction = aRate > 0 ? total / aRate : 1.0;
  const double evenFraction = std::max(kMinEvenFraction, 1 - kDemandHeadroom * usedFraction);
  for (const AllocationMember* member : aLiveMembers) {
    const double demandFraction = total > 0 ? DemandOf(aOrganisation, *member) / total : 0.0;
    target[member->vm] = static_cast<std::uint32_t>(
      kRateParts * (evenFraction / count + (1 - evenFraction) * demandFraction));
  }
  return target;
}

/** Returns whether some live VM has no parts, or a demand close to its share. */
bool NeedsRebalancing(const OrganisationName& aOrganisation,
                      const Shares& aShares,
                      const std::vector<const AllocationMember*>& aLiveMembers,
                      double aRate)
{
  return std::any_of(
    aLiveMembers.begin(), aLiveMembers.end(), [&](const AllocationMember* aMember) {
      const auto share = aShares.find(aMember->vm);
      if (share == aShares.end() || share->second.parts == 0) {
        return true;
      }
      return DemandOf(aOrganisation, *aMember) >
             kRebalanceUtilisation * aRate * share->second.parts / kRateParts;
    });
}

/** Removes the shares of VMs whose lease has expired. Releases revoked parts that their holders
    have confirmed. */
bool ReleaseConfirmedParts(Shares& aShares, const std::map<VmId, const AllocationMember*>& aMembers)
{
  bool hasChanged = false;
  std::erase_if(aShares, [&](const auto& aEntry) {
    const auto member = aMembers.find(aEntry.first);
    const bool hasLeaseExpired = member == aMembers.end() || member->second->hasLeaseExpired;
    hasChanged |= hasLeaseExpired;
    return hasLeaseExpired;
  });
  for (auto& [vm, share] : aShares) {
    if (share.reservedParts > share.parts &&
        aMembers.at(vm)->confirmedVersion >= share.changedInVersion) {
      share.reservedParts = share.parts;
      hasChanged = true;
    }
  }
  return hasChanged;
}

/** Revokes all parts of VMs that are no longer holders, and removes the shares of those that have
    confirmed the revocation. */
bool RevokeFromOthers(Shares& aShares, const std::set<VmId>& aHolders, std::uint64_t aVersion)
{
  bool hasChanged = std::erase_if(aShares, [&](const auto& aEntry) {
                      return aEntry.second.reservedParts == 0 && !aHolders.contains(aEntry.first);
                    }) > 0;
  for (auto& [vm, share] : aShares) {
    if (share.parts > 0 && !aHolders.contains(vm)) {
      share.parts = 0;
      share.changedInVersion = aVersion;
      hasChanged = true;
    }
  }
  return hasChanged;
}

std::vector<const AllocationMember*> SelectMembers(
  const std::vector<const AllocationMember*>& aMembers,
  const std::set<VmId>& aVms)
{
  std::vector<const AllocationMember*> selected;
  std::copy_if(aMembers.begin(),
               aMembers.end(),
               std::back_inserter(selected),
               [&](const auto* aMember) { return aVms.contains(aMember->vm); });
  return selected;
}

/** Numbers of parts to be moved by a rebalance. */
struct RebalanceTotals
{
  /** Parts missing to the targets, summed over the VMs for which IsBelowTarget() is true. */
  std::uint32_t deficit = 0;
  /** Parts held in excess of the targets, summed over the VMs above their targets. */
  std::uint32_t surplus = 0;
  /** Parts that are free, or become free when their former holders confirm the revocation. */
  std::uint32_t unallocated = 0;
};

/** Returns whether a VM is so far below its target that it is to receive parts. */
bool IsBelowTarget(const RateShare& aShare, std::uint32_t aTarget)
{
  return aShare.parts + kMinPartsToMove < aTarget && aShare.parts < kSufficientFraction * aTarget;
}

RebalanceTotals SumTotals(const Shares& aShares, const std::map<VmId, std::uint32_t>& aTarget)
{
  RebalanceTotals totals;
  std::uint32_t used = 0;
  for (const auto& [vm, target] : aTarget) {
    const RateShare& share = aShares.at(vm);
    totals.deficit += IsBelowTarget(share, target) ? target - share.parts : 0;
    totals.surplus += share.parts > target ? share.parts - target : 0;
    used += share.parts;
  }
  totals.unallocated = kRateParts - std::min(used, kRateParts);
  return totals;
}

/** Revokes parts from VMs above their target to cover the deficit of the others, each in proportion
    to its surplus. */
bool TakeSurplus(Shares& aShares,
                 const std::map<VmId, std::uint32_t>& aTarget,
                 const RebalanceTotals& aTotals,
                 std::uint64_t aVersion)
{
  if (aTotals.deficit <= aTotals.unallocated || aTotals.surplus == 0) {
    return false;
  }
  const std::uint64_t revoked = std::min(aTotals.deficit - aTotals.unallocated, aTotals.surplus);
  for (const auto& [vm, target] : aTarget) {
    RateShare& share = aShares.at(vm);
    if (share.parts > target) {
      share.parts -= static_cast<std::uint32_t>(revoked * (share.parts - target) / aTotals.surplus);
      share.changedInVersion = aVersion;
    }
  }
  return true;
}

/** Grants parts that are not reserved for any VM to VMs below their target. */
bool GrantFreeParts(Shares& aShares,
                    const std::map<VmId, std::uint32_t>& aTarget,
                    const RebalanceTotals& aTotals,
                    std::uint64_t aVersion)
{
  std::uint32_t reserved = 0;
  for (const auto& [vm, share] : aShares) {
    reserved += share.reservedParts;
  }
  const std::uint64_t granted =
    std::min(aTotals.deficit, kRateParts - std::min(reserved, kRateParts));
  if (granted == 0) {
    return false;
  }
  for (const auto& [vm, target] : aTarget) {
    RateShare& share = aShares.at(vm);
    if (!IsBelowTarget(share, target)) {
      continue;
    }
    const auto grantedToVm =
      static_cast<std::uint32_t>(granted * (target - share.parts) / aTotals.deficit);
    share.parts += grantedToVm;
    share.reservedParts += grantedToVm;
    share.changedInVersion = aVersion;
  }
  return true;
}

bool Rebalance(Shares& aShares,
               const std::map<VmId, std::uint32_t>& aTarget,
               std::uint64_t aVersion)
{
  for (const auto& [vm, target] : aTarget) {
    aShares.try_emplace(vm);
  }
  const RebalanceTotals totals = SumTotals(aShares, aTarget);
  const bool hasRevoked = TakeSurplus(aShares, aTarget, totals, aVersion);
  const bool hasGranted = GrantFreeParts(aShares, aTarget, totals, aVersion);
  return hasRevoked || hasGranted;
}

} // namespace

std::optional<RateAllocation> PlanRateAllocation(
  const RateAllocation& aCurrent,
  const std::vector<AllocationMember>& aMembers,
  const std::map<OrganisationName, OrganisationLimit>& aLimits)
{
  std::map<VmId, const AllocationMember*> members;
  std::vector<const AllocationMember*> liveMembers;
  std::map<VmId, FailureDomainName> domains;
  for (const AllocationMember& member : aMembers) {
    members[member.vm] = &member;
    if (!member.hasLeaseExpired) {
      domains[member.vm] = member.domain;
      liveMembers.push_back(&member);
    }
  }
  RateAllocation next = aCurrent;
  next.version = aCurrent.version + 1;
  bool hasChanged = std::erase_if(next.shares, [&](const auto& aEntry) {
                      return !aLimits.contains(aEntry.first);
                    }) > 0;
  for (const auto& [organisation, limit] : aLimits) {
    Shares& shares = next.shares[organisation];
    const std::set<VmId> delegates = ChooseDelegates(organisation.Text(), domains, domains.size());
    const std::vector<const AllocationMember*> holders = SelectMembers(liveMembers, delegates);
    const bool hasReleased = ReleaseConfirmedParts(shares, members);
    const bool hasRevoked = RevokeFromOthers(shares, delegates, next.version);
    hasChanged |= hasReleased || hasRevoked;
    if (hasReleased || hasRevoked ||
        NeedsRebalancing(organisation, shares, holders, limit.ratePerSecond)) {
      hasChanged |=
        Rebalance(shares, TargetParts(organisation, holders, limit.ratePerSecond), next.version);
    }
  }
  if (!hasChanged) {
    return std::nullopt;
  }
  return next;
}

} // namespace mustardshift::proxy
