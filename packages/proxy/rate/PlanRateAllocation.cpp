#include "proxy/rate/PlanRateAllocation.h"

#include <algorithm>

namespace mustardshift::proxy {

namespace {

/** Part of the spare rate that is divided evenly, so that clients that move are served at once; the
    rest follows the demand. */
constexpr double kEvenPart = 0.5;
/** Part that is divided evenly when the demand exceeds the rate. */
constexpr double kEvenPartWhenScarce = 0.2;
/** A VM that asks for more than this part of its share needs a new division. */
constexpr double kTightUse = 0.8;
/** A VM gives up parts when it has this many times what it should have. */
constexpr double kTooMuch = 1.3;
/** Smaller differences from the ideal division are left alone. */
constexpr std::uint32_t kLeastMove = 100;

using Shares = std::map<VmId, RateShare>;

double DemandOf(const OrganisationName& aOrganisation, const RateMember& aMember)
{
  const auto found = aMember.demand.find(aOrganisation);
  return found == aMember.demand.end() ? 0.0 : found->second;
}

/** Divides the whole: what each VM asks for, and the rest partly evenly, partly by demand. */
std::map<VmId, std::uint32_t> IdealParts(const OrganisationName& aOrganisation,
                                         const std::vector<const RateMember*>& aLive,
                                         double aRate)
{
  std::map<VmId, std::uint32_t> ideal;
  double total = 0;
  for (const RateMember* member : aLive) {
    total += DemandOf(aOrganisation, *member);
  }
  const auto count = static_cast<double>(aLive.size());
  const double asked = aRate > 0 ? std::min(1.0, total / aRate) : 1.0;
  const double even = total > 0 ? std::max(kEvenPartWhenScarce, kEvenPart * (1 - asked)) : 1.0;
  for (const RateMember* member : aLive) {
    const double byDemand = total > 0 ? DemandOf(aOrganisation, *member) / total : 0.0;
    ideal[member->vm] =
      static_cast<std::uint32_t>(kRateParts * (even / count + (1 - even) * byDemand));
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
    return DemandOf(aOrganisation, *aMember) > kTightUse * aRate * share->second.parts / kRateParts;
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
    if (share.parts > kTooMuch * ideal + kLeastMove) {
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
      hasChanged |=
        Divide(shares, IdealParts(organisation, live, limit.ratePerSecond), next.version);
    }
  }
  if (!hasChanged) {
    return std::nullopt;
  }
  return next;
}

} // namespace mustardshift::proxy
