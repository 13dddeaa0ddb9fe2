#pragma once

#include "core/base/Instant.h"
#include "core/base/NameTable.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/coordination/FleetView.h"
#include "proxy/coordination/TableStore.h"
#include "proxy/log/EventLog.h"
#include "proxy/pool/CommandSequence.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/promotion/ChooseCandidate.h"
#include "proxy/promotion/PromotionOrderSender.h"
#include "proxy/promotion/PromotionReason.h"
#include "proxy/schedule/Scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** Replaces primaries: claims the promotion lease, finds the replica that has received most of the
    log, and orders the platform to promote it.

    The lease row names one holder and a fencing token. Before each order the token is increased by
    a write that is conditional on the row's version, so that an order whose answer was lost can't
    take effect after a later one. The holder keeps the lease as long as it renews its own row in
    the fleet table, and sends orders only until the lease expires.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network, TableStore Store, PromotionOrderSender Orders>
class PromotionDriver
{
public:
  /** Time that replicas have to report their log positions. */
  static constexpr Duration kPositionTimeout = std::chrono::milliseconds(400);
  /** Delay before a replica that was too busy to report its position is asked again. */
  static constexpr Duration kBusyRetryDelay = std::chrono::milliseconds(20);
  /** Pause after an accepted order. The new primary appears in the list of servers within this
      time. */
  static constexpr Duration kAcceptedPause = std::chrono::seconds(3);
  /** Pause after a failed attempt. */
  static constexpr Duration kFailedPause = std::chrono::milliseconds(500);

  /** All arguments have to outlive the driver. */
  PromotionDriver(VmId aSelf,
                  ServerPool<Network>& aPool,
                  Store& aStore,
                  Orders& aOrders,
                  ClusterState& aCluster,
                  FleetView& aFleet,
                  ServerHealth& aHealth,
                  Scheduler& aScheduler,
                  EventLog& aLog)
    : self(std::move(aSelf))
    , pool(aPool)
    , store(aStore)
    , orders(aOrders)
    , cluster(aCluster)
    , fleet(aFleet)
    , health(aHealth)
    , scheduler(aScheduler)
    , log(aLog)
  {
  }
  PromotionDriver(const PromotionDriver&) = delete;
  PromotionDriver& operator=(const PromotionDriver&) = delete;
  ~PromotionDriver() = default;

  /** Claims the promotion lease if it is this VM's turn; if this VM holds the lease, starts the
      promotions that are due.
      @param aLeaseUntil  end of the promotion lease, if this VM holds the lease. */
  void Step(Instant aNow, Instant aLeaseUntil)
  {
    this->leaseUntil = aLeaseUntil;
    this->LogHolderChange(aNow);
    if (!this->IsHolder(aNow)) {
      // Claims the lease before any promotion is needed, so that no promotion has to wait for the
      // lease.
      if (aNow < aLeaseUntil && this->MayClaimNow()) {
        this->ClaimPromotionLease();
      }
      return;
    }
    for (const auto& [group, limit] : this->cluster.Configuration().connectionLimits) {
      GroupState& state = this->groupStates[group];
      if (state.isRunning || aNow < state.nextAttemptAt) {
        continue;
      }
      const auto reason = FindPromotionReason(aNow, group, this->cluster, this->fleet);
      if (!reason) {
        state.rejectedCandidates.clear();
        continue;
      }
      this->CollectPositions(aNow, group, *reason);
    }
  }

  /** Whether any group needs a new primary; the fleet table is then read more often. */
  bool NeedsPromotion(Instant aNow) const
  {
    for (const auto& [group, limit] : this->cluster.Configuration().connectionLimits) {
      if (FindPromotionReason(aNow, group, this->cluster, this->fleet)) {
        return true;
      }
    }
    return false;
  }

private:
  /** State of the promotion in one group. */
  struct GroupState
  {
    bool isRunning = false;
    Instant nextAttemptAt{};
    /** Number of the current round of position requests; answers of earlier rounds are ignored. */
    std::uint64_t round = 0;
    PromotionCandidates candidates;
    std::size_t pendingAnswers = 0;
    /** Servers whose promotion the platform has rejected since the group began to need a new
        primary. */
    std::set<ServerId> rejectedCandidates;
  };

