#pragma once

#include "core/base/Instant.h"
#include "core/base/NameTable.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/coordination/ChooseDelegates.h"
#include "proxy/coordination/FleetView.h"
#include "proxy/coordination/TableStore.h"
#include "proxy/log/EventLog.h"
#include "proxy/rate/OrganisationBuckets.h"
#include "proxy/rate/PlanRateAllocation.h"
#include "proxy/schedule/Scheduler.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** Keeps this VM's row in the fleet's table, reads the others', and divides the organisations'
    rates: the first fresh VM works out the next allocation and writes it under the row's version.

    Thread safety: none; one thread owns the object. */
template<TableStore Store>
class FleetCoordinator
{
public:
  /** Period of reads and of renewals of this VM's row. */
  static constexpr Duration kPeriod = std::chrono::milliseconds(1500);
  /** The same in a fleet with delegates, where each period's calls add up; two renewals in a lease.
   */
  static constexpr Duration kLargeFleetPeriod = std::chrono::milliseconds(2400);
  /** Period of renewals by the holder of the promotion duty, so that it is missed soon. */
  static constexpr Duration kHolderRenewalPeriod = std::chrono::milliseconds(500);
  /** Pause after a read that failed. */
  static constexpr Duration kRetryPause = std::chrono::milliseconds(500);
  /** Period of reads while a primary has to be replaced. */
  static constexpr Duration kFastReadPeriod = std::chrono::milliseconds(300);
  /** Least time between two divisions of the rates. A move costs tokens at the VM that gives parts
     up, and VMs lend each other tokens in the meantime. */
  static constexpr Duration kMinPlanInterval = std::chrono::milliseconds(3000);
  /** Calls without an answer are followed by further ones, up to this number. */
  static constexpr unsigned kMaxConcurrentCalls = 3;

  /** @param aPeerAddress  where other VMs send datagrams; empty for nowhere.
      @param aOnRead       called after each read of the table.
      All references have to outlive the coordinator. */
  FleetCoordinator(VmId aSelf,
                   FailureDomainName aDomain,
                   std::string aPeerAddress,
                   Store& aStore,
                   ClusterState& aCluster,
                   FleetView& aFleet,
                   OrganisationBuckets& aBuckets,
                   Scheduler& aScheduler,
                   EventLog& aLog,
                   std::function<void(Instant)> aOnRead)
    : self(std::move(aSelf))
    , domain(std::move(aDomain))
    , peerAddress(std::move(aPeerAddress))
    , store(aStore)
    , cluster(aCluster)
    , fleet(aFleet)
    , buckets(aBuckets)
    , scheduler(aScheduler)
    , log(aLog)
    , onRead(std::move(aOnRead))
  {
  }
  FleetCoordinator(const FleetCoordinator&) = delete;
  FleetCoordinator& operator=(const FleetCoordinator&) = delete;
  ~FleetCoordinator() = default;

  /** Starts reading; the row is written once the table was read. Precondition: called once. */
  void Start(Instant aNow) { this->ReadPeriodically(aNow); }

  /** Tells which primaries this VM can't reach; a change is written at once. */
  void SetUnreachable(Instant aNow, std::set<ServerId> aUnreachable)
  {
    if (aUnreachable == this->unreachable) {
      return;
    }
    for (const ServerId& server : aUnreachable) {
      this->log.WriteAlways(
        aNow, "failover", "primary-unreachable", { { "server", server.Text() } });
    }
    this->unreachable = std::move(aUnreachable);
    if (this->hasRead) {
      this->Renew(aNow);
      this->Read(aNow);
      this->AdvanceNextRead(aNow);
    }
  }

  /** Sets whether a primary has to be replaced; the table is then read more often. */
  void SetPromotionPending(Instant aNow, bool aIsPending)
  {
    this->isPromotionPending = aIsPending;
    this->AdvanceNextRead(aNow);
  }

