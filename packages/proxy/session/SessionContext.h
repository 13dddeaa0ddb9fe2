#pragma once

#include "proxy/cluster/ClusterState.h"
#include "proxy/limits/LimitReporter.h"
#include "proxy/log/EventLog.h"
#include "proxy/pool/ServerHealth.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/rate/OrganisationBuckets.h"
#include "proxy/rate/Throttler.h"
#include "proxy/schedule/Scheduler.h"
#include "proxy/session/PositionTable.h"
#include "proxy/session/ReplicaPositions.h"
#include "proxy/session/ServerChooser.h"
#include "proxy/session/SessionLimits.h"
#include "proxy/session/StatementOutcome.h"

#include <functional>

namespace mustardshift::proxy {

/** Objects that all sessions of a VM share. All of them outlive the sessions.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network>
struct SessionContext
{
  ClusterState& cluster;
  ServerPool<Network>& pool;
  ServerHealth& health;
  PositionTable& positions;
  ReplicaPositions& replicaPositions;
  const ServerChooser& chooser;
  OrganisationBuckets& buckets;
  Throttler& throttler;
  Scheduler& scheduler;
  EventLog& log;
  SessionLimits sessionLimits;
  /** Called once for each statement that has ended, to record it in the metrics. */
  std::function<void(const StatementOutcome&)> onStatementEnd;
  /** The process exits soon: new sessions and statements are refused. */
  bool isStopping = false;
  /** Counts the limits that sessions reach; may be null. */
  LimitReporter* limitReporter = nullptr;
};

} // namespace mustardshift::proxy