  void LogHolderChange(Instant aNow)
  {
    const auto& lease = this->fleet.PromotionLease();
    if (!lease || lease->holder == this->lastLoggedHolder) {
      return;
    }
    this->lastLoggedHolder = lease->holder;
    this->log.WriteAlways(
      aNow,
      "promotion",
      "duty-held",
      { { "holder", lease->holder.Text() }, { "fence", std::to_string(lease->fencingToken) } });
  }

  bool IsHolder(Instant aNow) const
  {
    return aNow < this->leaseUntil && this->fleet.PromotionLease() &&
           this->fleet.PromotionLease()->holder == this->self;
  }

  bool MayClaimNow() const
  {
    return !this->isClaiming && this->fleet.MayClaimPromotionLease(this->self);
  }

  /** Receives the new fencing token; nothing if it could not be written. */
  using FencingTokenHandler = std::function<void(Instant, std::optional<std::uint64_t>)>;

  /** Writes the lease row with the next fencing token and this VM as the holder, on condition of
      the row's version. Groups that request a token while a write is in progress share its token,
      since concurrent writes would conflict. Sharing is safe because the platform compares tokens
      per group, and each group uses a token for a single order. */
  void AdvanceFencingToken(FencingTokenHandler aHandler)
  {
    this->fencingTokenHandlers.push_back(std::move(aHandler));
    if (this->fencingTokenHandlers.size() > 1) {
      return;
    }
    const std::uint64_t fencingToken =
      (this->fleet.PromotionLease() ? this->fleet.PromotionLease()->fencingToken : 0) + 1;
    const PromotionLeaseRow row{ this->self, fencingToken };
    this->store.Write(
      RowChange{ std::string(FleetView::kTable),
                 std::string(FleetView::kPromotionLeaseKey),
                 EncodePromotionLeaseRow(row),
                 this->fleet.PromotionLeaseRowVersion() },
      [this, row](Instant aNow, auto aVersion) {
        if (aVersion) {
          this->fleet.SetPromotionLease(row, *aVersion);
        }
        this->log.WriteAlways(
          aNow,
          "promotion",
          "fence-raised",
          { { "fence", std::to_string(row.fencingToken) },
            { "outcome",
              aVersion ? std::string("written")
                       : std::string(NameOf(kStoreFailureNames, aVersion.error())) } });
        const auto handlers = std::exchange(this->fencingTokenHandlers, {});
        for (const FencingTokenHandler& handler : handlers) {
          handler(aNow, aVersion ? std::optional(row.fencingToken) : std::nullopt);
        }
      });
  }

  void ClaimPromotionLease()
  {
    this->isClaiming = true;
    // If the answer is lost, the next read of the fleet table shows the outcome.
    this->AdvanceFencingToken([this](Instant, auto) { this->isClaiming = false; });
  }

  void CollectPositions(Instant aNow, const DatabaseName& aGroup, PromotionReason aReason)
  {
    GroupState& state = this->groupStates[aGroup];
    const std::optional<ServerId> primary = this->cluster.PrimaryOf(aGroup);
    state.candidates = this->FindReplicas(aGroup, aReason);
    const std::set<ServerId> replicas = this->ReplicasToAsk(aGroup, state);
    this->log.WriteAlways(aNow,
                          "promotion",
                          "needed",
                          { { "group", aGroup.Text() },
                            { "why", std::string(NameOf(kPromotionReasonNames, aReason)) },
                            { "primary", primary ? primary->Text() : "none" },
                            { "replicas", std::to_string(replicas.size()) },
                            { "sync", std::to_string(state.candidates.syncReplicas) } });
    if (replicas.empty()) {
      state.rejectedCandidates.clear();
      state.nextAttemptAt = aNow + kFailedPause;
      return;
    }
    state.isRunning = true;
    state.pendingAnswers = replicas.size();
    const std::uint64_t round = ++state.round;
    for (const ServerId& replica : replicas) {
      this->RequestPosition(aNow, { aGroup, replica, round, aNow + kPositionTimeout });
    }
    this->scheduler.Schedule(aNow + kPositionTimeout, [this, aGroup, round](Instant aThen) {
      this->OnPositionsCollected(aThen, aGroup, round);
    });
  }

