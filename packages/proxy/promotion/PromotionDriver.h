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
#include "proxy/promotion/PromotionNeed.h"
#include "proxy/promotion/PromotionOrders.h"
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

/** Replaces primaries: takes over the duty, finds the replica with the most complete log, and
   orders its promotion.

    The duty row names one holder and a fence. Before each order the fence is raised under the row's
    version, so that an order whose answer was lost can't take effect after a later one. The holder
    keeps the duty while its own row in the fleet's table is fresh, and orders only while its lease
    runs.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network, TableStore Store, PromotionOrders Orders>
class PromotionDriver
{
public:
  /** Time for the replicas to tell their positions. */
  static constexpr Duration kInspectionTime = std::chrono::milliseconds(400);
  /** An order that was accepted shows in the list of servers within this time. */
  static constexpr Duration kAcceptedPause = std::chrono::seconds(3);
  /** Pause after an order that failed. */
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

  /** Looks at all groups and does what is due.
      @param aLeaseUntil  end of this VM's lease as the duty's holder. */
  void Step(Instant aNow, Instant aLeaseUntil)
  {
    this->leaseUntil = aLeaseUntil;
    this->LogHolder(aNow);
    if (!this->IsHolder(aNow)) {
      // Claimed ahead of any need, so that a promotion waits for no election.
      if (aNow < aLeaseUntil && this->MayTakeOver()) {
        this->ClaimDuty();
      }
      return;
    }
    for (const auto& [group, limit] : this->cluster.Configuration().connectionLimits) {
      Matter& matter = this->matters[group];
      if (matter.isRunning || aNow < matter.notBefore) {
        continue;
      }
      const auto need = EvaluatePromotion(aNow, group, this->cluster, this->fleet);
      if (!need) {
        matter.rejected.clear();
        continue;
      }
      this->Inspect(aNow, group, *need);
    }
  }

  /** Whether some group needs another primary; the fleet's table is then read more often. */
  bool HasWork(Instant aNow) const
  {
    for (const auto& [group, limit] : this->cluster.Configuration().connectionLimits) {
      if (EvaluatePromotion(aNow, group, this->cluster, this->fleet)) {
        return true;
      }
    }
    return false;
  }