  /** Puts limits and shares in force after a change of the configuration. */
  void ApplyShares(Instant aNow)
  {
    this->buckets.Configure(aNow, this->cluster.Configuration().limits, this->fleet.Allocation());
    this->activeAllocation = this->fleet.Allocation();
    this->AdvanceNextRead(aNow);
  }

  /** Until when this VM may order promotions, if it holds the duty. */
  Instant PromotionLeaseEnd() const
  {
    return this->leaseUntil - FleetView::kMemberLease + FleetView::kPromotionLease;
  }

  /** Whether this VM knows the table and holds its lease. */
  bool IsReady(Instant aNow) const { return this->hasRead && aNow < this->leaseUntil; }

private:
  void Read(Instant aNow)
  {
    if (this->reads >= kMaxConcurrentCalls) {
      return;
    }
    ++this->reads;
    this->store.Read(std::string(FleetView::kTable),
                     [this, aNow, known = this->latestVersion](Instant aThen, auto aRows) {
                       --this->reads;
                       this->OnRows(aThen, aNow, known, aRows);
                     });
  }

  Duration Period() const
  {
    return this->fleet.Members().size() > kMaxVmsWithoutDelegates ? kLargeFleetPeriod : kPeriod;
  }

  Duration ReadPeriod() const
  {
    const bool readsForPromotion = (this->isPromotionPending || !this->unreachable.empty()) &&
                                   this->fleet.IsHolderOrEarlySuccessor(this->self);
    return readsForPromotion || this->HasUnallocatedRate() ? kFastReadPeriod : this->Period();
  }

  /** Whether the configuration has an organisation whose rate nobody holds parts of yet. */
  bool HasUnallocatedRate() const
  {
    const auto& limits = this->cluster.Configuration().limits;
    return std::any_of(limits.begin(), limits.end(), [this](const auto& aEntry) {
      return !this->fleet.Allocation().shares.contains(aEntry.first);
    });
  }

  void ReadPeriodically(Instant aNow)
  {
    this->Read(aNow);
    this->ScheduleRead(aNow + this->ReadPeriod());
  }

  void ScheduleRead(Instant aWhen)
  {
    this->nextReadAt = aWhen;
    this->nextRead =
      this->scheduler.Schedule(aWhen, [this](Instant aThen) { this->ReadPeriodically(aThen); });
  }

  /** Brings the next read forward if it is due later. */
  void ReadWithin(Instant aNow, Duration aTime)
  {
    if (this->nextReadAt > aNow + aTime) {
      this->scheduler.Cancel(this->nextRead);
      this->ScheduleRead(aNow + aTime);
    }
  }

  /** The same after a change that may have made the period shorter. */
  void AdvanceNextRead(Instant aNow)
  {
    if (this->hasRead) {
      this->ReadWithin(aNow, this->ReadPeriod());
    }
  }

  /** @param aKnown  latest version that was known when the read was sent. */
  void OnRows(Instant aNow,
              Instant aSentAt,
              std::uint64_t aKnown,
              const tl::expected<StoredRows, StoreFailure>& aRows)
  {
    if (!aRows) {
      this->log.Write(aNow,
                      "fleet",
                      "read-failed",
                      { { "failure", std::string(NameOf(kStoreFailureNames, aRows.error())) } });
      this->ReadWithin(aNow, kRetryPause);
      return;
    }
    if (aSentAt < this->latestRead) {
      return;
    }
    if (aRows->version < aKnown) {
      // An older division would bring parts back that others hold by now.
      this->log.Write(
        aNow,
        "fleet",
        "read-behind",
        { { "version", std::to_string(aRows->version) }, { "known", std::to_string(aKnown) } });
      return;
    }
    this->latestRead = aSentAt;
    this->latestVersion = std::max(this->latestVersion, aRows->version);
    for (const std::string& key : this->fleet.ApplyRead(aNow, aSentAt, *aRows)) {
      this->log.Write(aNow, "fleet", "malformed-row", { { "key", key } });
    }
    const bool isFirst = !std::exchange(this->hasRead, true);
    if (isFirst || this->fleet.Allocation().version != this->activeAllocation.version) {
      const bool hasLost = this->HasLostShare();
      this->ApplyShares(aNow);
      this->log.WriteAlways(aNow,
                            "rate",
                            "allocation-in-force",
                            { { "version", std::to_string(this->activeAllocation.version) } });
      // What this VM gives up goes to others once it has confirmed.
      if (isFirst || hasLost) {
        this->Renew(aNow);
      }
    }
    // After a gap in the lease the shares may have gone to others; they are known from here on.
    if (this->renewalAfterExpiry && this->renewalAnsweredAt <= aSentAt) {
      this->ExtendLease(*std::exchange(this->renewalAfterExpiry, std::nullopt));
    }
    if (isFirst) {
      this->RenewPeriodically(aNow);
    }
    this->PlanRates(aNow);
    this->RemoveExpiredRow(aNow);
    this->onRead(aNow);
  }

