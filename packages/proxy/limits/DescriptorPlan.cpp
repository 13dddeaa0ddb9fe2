#include "proxy/limits/DescriptorPlan.h"

#include <algorithm>

namespace mustardshift::proxy {

namespace {

/** The process opens about 15 by itself, and some 30 to the servers and the store of a small fleet.
 */
constexpr std::size_t kMinReserve = 32;
constexpr std::size_t kUsualReserve = 128;
/** Leaves 4,000 of 4,300 descriptors to clients. */
constexpr std::size_t kReserveDivisor = 15;
constexpr std::size_t kMaxReserveDivisor = 4;
/** Parts of the reserve. */
constexpr std::size_t kHttpDivisor = 16;
constexpr std::size_t kMinHttpConnections = 4;
/** The 66 VMs that are attached to a member of a fleet of 800 may read copies of tables at once. */
constexpr std::size_t kPeerNumerator = 3;
constexpr std::size_t kPeerDivisor = 8;

} // namespace

DescriptorPlan MakeDescriptorPlan(std::size_t aLimit, std::optional<std::size_t> aReserve)
{
  const std::size_t usual = std::max(kUsualReserve, aLimit / kReserveDivisor);
  const std::size_t reserve =
    aReserve.value_or(std::max(kMinReserve, std::min(usual, aLimit / kMaxReserveDivisor)));
  DescriptorPlan plan;
  plan.clients = aLimit > reserve ? aLimit - reserve : 1;
  plan.httpConnections = std::max(kMinHttpConnections, reserve / kHttpDivisor);
  plan.peerConnections = std::max(kMinHttpConnections, reserve * kPeerNumerator / kPeerDivisor);
  return plan;
}

} // namespace mustardshift::proxy
