#include "proxy/session/ServerChooser.h"

#include <algorithm>
#include <functional>
#include <string>

namespace mustardshift::proxy {

namespace {

/** Number of servers that are tried for a read at a position before the read goes to the primary,
    which has every position. */
constexpr std::size_t kMaxServersTriedAtPosition = 2;
/** Load that is assumed for the primary from the statements that only the primary can run: writes
    and reads on StatementPath::CheckedPrimary. In statements per slot. */
constexpr double kPrimaryLoadPenalty = 1.0;
/** Additional load of the preferred replicas at which a replica that the organisation doesn't
    prefer is chosen, in statements per slot. */
constexpr double kNonPreferredReplicaPenalty = 0.4;

/** Distributes the organisations over the replicas by a hash: each replica's few connections are
    then shared by fewer organisations and have to be replaced less often. */
double ReplicaLoadPenalty(const OrganisationName& aOrganisation, const ServerId& aServer)
{
  const std::size_t hash = std::hash<std::string>{}(aOrganisation.Text() + "/" + aServer.Text());
  return kNonPreferredReplicaPenalty * static_cast<double>(hash % 2);
}

} // namespace

ServerChoice ServerChooser::Choose(Instant aNow, const ServerChoiceRequest& aRequest) const
{
  if (!aRequest.needsPrimary && aRequest.excludedServers.size() < kMaxServersTriedAtPosition) {
    const std::optional<LogPosition> minimumPosition = this->MinimumPositionOf(aNow, aRequest);
    if (minimumPosition) {
      auto servers = this->ChooseServersAtPosition(aNow, aRequest, *minimumPosition);
      if (!servers.empty()) {
        return { StatementPath::AtPosition, minimumPosition, std::move(servers) };
      }
    }
  }
  // No position is required here, because the primary of the latest term has every position that
  // can still be reached.
  return { aRequest.needsPrimary ? StatementPath::Primary : StatementPath::CheckedPrimary,
           std::nullopt,
           this->ChoosePrimary(aNow, aRequest.route.group) };
}

std::optional<LogPosition> ServerChooser::MinimumPositionOf(
  Instant aNow,
  const ServerChoiceRequest& aRequest) const
{
  const Duration age = aRequest.route.maxStaleness - this->sessionLimits.stalenessMargin;
  if (aRequest.route.consistency == ReadConsistency::Primary || age <= Duration::zero()) {
    return std::nullopt;
  }
  std::optional<LogPosition> minimumPosition =
    this->positions.MinimumPositionFor(aRequest.route.group, age, aNow);
  if (minimumPosition && aRequest.route.consistency == ReadConsistency::Session &&
      aRequest.lastCommitPosition) {
    minimumPosition = std::max(*minimumPosition, *aRequest.lastCommitPosition);
  }
  return minimumPosition;
}

std::vector<ConnectionCandidate> ServerChooser::ChooseServersAtPosition(
  Instant aNow,
  const ServerChoiceRequest& aRequest,
  LogPosition aMinimumPosition) const
{
  const std::optional<ServerId> primary = this->cluster.PrimaryOf(aRequest.route.group);
  std::vector<ConnectionCandidate> servers;
  for (const ServerId& id : this->cluster.ReadyServers(aRequest.route.group)) {
    if (aRequest.excludedServers.contains(id) || this->health.IsUnreachable(id, aNow) ||
        this->replicaPositions.IsBehind(id, aMinimumPosition, aNow)) {
      continue;
    }
    servers.push_back(
      { id, primary == id ? kPrimaryLoadPenalty : ReplicaLoadPenalty(aRequest.organisation, id) });
  }
  return servers;
}

std::vector<ConnectionCandidate> ServerChooser::ChoosePrimary(Instant aNow,
                                                              const DatabaseName& aGroup) const
{
  const std::optional<ServerId> primary = this->cluster.PrimaryOf(aGroup);
  if (!primary || this->health.IsUnreachable(*primary, aNow)) {
    return {};
  }
  const std::optional<Instant> drainingStart = this->cluster.DrainingSince(*primary);
  if (drainingStart && aNow - *drainingStart > this->sessionLimits.drainingPrimaryGrace) {
    return {};
  }
  return { { *primary, 0 } };
}

} // namespace mustardshift::proxy