  /** Whether the allocation just read takes parts from this VM. */
  bool HasLostShare() const
  {
    const auto& shares = this->activeAllocation.shares;
    return std::any_of(shares.begin(), shares.end(), [&](const auto& aEntry) {
      return this->fleet.Allocation().PartsOf(aEntry.first, this->self) <
             this->activeAllocation.PartsOf(aEntry.first, this->self);
    });
  }

  /** Demand that the division of rates uses. Where few VMs hold parts, the others' demand reaches
      them as requests for tokens, and would only lengthen the rows. */
  std::map<OrganisationName, double> ReportedDemand(Instant aNow) const
  {
    std::map<OrganisationName, double> demand = this->buckets.Demand(aNow);
    if (this->fleet.Members().size() > kMaxVmsWithoutDelegates) {
      std::erase_if(demand, [this](const auto& aEntry) {
        return this->activeAllocation.PartsOf(aEntry.first, this->self) == 0;
      });
    }
    return demand;
  }

  void RenewPeriodically(Instant aNow)
  {
    this->scheduler.Schedule(aNow + kHolderRenewalPeriod, [this](Instant aThen) {
      const auto& lease = this->fleet.PromotionLease();
      const bool isHolder = lease && lease->holder == this->self;
      if (isHolder || aThen - this->renewedAt >= this->Period()) {
        this->Renew(aThen);
      }
      this->RenewPeriodically(aThen);
    });
  }

  void Renew(Instant aNow)
  {
    if (this->writes >= kMaxConcurrentCalls) {
      return;
    }
    ++this->writes;
    this->renewedAt = aNow;
    const auto sentFrom = this->fleet.EarliestStoreTime(aNow);
    const MemberRow row{ ++this->sequence,
                         this->fleet.LatestStoreTime(aNow).value_or(std::chrono::milliseconds(0)),
                         this->domain,
                         this->peerAddress,
                         this->activeAllocation.version,
                         this->ReportedDemand(aNow),
                         this->unreachable };
    this->store.Write(RowChange{ std::string(FleetView::kTable),
                                 FleetView::MemberKey(this->self),
                                 EncodeMemberRow(row),
                                 std::nullopt },
                      [this, aNow, sentFrom](Instant aThen, auto aVersion) {
                        --this->writes;
                        if (aVersion && sentFrom) {
                          this->fleet.RecordRenewal(*aVersion, *sentFrom);
                        }
                        this->OnRenewed(aThen, aNow, aVersion);
                      });
  }

  void OnRenewed(Instant aNow,
                 Instant aSentAt,
                 const tl::expected<std::uint64_t, StoreFailure>& aVersion)
  {
    if (!aVersion) {
      this->log.Write(aNow,
                      "fleet",
                      "renewal-failed",
                      { { "failure", std::string(NameOf(kStoreFailureNames, aVersion.error())) } });
      // Tried again at the next occasion.
      this->renewedAt = Instant{};
      return;
    }
    this->latestVersion = std::max(this->latestVersion, *aVersion);
    if (aNow < this->leaseUntil) {
      this->ExtendLease(aSentAt);
      return;
    }
    this->renewalAfterExpiry = aSentAt;
    this->renewalAnsweredAt = aNow;
    this->Read(aNow);
  }

