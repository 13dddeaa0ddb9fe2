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

/** Opens and rolls back an empty transaction at primaries that have answered nothing lately. That
    costs a server no slot, and gives a log position that proves where the primary is.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network>
class PrimaryProber
{
public:
  /** A primary is asked when no position of it is younger than this; well below the bounds on age
      that routes have. */
  static constexpr Duration kQuietTime = std::chrono::milliseconds(300);
  /** Answers that take longer count as failures. */
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(200);

  /** All arguments have to outlive the prober. */
  PrimaryProber(ServerPool<Network>& aPool,
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
  PrimaryProber(const PrimaryProber&) = delete;
  PrimaryProber& operator=(const PrimaryProber&) = delete;
  ~PrimaryProber() = default;

  /** Starts the probes that are due.
      @param aIsMine  tells whether this VM has to ask a group's primary. */
  void Step(Instant aNow, const std::function<bool(const DatabaseName&)>& aIsMine)
  {
    for (const auto& [group, limit] : this->cluster.Configuration().connectionLimits) {
      const auto primary = this->cluster.PrimaryOf(group);
      const auto last = this->positions.LastObserved(group);
      if (!primary || !aIsMine(group) || this->running.contains(group) ||
          (last && aNow - *last < kQuietTime)) {
        continue;
      }
      this->Probe(aNow, group, *primary);
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
  void Probe(Instant aNow, const DatabaseName& aGroup, const ServerId& aPrimary)
  {
    this->running.insert(aGroup);
    const auto& limits = this->cluster.Configuration().limits;
    const auto idle = this->pool.IdleOrganisation(aPrimary);
    ConnectionRequest<Network> request;
    request.organisation =
      idle ? *idle : (limits.empty() ? OrganisationName() : limits.begin()->first);
    request.candidates = { { aPrimary, 0 } };
    request.giveUpAt = aNow + kAnswerTime;
    request.handler = [this, aGroup, aPrimary, aNow](Instant aThen,
                                                     PooledConnection<Network>* aConnection) {
      if (aConnection != nullptr) {
        this->Run(aThen, aGroup, aConnection);
        return;
      }
      this->running.erase(aGroup);
      // All connections are busy, unless none answers.
      if (!this->health.HasAnsweredSince(aPrimary, aNow)) {
        this->health.NoteFailure(aPrimary, aNow);
      }
    };
    this->pool.Acquire(aNow, std::move(request));
  }

  void Run(Instant aNow, const DatabaseName& aGroup, PooledConnection<Network>* aConnection)
  {
    ServerCommand begin;
    begin.kind = ServerCommandKind::Begin;
    ServerCommand rollback;
    rollback.kind = ServerCommandKind::Rollback;
    const auto timer = this->scheduler.Schedule(
      aNow + kAnswerTime, [this, aGroup, aConnection, aNow](Instant aThen) {
        this->running.erase(aGroup);
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
        this->running.erase(aGroup);
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
      this->cluster.NoteNotPrimary(aConnection->server, aNow);
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
  /** Groups whose primary is being asked. */
  std::set<DatabaseName> running;
};

} // namespace mustardshift::proxy
