#include "proxy/rate/PlanRateAllocation.h"

#include <algorithm>
#include <cmath>

namespace mustardshift::proxy {

namespace {

/** Share that a VM without demand keeps, so that clients that move there are served at once. */
constexpr std::uint32_t kFloorParts = 300;
/** Demand above this part of a VM's rate starts a new division. */
constexpr double kTightUse = 0.7;
/** Smaller differences from the ideal division are left alone. */
constexpr std::uint32_t kLeastMove = 100;

using Shares = std::map<VmId, RateShare>;

std::map<VmId, std::uint32_t> IdealParts(const OrganisationName& aOrganisation,
                                         const std::vector<const RateMember*>& aLive)
{
  std::map<VmId, std::uint32_t> ideal;
  if (aLive.empty()) {
    return ideal;
  }
  const auto count = static_cast<std::uint32_t>(aLive.size());
  const std::uint32_t floor = std::min(kFloorParts, kRateParts / (2 * count));
  const std::uint32_t divided = kRateParts - floor * count;
  double total = 0;
  const auto demandOf = [&](const RateMember& aMember) {
    const auto found = aMember.demand.find(aOrganisation);
    // A small constant divides evenly where nobody asks.
    return (found == aMember.demand.end() ? 0.0 : found->second) + 0.01;
  };
  for (const RateMember* member : aLive) {
    total += demandOf(*member);
  }
  for (const RateMember* member : aLive) {
    ideal[member->vm] =
      floor + static_cast<std::uint32_t>(std::floor(divided * demandOf(*member) / total));
  }
  return ideal;
}

/** Whether some live VM has no share yet, or asks for nearly all of it. */
bool NeedsDivision(const OrganisationName& aOrganisation,
                   const Shares& aShares,
                   const std::vector<const RateMember*>& aLive,
                   double aRate)
{
  return std::any_of(aLive.begin(), aLive.end(), [&](const RateMember* aMember) {
    const auto share = aShares.find(aMember->vm);
    if (share == aShares.end() || share->second.parts == 0) {
      return true;
    }
    const auto demand = aMember->demand.find(aOrganisation);
    return demand != aMember->demand.end() &&
           demand->second > kTightUse * aRate * share->second.parts / kRateParts;
  });
}

/** Drops lapsed VMs and lowers the ceilings of those that have confirmed their share. */
bool SettleCeilings(Shares& aShares, const std::map<VmId, const RateMember*>& aMembers)
{
  bool hasChanged = false;
  std::erase_if(aShares, [&](const auto& aEntry) {
    const auto member = aMembers.find(aEntry.first);
    const bool hasLapsed = member == aMembers.end() || member->second->hasLapsed;
    hasChanged |= hasLapsed;
    return hasLapsed;
  });
  for (auto& [vm, share] : aShares) {
    if (share.ceiling > share.parts && aMembers.at(vm)->confirmedVersion >= share.changedIn) {
      share.ceiling = share.parts;
      hasChanged = true;
    }
  }
  return hasChanged;
}

/** Takes parts from VMs with more than their ideal, and gives free parts to those with less. */
bool Divide(Shares& aShares, const std::map<VmId, std::uint32_t>& aIdeal, std::uint64_t aVersion)
{
  bool hasChanged = false;
  std::uint32_t used = 0;
  std::uint32_t wanted = 0;
  for (const auto& [vm, ideal] : aIdeal) {
    RateShare& share = aShares[vm];
    if (share.parts > ideal + kLeastMove) {
      share.parts = ideal;
      share.changedIn = aVersion;
      hasChanged = true;
    }
    used += share.ceiling;
    wanted += ideal > share.parts ? ideal - share.parts : 0;
  }
  const std::uint32_t available = kRateParts - std::min(used, kRateParts);
  const std::uint32_t gift = std::min(wanted, available);
  if (gift == 0) {
    return hasChanged;
  }
  for (const auto& [vm, ideal] : aIdeal) {
    RateShare& share = aShares[vm];
    if (ideal <= share.parts) {
      continue;
    }
    const auto given =
      static_cast<std::uint32_t>(static_cast<std::uint64_t>(gift) * (ideal - share.parts) / wanted);
    if (given == 0 || (given < kLeastMove && share.parts > 0)) {
      continue;
    }
    share.parts += given;
    share.ceiling = share.parts > share.ceiling ? share.ceiling + given : share.ceiling;
    share.changedIn = aVersion;
    hasChanged = true;
  }
  return hasChanged;
}

} // namespace

std::optional<RateAllocation> PlanRateAllocation(
  const RateAllocation& aCurrent,
  const std::vector<RateMember>& aMembers,
  const std::map<OrganisationName, OrganisationLimit>& aLimits)
{
  std::map<VmId, const RateMember*> members;
  std::vector<const RateMember*> live;
  for (const RateMember& member : aMembers) {
    members[member.vm] = &member;
    if (!member.hasLapsed) {
      live.push_back(&member);
    }
  }
  RateAllocation next = aCurrent;
  next.version = aCurrent.version + 1;
  bool hasChanged = std::erase_if(next.shares, [&](const auto& aEntry) {
                      return !aLimits.contains(aEntry.first);
                    }) > 0;
  for (const auto& [organisation, limit] : aLimits) {
    Shares& shares = next.shares[organisation];
    const bool hasSettled = SettleCeilings(shares, members);
    hasChanged |= hasSettled;
    if (hasSettled || NeedsDivision(organisation, shares, live, limit.ratePerSecond)) {
      hasChanged |= Divide(shares, IdealParts(organisation, live), next.version);
    }
  }
  if (!hasChanged) {
    return std::nullopt;
  }
  return next;
}

} // namespace mustardshift::proxy