private:
  /** What is under way for one group. */
  struct Matter
  {
    bool isRunning = false;
    Instant notBefore{};
    std::uint64_t round = 0;
    std::map<ServerId, LogPosition> positions;
    std::size_t unanswered = 0;
    /** Servers that the platform refused to promote since the need arose. */
    std::set<ServerId> rejected;
  };

  void LogHolder(Instant aNow)
  {
    const auto& duty = this->fleet.Duty();
    if (!duty || duty->holder == this->knownHolder) {
      return;
    }
    this->knownHolder = duty->holder;
    this->log.WriteAlways(
      aNow,
      "promotion",
      "duty-held",
      { { "holder", duty->holder.Text() }, { "fence", std::to_string(duty->fence) } });
  }

  bool IsHolder(Instant aNow) const
  {
    return aNow < this->leaseUntil && this->fleet.Duty() &&
           this->fleet.Duty()->holder == this->self;
  }

  bool MayTakeOver() const { return !this->isClaiming && this->fleet.MayTakeDuty(this->self); }

  /** Gets the raised fence; nothing when it could not be written. */
  using FenceHandler = std::function<void(Instant, std::optional<std::uint64_t>)>;

  /** Writes the duty row with the next fence, this VM as the holder, under the row's version.
     Groups that ask while a write is under way share its fence, since two writes would conflict:
     fences are compared by group, and each group uses one for a single order. */
  void RaiseFence(FenceHandler aHandler)
  {
    this->fenceHandlers.push_back(std::move(aHandler));
    if (this->fenceHandlers.size() > 1) {
      return;
    }
    const std::uint64_t fence = (this->fleet.Duty() ? this->fleet.Duty()->fence : 0) + 1;
    const DutyRow row{ this->self, fence };
    this->store.Write(
      RowChange{ std::string(FleetView::kTable),
                 std::string(FleetView::kDutyKey),
                 EncodeDutyRow(row),
                 this->fleet.DutyRowVersion() },
      [this, row](Instant aNow, auto aVersion) {
        if (aVersion) {
          this->fleet.SetDuty(row, *aVersion);
        }
        this->log.WriteAlways(
          aNow,
          "promotion",
          "fence-raised",
          { { "fence", std::to_string(row.fence) },
            { "outcome",
              aVersion ? std::string("written")
                       : std::string(NameOf(kStoreFailureNames, aVersion.error())) } });
        const auto handlers = std::exchange(this->fenceHandlers, {});
        for (const FenceHandler& handler : handlers) {
          handler(aNow, aVersion ? std::optional(row.fence) : std::nullopt);
        }
      });
  }

  void ClaimDuty()
  {
    this->isClaiming = true;
    // A lost answer is settled by the next read of the fleet's table.
    this->RaiseFence([this](Instant, auto) { this->isClaiming = false; });
  }

  void Inspect(Instant aNow, const DatabaseName& aGroup, PromotionNeed aNeed)
  {
    Matter& matter = this->matters[aGroup];
    const std::optional<ServerId> primary = this->cluster.PrimaryOf(aGroup);
    std::vector<ServerId> replicas;
    for (const ServerId& id : this->cluster.ReadyServers(aGroup)) {
      if (id != primary && !matter.rejected.contains(id)) {
        replicas.push_back(id);
      }
    }
    this->log.WriteAlways(aNow,
                          "promotion",
                          "needed",
                          { { "group", aGroup.Text() },
                            { "why", std::string(NameOf(kPromotionNeedNames, aNeed)) },
                            { "primary", primary ? primary->Text() : "none" },
                            { "replicas", std::to_string(replicas.size()) } });
    if (replicas.empty()) {
      matter.rejected.clear();
      matter.notBefore = aNow + kFailedPause;
      return;
    }
    matter.isRunning = true;
    matter.positions.clear();
    matter.unanswered = replicas.size();
    const std::uint64_t round = ++matter.round;
    for (const ServerId& replica : replicas) {
      this->AskPosition(aNow, aGroup, replica, round);
    }
    this->scheduler.Schedule(aNow + kInspectionTime, [this, aGroup, round](Instant aThen) {
      this->OnInspected(aThen, aGroup, round);
    });
  }

  void AskPosition(Instant aNow,
                   const DatabaseName& aGroup,
                   const ServerId& aReplica,
                   std::uint64_t aRound)
  {
    ConnectionRequest<Network> request;
    request.organisation = this->OrganisationFor(aReplica);
    request.candidates = { { aReplica, 0 } };
    request.deadline = aNow + kInspectionTime;
    request.handler = [this, aGroup, aReplica, aRound](Instant aThen,
                                                       PooledConnection<Network>* aConnection) {
      if (aConnection == nullptr) {
        return;
      }
      ServerCommand status;
      status.kind = ServerCommandKind::Status;
      const auto timer =
        this->scheduler.Schedule(aThen + kInspectionTime, [this, aConnection](Instant aLater) {
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

  /** A connection belongs to an organisation; any will do to ask for the state. */
  OrganisationName OrganisationFor(const ServerId& aServer) const
  {
    const auto idle = this->pool.IdleOrganisation(aServer);
    if (idle) {
      return *idle;
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
    Matter& matter = this->matters[aGroup];
    if (matter.round != aRound || !aPosition) {
      return;
    }
    matter.positions[aReplica] = *aPosition;
    if (--matter.unanswered == 0) {
      this->OnInspected(aNow, aGroup, aRound);
    }
  }

  void OnInspected(Instant aNow, const DatabaseName& aGroup, std::uint64_t aRound)
  {
    Matter& matter = this->matters[aGroup];
    if (matter.round != aRound || !matter.isRunning) {
      return;
    }
    ++matter.round;
    const std::optional<ServerId> candidate = ChooseCandidate(matter.positions);
    const auto need = EvaluatePromotion(aNow, aGroup, this->cluster, this->fleet);
    if (!candidate || !need || !this->IsHolder(aNow)) {
      this->log.WriteAlways(
        aNow,
        "promotion",
        "given-up",
        { { "group", aGroup.Text() },
          { "why",
            !candidate ? "no replica answered" : (!need ? "no longer needed" : "duty lost") } });
      this->Pause(aNow, aGroup, kFailedPause);
      return;
    }
    this->RaiseFence([this, aGroup, candidate = *candidate](Instant aThen, auto aFence) {
      if (!aFence || !this->IsHolder(aThen)) {
        this->Pause(aThen, aGroup, kFailedPause);
        return;
      }
      this->Order(aThen, aGroup, candidate, *aFence);
    });
  }

  void Order(Instant aNow,
             const DatabaseName& aGroup,
             const ServerId& aCandidate,
             std::uint64_t aFence)
  {
    const PromotionOrder order{ aGroup, aCandidate, this->self, aFence };
    this->log.WriteAlways(aNow,
                          "promotion",
                          "ordered",
                          { { "group", aGroup.Text() },
                            { "candidate", aCandidate.Text() },
                            { "fence", std::to_string(order.fence) } });
    this->orders.Send(order, [this, order](Instant aThen, OrderResult aResult) {
      this->log.WriteAlways(aThen,
                            "promotion",
                            "answered",
                            { { "group", order.group.Text() },
                              { "candidate", order.candidate.Text() },
                              { "fence", std::to_string(order.fence) },
                              { "result", std::string(NameOf(kOrderResultNames, aResult)) } });
      if (aResult == OrderResult::Rejected) {
        this->matters[order.group].rejected.insert(order.candidate);
      }
      this->Pause(
        aThen, order.group, aResult == OrderResult::Accepted ? kAcceptedPause : kFailedPause);
    });
  }

  void Pause(Instant aNow, const DatabaseName& aGroup, Duration aPause)
  {
    Matter& matter = this->matters[aGroup];
    matter.isRunning = false;
    matter.notBefore = aNow + aPause;
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
  std::map<DatabaseName, Matter> matters;
  /** The holder that was logged last. */
  std::optional<VmId> knownHolder;
  bool isClaiming = false;
  /** Those who wait for the fence that is being written. */
  std::vector<FenceHandler> fenceHandlers;
};

} // namespace mustardshift::proxy