  PromotionCandidates FindReplicas(const DatabaseName& aGroup, PromotionReason aReason) const
  {
    const std::optional<ServerId> primary = this->cluster.PrimaryOf(aGroup);
    const std::vector<ServerId> servers = this->cluster.ServersOf(aGroup);
    const std::vector<ServerId> readyServers = this->cluster.ReadyServers(aGroup);
    const auto& syncReplicas = this->cluster.Configuration().syncReplicas;
    const auto syncReplicasOfGroup = syncReplicas.find(aGroup);
    PromotionCandidates candidates;
    candidates.readyReplicas.insert(readyServers.begin(), readyServers.end());
    candidates.replicaCount = servers.size();
    if (primary) {
      candidates.readyReplicas.erase(*primary);
      --candidates.replicaCount;
    }
    candidates.syncReplicas =
      syncReplicasOfGroup == syncReplicas.end() ? 0 : syncReplicasOfGroup->second;
    candidates.isPrimaryServing = aReason == PromotionReason::Leaving;
    return candidates;
  }

  /** Returns the replicas whose positions are needed. A replica that is leaving can hold
     acknowledged commits that the others lack. One that the platform refused to promote may have
     come back. */
  std::set<ServerId> ReplicasToAsk(const DatabaseName& aGroup, const GroupState& aState) const
  {
    if (aState.candidates.syncReplicas == 0) {
      std::set<ServerId> replicas = aState.candidates.readyReplicas;
      for (const ServerId& rejected : aState.rejectedCandidates) {
        replicas.erase(rejected);
      }
      return replicas;
    }
    const std::vector<ServerId> servers = this->cluster.ServersOf(aGroup);
    std::set<ServerId> replicas(servers.begin(), servers.end());
    if (const auto primary = this->cluster.PrimaryOf(aGroup)) {
      replicas.erase(*primary);
    }
    return replicas;
  }

  /** A request for the position of one replica. */
  struct PositionRequest
  {
    DatabaseName group;
    ServerId replica;
    std::uint64_t round = 0;
    Instant deadline{};
  };

  void RequestPosition(Instant aNow, const PositionRequest& aRequest)
  {
    ConnectionRequest<Network> request;
    request.organisation = this->OrganisationFor(aRequest.replica);
    request.candidates = { { aRequest.replica, 0 } };
    request.deadline = aRequest.deadline;
    request.handler = [this, aRequest](Instant aThen, PooledConnection<Network>* aConnection) {
      if (aConnection == nullptr) {
        return;
      }
      ServerCommand status;
      status.kind = ServerCommandKind::Status;
      const auto timer =
        this->scheduler.Schedule(aThen + kPositionTimeout, [this, aConnection](Instant aLater) {
          this->pool.Discard(aLater, aConnection);
        });
      CommandSequence<Network>::Run(
        aThen,
        *aConnection,
        this->health,
        { std::move(status) },
        [this, aRequest, aConnection, timer](Instant aLater, const CommandSequenceResult& aResult) {
          this->scheduler.Cancel(timer);
          if (aResult.reply.status == ReplyStatus::Lost) {
            this->pool.Discard(aLater, aConnection);
          } else {
            this->pool.Release(aLater, aConnection);
            this->OnStatus(aLater, aRequest, aResult.reply);
          }
        });
    };
    this->pool.Acquire(aNow, std::move(request));
  }

  /** Returns the organisation for which a connection is requested. Each connection belongs to an
      organisation; the status can be queried on a connection of any organisation. */
  OrganisationName OrganisationFor(const ServerId& aServer) const
  {
    const auto idleOrganisation = this->pool.IdleOrganisation(aServer);
    if (idleOrganisation) {
      return *idleOrganisation;
    }
    const auto& limits = this->cluster.Configuration().limits;
    return limits.empty() ? OrganisationName() : limits.begin()->first;
  }

  void OnStatus(Instant aNow, const PositionRequest& aRequest, const ServerReply& aReply)
  {
    GroupState& state = this->groupStates[aRequest.group];
    if (state.round != aRequest.round) {
      return;
    }
    std::optional<LogPosition> position = aReply.receivedPosition;
    if (!position && state.candidates.syncReplicas == 0) {
      // What the replica has applied is a lower bound. It decides at once, since commits of this
      // group are acknowledged without the replicas anyway.
      position = aReply.position;
    }
    if (position) {
      state.candidates.receivedPositions[aRequest.replica] = *position;
      if (--state.pendingAnswers == 0) {
        this->OnPositionsCollected(aNow, aRequest.group, aRequest.round);
      }
      return;
    }
    this->log.Write(
      aNow,
      "promotion",
      "position-unknown",
      { { "group", aRequest.group.Text() },
        { "replica", aRequest.replica.Text() },
        { "error",
          aReply.status == ReplyStatus::Refused ? std::string(NameOf(kErrorCodeNames, aReply.error))
                                                : std::string("unreadable") } });
    if (aReply.status == ReplyStatus::Refused && aReply.error == ErrorCode::Busy &&
        aNow + kBusyRetryDelay < aRequest.deadline) {
      this->scheduler.Schedule(aNow + kBusyRetryDelay, [this, aRequest](Instant aThen) {
        if (this->groupStates[aRequest.group].round == aRequest.round) {
          this->RequestPosition(aThen, aRequest);
        }
      });
    }
  }