  void ExtendLease(Instant aSentAt)
  {
    this->leaseUntil = std::max(this->leaseUntil, aSentAt + FleetView::kMemberLease);
    this->buckets.SetLease(this->leaseUntil);
  }

  /** Removes the row of a VM that is gone, one a read; rows of replaced VMs would add up. */
  void RemoveExpiredRow(Instant aNow)
  {
    const std::optional<VmId> stopped = this->fleet.FindRemovableMember();
    const std::vector<VmId> live = this->fleet.LiveVms();
    if (!stopped || live.empty() || live.front() != this->self) {
      return;
    }
    this->log.WriteAlways(aNow, "fleet", "row-removed", { { "vm", stopped->Text() } });
    this->store.Write(RowChange{ std::string(FleetView::kTable),
                                 FleetView::MemberKey(*stopped),
                                 std::nullopt,
                                 this->fleet.Members().at(*stopped).version },
                      // Whatever became of it shows in the next read.
                      [](Instant, auto) {});
  }

  void PlanRates(Instant aNow)
  {
    const std::vector<VmId> live = this->fleet.LiveVms();
    // A VM that has joined waits for no period, nor does an organisation.
    const bool isTooSoon =
      aNow < this->nextPlanAt && live == this->lastPlannedMembers && !this->HasUnallocatedRate();
    if (this->isPlanning || isTooSoon || !this->cluster.HasConfiguration() || live.empty() ||
        live.front() != this->self) {
      return;
    }
    const std::optional<RateAllocation> next = PlanRateAllocation(
      this->fleet.Allocation(), this->fleet.RateMembers(), this->cluster.Configuration().limits);
    if (!next) {
      return;
    }
    this->isPlanning = true;
    this->lastPlannedMembers = live;
    this->nextPlanAt = aNow + kMinPlanInterval;
    this->log.WriteAlways(
      aNow, "rate", "allocation-written", { { "version", std::to_string(next->version) } });
    this->store.Write(RowChange{ std::string(FleetView::kTable),
                                 std::string(FleetView::kAllocationKey),
                                 EncodeRateAllocation(*next),
                                 this->fleet.AllocationRowVersion() },
                      // Whatever became of it shows in the next read.
                      [this](Instant, auto) { this->isPlanning = false; });
  }

  VmId self;
  FailureDomainName domain;
  std::string peerAddress;
  Store& store;
  ClusterState& cluster;
  FleetView& fleet;
  OrganisationBuckets& buckets;
  Scheduler& scheduler;
  EventLog& log;
  std::function<void(Instant)> onRead;
  bool hasRead = false;
  bool isPromotionPending = false;
  bool isPlanning = false;
  Instant nextPlanAt{};
  /** Fresh VMs at the latest division by this VM. */
  std::vector<VmId> lastPlannedMembers;
  Instant nextReadAt{};
  Scheduler::TaskId nextRead{};
  unsigned reads = 0;
  unsigned writes = 0;
  Instant latestRead{};
  /** Latest version that the store has shown: of a read, or of this VM's row. */
  std::uint64_t latestVersion = 0;
  std::uint64_t sequence = 0;
  /** Instant of the latest renewal, answered or not. */
  Instant renewedAt{};
  /** The allocation that the buckets follow. */
  RateAllocation activeAllocation;
  std::set<ServerId> unreachable;
  /** End of this VM's lease on its rate shares. */
  Instant leaseUntil{};
  /** Instant before a renewal was sent that was answered after the lease had ended. */
  std::optional<Instant> renewalAfterExpiry;
  Instant renewalAnsweredAt{};
};

} // namespace mustardshift::proxy
