#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/pool/CommandSequence.h"
#include "proxy/pool/ServerHealth.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/schedule/Scheduler.h"
#include "proxy/session/PositionTable.h"

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace mustardshift::proxy {

/** Sends probes to servers that have not answered recently: opens an empty transaction and rolls it
    back, which occupies no execution slot of the server. At a primary, a probe yields a log
    position that the primary has confirmed. At a replica that this VM considers unreachable, a
    probe shows when reads may be sent to the replica again.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network>
class ServerProber
{
public:
  /** A primary is probed if its latest known position is older than this. Well below the staleness
      limits that routes have. */
  static constexpr Duration kMaxPositionAge = std::chrono::milliseconds(300);
  /** A probe without an answer within this time counts as failed. */
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(200);

  /** All arguments have to outlive the prober. */
  ServerProber(ServerPool<Network>& aPool,
               ClusterState& aCluster,
               ServerHealth& aHealth,
               PositionTable& aPositions,
               Scheduler& aScheduler)
    : pool(aPool)
    , cluster(aCluster)
    , health(aHealth)
    , positions(aPositions)
    , scheduler(aScheduler)
  {
  }
  ServerProber(const ServerProber&) = delete;
  ServerProber& operator=(const ServerProber&) = delete;
  ~ServerProber() = default;

  /** Interval between probes of a replica that is considered unreachable. */
  static constexpr Duration kReplicaProbeInterval = std::chrono::milliseconds(500);

  /** Starts the probes that are due.
      @param aShouldProbe  whether this VM has to probe the primary of a group. */
  void Step(Instant aNow, const std::function<bool(const DatabaseName&)>& aShouldProbe)
  {
    this->ProbeReplicas(aNow);
    for (const auto& [group, limit] : this->cluster.Configuration().connectionLimits) {
      const auto primary = this->cluster.PrimaryOf(group);
      const auto lastObservedAt = this->positions.LastObserved(group);
      if (!primary || !aShouldProbe(group) || this->probesInProgress.contains(*primary) ||
          (lastObservedAt && aNow - *lastObservedAt < kMaxPositionAge)) {
        continue;
      }
      this->Probe(aNow, group, *primary, ServerCommandKind::Begin);
    }
  }

  /** Primaries that this VM can't reach. */
  std::set<ServerId> UnreachablePrimaries(Instant aNow) const
  {
    std::set<ServerId> unreachablePrimaries;
    for (const auto& [group, limit] : this->cluster.Configuration().connectionLimits) {
      const auto primary = this->cluster.PrimaryOf(group);
      if (primary && this->health.IsUnreachable(*primary, aNow)) {
        unreachablePrimaries.insert(*primary);
      }
    }
    return unreachablePrimaries;
  }

private:
  void ProbeReplicas(Instant aNow)
  {
    for (const auto& [id, server] : this->cluster.Servers()) {
      const auto lastProbe = this->replicasProbedAt.find(id);
      const bool isDue = lastProbe == this->replicasProbedAt.end() ||
                         aNow - lastProbe->second >= kReplicaProbeInterval;
      if (isDue && this->health.IsUnreachable(id, aNow) && !this->probesInProgress.contains(id) &&
          this->cluster.PrimaryOf(server.group) != id && !this->cluster.DrainingSince(id)) {
        this->replicasProbedAt[id] = aNow;
        this->Probe(aNow, server.group, id, ServerCommandKind::BeginReadOnly);
      }
    }
    std::erase_if(this->replicasProbedAt, [this](const auto& aEntry) {
      return this->cluster.Find(aEntry.first) == nullptr;
    });
  }

  void Probe(Instant aNow,
             const DatabaseName& aGroup,
             const ServerId& aServer,
             ServerCommandKind aBegin)
  {
    this->probesInProgress.insert(aServer);
    const auto& limits = this->cluster.Configuration().limits;
    const auto idleOrganisation = this->pool.IdleOrganisation(aServer);
    ConnectionRequest<Network> request;
    request.organisation = idleOrganisation
                             ? *idleOrganisation
                             : (limits.empty() ? OrganisationName() : limits.begin()->first);
    request.candidates = { { aServer, 0 } };
    request.deadline = aNow + kAnswerTimeout;
    request.handler =
      [this, aGroup, aServer, aBegin, aNow](Instant aThen, PooledConnection<Network>* aConnection) {
        if (aConnection != nullptr) {
          this->Run(aThen, aGroup, aConnection, aBegin);
          return;
        }
        this->probesInProgress.erase(aServer);
        // No connection became available. If the server has replied on any connection since the
        // probe started, all connections were merely in use. Otherwise the probe has failed.
        if (!this->health.HasRepliedSince(aServer, aNow)) {
          this->health.RecordAttemptFailure(aServer, aNow);
        }
      };
    this->pool.Acquire(aNow, std::move(request));
  }

  void Run(Instant aNow,
           const DatabaseName& aGroup,
           PooledConnection<Network>* aConnection,
           ServerCommandKind aBegin)
  {
    ServerCommand begin;
    begin.kind = aBegin;
    ServerCommand rollback;
    rollback.kind = ServerCommandKind::Rollback;
    const auto timer =
      this->scheduler.Schedule(aNow + kAnswerTimeout, [this, aConnection, aNow](Instant aThen) {
        this->probesInProgress.erase(aConnection->server);
        this->health.RecordAttemptFailure(aConnection->server, aNow);
        this->pool.Discard(aThen, aConnection);
      });
    CommandSequence<Network>::Run(
      aNow,
      *aConnection,
      this->health,
      { std::move(begin), std::move(rollback) },
      [this, aGroup, aConnection, timer](Instant aThen, const CommandSequenceResult& aResult) {
        this->scheduler.Cancel(timer);
        this->probesInProgress.erase(aConnection->server);
        this->OnResult(aThen, aGroup, aConnection, aResult);
      });
  }

  void OnResult(Instant aNow,
                const DatabaseName& aGroup,
                PooledConnection<Network>* aConnection,
                const CommandSequenceResult& aResult)
  {
    if (aResult.beginPosition) {
      this->positions.Observe(aGroup, aResult.beginSentAt, *aResult.beginPosition);
    }
    if (aResult.reply.status == ReplyStatus::Refused &&
        aResult.reply.error == ErrorCode::ReadOnly) {
      this->cluster.MarkNotPrimary(aConnection->server, aNow);
    }
    if (aResult.reply.status == ReplyStatus::Lost ||
        aResult.reply.state != TransactionState::Idle) {
      this->pool.Discard(aNow, aConnection);
      return;
    }
    this->pool.Release(aNow, aConnection);
  }

  ServerPool<Network>& pool;
  ClusterState& cluster;
  ServerHealth& health;
  PositionTable& positions;
  Scheduler& scheduler;
  /** Servers with a probe in progress. */
  std::set<ServerId> probesInProgress;
  std::map<ServerId, Instant> replicasProbedAt;
};

} // namespace mustardshift::proxy
