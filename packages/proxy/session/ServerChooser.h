#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/pool/ServerHealth.h"
#include "proxy/session/PositionTable.h"
#include "proxy/session/ReplicaPositions.h"
#include "proxy/session/ServerChoice.h"
#include "proxy/session/SessionLimits.h"

#include <vector>

namespace mustardshift::proxy {

/** Chooses the servers that may run a statement. A read goes to replicas if a position of the
    primary that was confirmed recently tells which log position the route and the session require;
    otherwise it goes to the primary.

    Thread safety: const methods only read; the state that they read belongs to one thread. */
class ServerChooser
{
public:
  /** Precondition: all references outlive the chooser. */
  ServerChooser(const ClusterState& aCluster,
                const ServerHealth& aHealth,
                const PositionTable& aPositions,
                const ReplicaPositions& aReplicaPositions,
                SessionLimits aSessionLimits)
    : cluster(aCluster)
    , health(aHealth)
    , positions(aPositions)
    , replicaPositions(aReplicaPositions)
    , sessionLimits(aSessionLimits)
  {
  }

  ServerChoice Choose(Instant aNow, const ServerChoiceRequest& aRequest) const;

private:
  std::optional<LogPosition> MinimumPositionOf(Instant aNow,
                                               const ServerChoiceRequest& aRequest) const;
  std::vector<ConnectionCandidate> ChooseServersAtPosition(Instant aNow,
                                                           const ServerChoiceRequest& aRequest,
                                                           LogPosition aMinimumPosition) const;
  std::vector<ConnectionCandidate> ChoosePrimary(Instant aNow, const DatabaseName& aGroup) const;

  const ClusterState& cluster;
  const ServerHealth& health;
  const PositionTable& positions;
  const ReplicaPositions& replicaPositions;
  SessionLimits sessionLimits;
};

} // namespace mustardshift::proxy
