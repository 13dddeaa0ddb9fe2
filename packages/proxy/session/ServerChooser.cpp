#include "proxy/session/ServerChooser.h"

#include <algorithm>
#include <functional>
#include <string>

namespace mustardshift::proxy {

namespace {

/** Servers that are tried for a position before the primary is asked, which has every position. */
constexpr std::size_t kMostHoldersTried = 2;
/** Load that the primary has from writes and checked reads, in statements per slot. */
constexpr double kPrimaryPenalty = 1.0;
/** Load at which a replica that the organisation does not prefer is taken, in statements per slot.
 */
constexpr double kForeignPenalty = 0.4;

/** Spreads the organisations over the replicas, so that each replica's few connections are shared
   by fewer of them and need replacing less often. */
double ForeignPenalty(const OrganisationName& aOrganisation, const ServerId& aServer)
{
  const std::size_t mixed = std::hash<std::string>{}(aOrganisation.Text() + "/" + aServer.Text());
  return kForeignPenalty * static_cast<double>(mixed % 2);
}

} // namespace

ServerChoice ServerChooser::Choose(Instant aNow, const ChoiceRequest& aRequest) const
{
  if (!aRequest.needsPrimary && aRequest.excluded.size() < kMostHoldersTried) {
    const std::optional<LogPosition> floor = this->FloorOf(aNow, aRequest);
    if (floor) {
      auto holders = this->ChooseHolders(aNow, aRequest, *floor);
      if (!holders.empty()) {
        return { StatementPath::Position, floor, std::move(holders) };
      }
    }
  }
  // Without a floor: the primary of the latest term holds every position that can still be reached.
  return { aRequest.needsPrimary ? StatementPath::Primary : StatementPath::CheckedPrimary,
           std::nullopt,
           this->ChoosePrimary(aNow, aRequest.route.group) };
}

std::optional<LogPosition> ServerChooser::FloorOf(Instant aNow, const ChoiceRequest& aRequest) const
{
  const Duration age = aRequest.route.maxStaleness - this->timings.stalenessMargin;
  if (aRequest.route.consistency == ReadConsistency::Primary || age <= Duration::zero()) {
    return std::nullopt;
  }
  std::optional<LogPosition> floor = this->positions.FloorFor(aRequest.route.group, age, aNow);
  if (floor && aRequest.route.consistency == ReadConsistency::Session && aRequest.lastWrite) {
    floor = std::max(*floor, *aRequest.lastWrite);
  }
  return floor;
}

std::vector<ConnectionCandidate> ServerChooser::ChooseHolders(Instant aNow,
                                                              const ChoiceRequest& aRequest,
                                                              LogPosition aFloor) const
{
  const std::optional<ServerId> primary = this->cluster.PrimaryOf(aRequest.route.group);
  std::vector<ConnectionCandidate> holders;
  for (const ServerId& id : this->cluster.ReadyServers(aRequest.route.group)) {
    if (aRequest.excluded.contains(id) || this->health.IsUnreachable(id, aNow) ||
        this->replicaPositions.IsBehind(id, aFloor, aNow)) {
      continue;
    }
    holders.push_back(
      { id, primary == id ? kPrimaryPenalty : ForeignPenalty(aRequest.organisation, id) });
  }
  return holders;
}

std::vector<ConnectionCandidate> ServerChooser::ChoosePrimary(Instant aNow,
                                                              const DatabaseName& aGroup) const
{
  const std::optional<ServerId> primary = this->cluster.PrimaryOf(aGroup);
  if (!primary || this->health.IsUnreachable(*primary, aNow)) {
    return {};
  }
  const std::optional<Instant> leaving = this->cluster.LeavingSince(*primary);
  if (leaving && aNow - *leaving > this->timings.leavingPrimary) {
    return {};
  }
  return { { *primary, 0 } };
}

} // namespace mustardshift::proxy
