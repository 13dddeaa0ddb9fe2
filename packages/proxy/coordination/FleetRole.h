#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** How a VM takes part in the fleet. */
enum class FleetRole
{
  /** The VM has not read the fleet's table yet, or has lost the members that it was attached to. */
  Undecided,
  /** The VM has a row in the fleet's table: it holds rate shares, watches the store's tables,
      queries primaries, and can hold the promotion lease. */
  Member,
  /** The VM learns what it needs from a member and makes no calls to the store. */
  Attached,
};

inline constexpr std::array<std::pair<FleetRole, std::string_view>, 3> kFleetRoleNames{ {
  { FleetRole::Undecided, "undecided" },
  { FleetRole::Member, "member" },
  { FleetRole::Attached, "attached" },
} };

/** Number of members that the whole fleet should have. Does not grow with the fleet, so that the
    load on the store does not either. */
inline constexpr std::size_t kWantedMembers = 9;
/** Bounds of the number of members of one failure domain. With two, one remains when the other
    stops. */
inline constexpr std::size_t kMinMembersPerDomain = 2;
inline constexpr std::size_t kMaxMembersPerDomain = 4;

/** In a fleet of at most this many VMs, all VMs are delegates for every task, and all members watch
    the store's tables. */
inline constexpr std::size_t kMaxVmsWithoutDelegates = 16;

/** Number of members that each of aDomainCount failure domains should have. Thread safety: pure. */
constexpr std::size_t MembersPerDomain(std::size_t aDomainCount)
{
  const std::size_t domains = std::max<std::size_t>(aDomainCount, 1);
  return std::clamp(
    (kWantedMembers + domains - 1) / domains, kMinMembersPerDomain, kMaxMembersPerDomain);
}

/** Number of members that each failure domain should have in a fleet of aVmCount VMs. Large fleets
    have the fewest that still replace each other, because each member calls the store.
    Thread safety: pure.
    @param aMembersPerDomain  result of MembersPerDomain(). */
constexpr std::size_t MembersPerDomainOfFleet(std::size_t aMembersPerDomain, std::size_t aVmCount)
{
  return aVmCount > kMaxVmsWithoutDelegates ? std::min(aMembersPerDomain, kMinMembersPerDomain)
                                            : aMembersPerDomain;
}

} // namespace mustardshift::proxy