  void OnPositionsCollected(Instant aNow, const DatabaseName& aGroup, std::uint64_t aRound)
  {
    GroupState& state = this->groupStates[aGroup];
    if (state.round != aRound || !state.isRunning) {
      return;
    }
    ++state.round;
    const auto candidate = ChooseCandidate(state.candidates);
    const auto reason = FindPromotionReason(aNow, aGroup, this->cluster, this->fleet);
    if (!candidate || !reason || !this->IsHolder(aNow)) {
      this->log.WriteAlways(
        aNow,
        "promotion",
        "given-up",
        { { "group", aGroup.Text() },
          { "why",
            !candidate ? std::string(NameOf(kNoCandidateReasonNames, candidate.error()))
                       : (!reason ? "no longer needed" : "promotion lease lost") },
          { "positions", PositionsText(state.candidates) } });
      this->EndAttempt(aNow, aGroup, kFailedPause);
      return;
    }
    this->AdvanceFencingToken(
      [this, aGroup, candidate = *candidate](Instant aThen, auto aFencingToken) {
        if (!aFencingToken || !this->IsHolder(aThen)) {
          this->EndAttempt(aThen, aGroup, kFailedPause);
          return;
        }
        this->SendOrder(aThen, aGroup, candidate, *aFencingToken);
      });
  }

  /** Positions that replicas have reported, for the log. */
  static std::string PositionsText(const PromotionCandidates& aCandidates)
  {
    std::string text;
    for (const auto& [id, position] : aCandidates.receivedPositions) {
      text += (text.empty() ? "" : " ") + id.Text() + ":" + std::to_string(position.term) + "." +
              std::to_string(position.offset);
    }
    return text;
  }

  void SendOrder(Instant aNow,
                 const DatabaseName& aGroup,
                 const ServerId& aCandidate,
                 std::uint64_t aFencingToken)
  {
    const PromotionOrder order{ aGroup, aCandidate, this->self, aFencingToken };
    this->log.WriteAlways(aNow,
                          "promotion",
                          "ordered",
                          { { "group", aGroup.Text() },
                            { "candidate", aCandidate.Text() },
                            { "fence", std::to_string(order.fencingToken) },
                            { "positions", PositionsText(this->groupStates[aGroup].candidates) } });
    this->orders.Send(order, [this, order](Instant aThen, PromotionOrderResult aResult) {
      this->log.WriteAlways(
        aThen,
        "promotion",
        "answered",
        { { "group", order.group.Text() },
          { "candidate", order.candidate.Text() },
          { "fence", std::to_string(order.fencingToken) },
          { "result", std::string(NameOf(kPromotionOrderResultNames, aResult)) } });
      if (aResult == PromotionOrderResult::Rejected) {
        this->groupStates[order.group].rejectedCandidates.insert(order.candidate);
      }
      this->EndAttempt(aThen,
                       order.group,
                       aResult == PromotionOrderResult::Accepted ? kAcceptedPause : kFailedPause);
    });
  }

  void EndAttempt(Instant aNow, const DatabaseName& aGroup, Duration aPause)
  {
    GroupState& state = this->groupStates[aGroup];
    state.isRunning = false;
    state.nextAttemptAt = aNow + aPause;
  }

  VmId self;
  ServerPool<Network>& pool;
  Store& store;
  Orders& orders;
  ClusterState& cluster;
  FleetView& fleet;
  ServerHealth& health;
  Scheduler& scheduler;
  EventLog& log;
  Instant leaseUntil{};
  std::map<DatabaseName, GroupState> groupStates;
  /** The holder that was most recently logged. */
  std::optional<VmId> lastLoggedHolder;
  bool isClaiming = false;
  /** Handlers that wait for the fencing token that is being written. */
  std::vector<FencingTokenHandler> fencingTokenHandlers;
};

} // namespace mustardshift::proxy
