#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/pool/ConnectionScript.h"
#include "proxy/pool/ServerHealth.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/schedule/Scheduler.h"
#include "proxy/session/PositionTable.h"

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace mustardshift::proxy {

/** Opens and rolls back an empty transaction at servers that have answered nothing lately, which
   costs a server no slot. At a primary it gives a log position that proves where the primary is. At
   a replica that this VM takes for unreachable it shows when reads may go there again.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network>
class ServerProber
{
public:
  /** A primary is asked when no position of it is younger than this; well below the bounds on age
      that routes have. */
  static constexpr Duration kQuietTime = std::chrono::milliseconds(300);
  /** Answers that take longer count as failures. */
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(200);

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

  /** A replica that is taken for unreachable is asked again after this time. */
  static constexpr Duration kReplicaPause = std::chrono::milliseconds(500);

  /** Starts the probes that are due.
      @param aIsMine  tells whether this VM has to ask a group's primary. */
  void Step(Instant aNow, const std::function<bool(const DatabaseName&)>& aIsMine)
  {
    this->ProbeReplicas(aNow);
    for (const auto& [group, limit] : this->cluster.Configuration().connectionLimits) {
      const auto primary = this->cluster.PrimaryOf(group);
      const auto last = this->positions.LastObserved(group);
      if (!primary || !aIsMine(group) || this->running.contains(*primary) ||
          (last && aNow - *last < kQuietTime)) {
        continue;
      }
      this->Probe(aNow, group, *primary, ServerCommandKind::Begin);
    }
  }

  /** Primaries that this VM can't reach. */
  std::set<ServerId> UnreachablePrimaries(Instant aNow) const
  {
    std::set<ServerId> unreachable;
    for (const auto& [group, limit] : this->cluster.Configuration().connectionLimits) {
      const auto primary = this->cluster.PrimaryOf(group);
      if (primary && this->health.IsUnreachable(*primary, aNow)) {
        unreachable.insert(*primary);
      }
    }
    return unreachable;
  }

private:
  void ProbeReplicas(Instant aNow)
  {
    for (const auto& [id, server] : this->cluster.Servers()) {
      const auto asked = this->replicasAskedAt.find(id);
      const bool isDue =
        asked == this->replicasAskedAt.end() || aNow - asked->second >= kReplicaPause;
      if (isDue && this->health.IsUnreachable(id, aNow) && !this->running.contains(id) &&
          this->cluster.PrimaryOf(server.group) != id && !this->cluster.DrainingSince(id)) {
        this->replicasAskedAt[id] = aNow;
        this->Probe(aNow, server.group, id, ServerCommandKind::BeginReadOnly);
      }
    }
    std::erase_if(this->replicasAskedAt, [this](const auto& aEntry) {
      return this->cluster.Find(aEntry.first) == nullptr;
    });
  }

  void Probe(Instant aNow,
             const DatabaseName& aGroup,
             const ServerId& aServer,
             ServerCommandKind aBegin)
  {
    this->running.insert(aServer);
    const auto& limits = this->cluster.Configuration().limits;
    const auto idle = this->pool.IdleOrganisation(aServer);
    ConnectionRequest<Network> request;
    request.organisation =
      idle ? *idle : (limits.empty() ? OrganisationName() : limits.begin()->first);
    request.candidates = { { aServer, 0 } };
    request.giveUpAt = aNow + kAnswerTime;
    request.handler =
      [this, aGroup, aServer, aBegin, aNow](Instant aThen, PooledConnection<Network>* aConnection) {
        if (aConnection != nullptr) {
          this->Run(aThen, aGroup, aConnection, aBegin);
          return;
        }
        this->running.erase(aServer);
        // All connections are busy, unless none answers.
        if (!this->health.HasAnsweredSince(aServer, aNow)) {
          this->health.NoteFailure(aServer, aNow);
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
      this->scheduler.Schedule(aNow + kAnswerTime, [this, aConnection, aNow](Instant aThen) {
        this->running.erase(aConnection->server);
        this->health.NoteFailure(aConnection->server, aNow);
        this->pool.Discard(aThen, aConnection);
      });
    ConnectionScript<Network>::Run(
      aNow,
      *aConnection,
      this->health,
      { std::move(begin), std::move(rollback) },
      [this, aGroup, aConnection, timer](Instant aThen, const ScriptResult& aResult) {
        this->scheduler.Cancel(timer);
        this->running.erase(aConnection->server);
        this->OnResult(aThen, aGroup, aConnection, aResult);
      });
  }

  void OnResult(Instant aNow,
                const DatabaseName& aGroup,
                PooledConnection<Network>* aConnection,
                const ScriptResult& aResult)
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
  /** Servers that are being asked. */
  std::set<ServerId> running;
  std::map<ServerId, Instant> replicasAskedAt;
};

} // namespace mustardshift::proxy
