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

/** Replaces primaries: claims the promotion lease, finds the replica with the most complete log,
    and orders the platform to promote it.

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
    std::map<ServerId, LogPosition> positions;
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
    std::vector<ServerId> replicas;
    for (const ServerId& id : this->cluster.ReadyServers(aGroup)) {
      if (id != primary && !state.rejectedCandidates.contains(id)) {
        replicas.push_back(id);
      }
    }
    this->log.WriteAlways(aNow,
                          "promotion",
                          "needed",
                          { { "group", aGroup.Text() },
                            { "why", std::string(NameOf(kPromotionReasonNames, aReason)) },
                            { "primary", primary ? primary->Text() : "none" },
                            { "replicas", std::to_string(replicas.size()) } });
    if (replicas.empty()) {
      state.rejectedCandidates.clear();
      state.nextAttemptAt = aNow + kFailedPause;
      return;
    }
    state.isRunning = true;
    state.positions.clear();
    state.pendingAnswers = replicas.size();
    const std::uint64_t round = ++state.round;
    for (const ServerId& replica : replicas) {
      this->RequestPosition(aNow, aGroup, replica, round);
    }
    this->scheduler.Schedule(aNow + kPositionTimeout, [this, aGroup, round](Instant aThen) {
      this->OnPositionsCollected(aThen, aGroup, round);
    });
  }

  void RequestPosition(Instant aNow,
                       const DatabaseName& aGroup,
                       const ServerId& aReplica,
                       std::uint64_t aRound)
  {
    ConnectionRequest<Network> request;
    request.organisation = this->OrganisationFor(aReplica);
    request.candidates = { { aReplica, 0 } };
    request.deadline = aNow + kPositionTimeout;
    request.handler = [this, aGroup, aReplica, aRound](Instant aThen,
                                                       PooledConnection<Network>* aConnection) {
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
        [this, aGroup, aReplica, aRound, aConnection, timer](Instant aLater,
                                                             const CommandSequenceResult& aResult) {
          this->scheduler.Cancel(timer);
          if (aResult.reply.status == ReplyStatus::Lost) {
            this->pool.Discard(aLater, aConnection);
          } else {
            this->pool.Release(aLater, aConnection);
            this->OnPosition(aLater, aGroup, aReplica, aRound, aResult.reply.position);
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

  void OnPosition(Instant aNow,
                  const DatabaseName& aGroup,
                  const ServerId& aReplica,
                  std::uint64_t aRound,
                  const std::optional<LogPosition>& aPosition)
  {
    GroupState& state = this->groupStates[aGroup];
    if (state.round != aRound || !aPosition) {
      return;
    }
    state.positions[aReplica] = *aPosition;
    if (--state.pendingAnswers == 0) {
      this->OnPositionsCollected(aNow, aGroup, aRound);
    }
  }

  void OnPositionsCollected(Instant aNow, const DatabaseName& aGroup, std::uint64_t aRound)
  {
    GroupState& state = this->groupStates[aGroup];
    if (state.round != aRound || !state.isRunning) {
      return;
    }
    ++state.round;
    const std::optional<ServerId> candidate = ChooseCandidate(state.positions);
    const auto reason = FindPromotionReason(aNow, aGroup, this->cluster, this->fleet);
    if (!candidate || !reason || !this->IsHolder(aNow)) {
      this->log.WriteAlways(
        aNow,
        "promotion",
        "given-up",
        { { "group", aGroup.Text() },
          { "why",
            !candidate ? "no replica answered"
                       : (!reason ? "no longer needed" : "promotion lease lost") } });
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
                            { "fence", std::to_string(order.fencingToken) } });
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
