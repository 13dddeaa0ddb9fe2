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

/** Writes this VM's row to the fleet table, reads the rows of the other VMs, and allocates the
    organisations' rates to VMs. The first live VM by name computes each new allocation and writes
    it on condition of the row's version.

    Thread safety: none; one thread owns the object. */
template<TableStore Store>
class FleetCoordinator
{
public:
  /** Interval between reads of the table, and between renewals of this VM's row, in a fleet of at
      most kMaxVmsWithoutDelegates VMs. */
  static constexpr Duration kSmallFleetPeriod = std::chrono::milliseconds(1500);
  /** Interval between reads of the table, and between renewals of this VM's row, in a fleet of more
      than kMaxVmsWithoutDelegates VMs. Longer than kSmallFleetPeriod, because all VMs share the
      rate limit of the store; short enough for two renewals within a lease. */
  static constexpr Duration kLargeFleetPeriod = std::chrono::milliseconds(2400);
  /** Interval between renewals by the holder of the promotion lease; short, so that other VMs soon
      notice when the holder stops. */
  static constexpr Duration kHolderRenewalPeriod = std::chrono::milliseconds(500);
  /** Delay before a failed read is retried. */
  static constexpr Duration kRetryPause = std::chrono::milliseconds(500);
  /** Interval between reads while a primary has to be replaced or an organisation's rate has no
      allocation yet. */
  static constexpr Duration kFastReadPeriod = std::chrono::milliseconds(300);
  /** Minimum time between two reallocations of the rates. A reallocation costs the VM that gives up
      parts some tokens, and VMs lend each other tokens in the meantime. */
  static constexpr Duration kMinPlanInterval = std::chrono::milliseconds(3000);
  /** Maximum number of reads, and of writes, that may be unanswered at the same time. */
  static constexpr unsigned kMaxConcurrentCalls = 3;

  /** @param aPeerAddress  address for datagrams from other VMs; empty if this VM receives none.
      @param aOnRead  called after each read of the table.
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

  /** Starts reading the table; this VM's row is first written after the first successful read.
      Precondition: called once. */
  void Start(Instant aNow) { this->ReadPeriodically(aNow); }

  /** Sets the primaries that this VM can't reach. A change is written to the table at once. */
  void SetUnreachablePrimaries(Instant aNow, std::set<ServerId> aUnreachablePrimaries)
  {
    if (aUnreachablePrimaries == this->unreachablePrimaries) {
      return;
    }
    for (const ServerId& server : aUnreachablePrimaries) {
      this->log.WriteAlways(
        aNow, "failover", "primary-unreachable", { { "server", server.Text() } });
    }
    this->unreachablePrimaries = std::move(aUnreachablePrimaries);
    if (this->hasRead) {
      this->Renew(aNow);
      this->Read(aNow);
      this->AdvanceNextRead(aNow);
    }
  }

  /** Sets whether a primary has to be replaced. If so, a VM that holds the promotion lease or is
      likely to take it over reads the table more often. */
  void SetPromotionPending(Instant aNow, bool aIsPending)
  {
    this->isPromotionPending = aIsPending;
    this->AdvanceNextRead(aNow);
  }

  /** Applies the configured limits and the current rate shares; called after a change of the
      configuration. */
  void ApplyShares(Instant aNow)
  {
    this->buckets.Configure(aNow, this->cluster.Configuration().limits, this->fleet.Allocation());
    this->activeAllocation = this->fleet.Allocation();
    this->AdvanceNextRead(aNow);
  }

  /** End of the promotion lease of this VM, if it holds that lease. */
  Instant PromotionLeaseEnd() const
  {
    return this->leaseUntil - FleetView::kMemberLease + FleetView::kPromotionLease;
  }

  /** Whether this VM has read the table and its member lease has not expired. */
  bool IsReady(Instant aNow) const { return this->hasRead && aNow < this->leaseUntil; }

private:
  void Read(Instant aNow)
  {
    if (this->pendingReads >= kMaxConcurrentCalls) {
      return;
    }
    ++this->pendingReads;
    this->store.Read(std::string(FleetView::kTable),
                     [this, aNow, knownVersion = this->latestVersion](Instant aThen, auto aRows) {
                       --this->pendingReads;
                       this->OnRows(aThen, aNow, knownVersion, aRows);
                     });
  }

  Duration Period() const
  {
    return this->fleet.Members().size() > kMaxVmsWithoutDelegates ? kLargeFleetPeriod
                                                                  : kSmallFleetPeriod;
  }

  Duration ReadPeriod() const
  {
    const bool readsForPromotion =
      (this->isPromotionPending || !this->unreachablePrimaries.empty()) &&
      this->fleet.IsHolderOrEarlySuccessor(this->self);
    return readsForPromotion || this->HasUnallocatedRate() ? kFastReadPeriod : this->Period();
  }

  /** Whether the configuration has an organisation of whose rate no VM holds parts yet. */
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

  /** Reschedules the next read if it is due later than aTime from now. */
  void ReadWithin(Instant aNow, Duration aTime)
  {
    if (this->nextReadAt > aNow + aTime) {
      this->scheduler.Cancel(this->nextRead);
      this->ScheduleRead(aNow + aTime);
    }
  }

  /** Reschedules the next read after a change that may have shortened the interval between
      reads. */
  void AdvanceNextRead(Instant aNow)
  {
    if (this->hasRead) {
      this->ReadWithin(aNow, this->ReadPeriod());
    }
  }

  /** @param aKnownVersion  latest version that was known when the read was sent. */
  void OnRows(Instant aNow,
              Instant aSentAt,
              std::uint64_t aKnownVersion,
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
    if (aSentAt < this->latestReadSentAt) {
      return;
    }
    if (aRows->version < aKnownVersion) {
      // An older allocation could contain parts that other VMs hold by now.
      this->log.Write(aNow,
                      "fleet",
                      "read-behind",
                      { { "version", std::to_string(aRows->version) },
                        { "known", std::to_string(aKnownVersion) } });
      return;
    }
    this->latestReadSentAt = aSentAt;
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
      // Other VMs receive the parts that this VM gives up only after it has confirmed the new
      // allocation.
      if (isFirst || hasLost) {
        this->Renew(aNow);
      }
    }
    // While the lease was expired, the shares may have been given to other VMs. A read that was
    // sent after the renewal shows the current shares.
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

  /** Whether the allocation that was just read takes parts from this VM. */
  bool HasLostShare() const
  {
    const auto& shares = this->activeAllocation.shares;
    return std::any_of(shares.begin(), shares.end(), [&](const auto& aEntry) {
      return this->fleet.Allocation().PartsOf(aEntry.first, this->self) <
             this->activeAllocation.PartsOf(aEntry.first, this->self);
    });
  }

  /** Demand that is reported for the allocation of rates. In a fleet with delegates, a VM that
      holds no parts of an organisation's rate does not report its demand: the VMs that hold parts
      learn of this demand from requests for tokens, and the row would only be longer. */
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
    if (this->pendingWrites >= kMaxConcurrentCalls) {
      return;
    }
    ++this->pendingWrites;
    this->renewedAt = aNow;
    const auto earliestSendTime = this->fleet.EarliestStoreTime(aNow);
    const MemberRow row{ ++this->sequence,
                         this->fleet.LatestStoreTime(aNow).value_or(std::chrono::milliseconds(0)),
                         this->domain,
                         this->peerAddress,
                         this->activeAllocation.version,
                         this->ReportedDemand(aNow),
                         this->unreachablePrimaries };
    this->store.Write(RowChange{ std::string(FleetView::kTable),
                                 FleetView::MemberKey(this->self),
                                 EncodeMemberRow(row),
                                 std::nullopt },
                      [this, aNow, earliestSendTime](Instant aThen, auto aVersion) {
                        --this->pendingWrites;
                        if (aVersion && earliestSendTime) {
                          this->fleet.RecordRenewal(*aVersion, *earliestSendTime);
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
      // Makes the renewal due again at the next check.
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

  /** Removes the row of a stopped VM, at most one after each read. Otherwise the rows of replaced
      VMs would accumulate. */
  void RemoveExpiredRow(Instant aNow)
  {
    const std::optional<VmId> stoppedVm = this->fleet.FindRemovableMember();
    const std::vector<VmId> liveVms = this->fleet.LiveVms();
    if (!stoppedVm || liveVms.empty() || liveVms.front() != this->self) {
      return;
    }
    this->log.WriteAlways(aNow, "fleet", "row-removed", { { "vm", stoppedVm->Text() } });
    this->store.Write(RowChange{ std::string(FleetView::kTable),
                                 FleetView::MemberKey(*stoppedVm),
                                 std::nullopt,
                                 this->fleet.Members().at(*stoppedVm).version },
                      // The next read shows the outcome.
                      [](Instant, auto) {});
  }

  void PlanRates(Instant aNow)
  {
    const std::vector<VmId> liveVms = this->fleet.LiveVms();
    // A change of the live VMs, or an organisation without an allocation, is handled without
    // waiting for kMinPlanInterval.
    const bool isTooSoon =
      aNow < this->nextPlanAt && liveVms == this->lastPlannedMembers && !this->HasUnallocatedRate();
    if (this->isPlanning || isTooSoon || !this->cluster.HasConfiguration() || liveVms.empty() ||
        liveVms.front() != this->self) {
      return;
    }
    const std::optional<RateAllocation> next =
      PlanRateAllocation(this->fleet.Allocation(),
                         this->fleet.AllocationMembers(),
                         this->cluster.Configuration().limits);
    if (!next) {
      return;
    }
    this->isPlanning = true;
    this->lastPlannedMembers = liveVms;
    this->nextPlanAt = aNow + kMinPlanInterval;
    this->log.WriteAlways(
      aNow, "rate", "allocation-written", { { "version", std::to_string(next->version) } });
    this->store.Write(RowChange{ std::string(FleetView::kTable),
                                 std::string(FleetView::kAllocationKey),
                                 EncodeRateAllocation(*next),
                                 this->fleet.AllocationRowVersion() },
                      // The next read shows the outcome.
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
  /** Live VMs when this VM last computed an allocation. */
  std::vector<VmId> lastPlannedMembers;
  Instant nextReadAt{};
  Scheduler::TaskId nextRead{};
  unsigned pendingReads = 0;
  unsigned pendingWrites = 0;
  Instant latestReadSentAt{};
  /** Latest version that the store has reported, by a read or by a write of this VM's row. */
  std::uint64_t latestVersion = 0;
  std::uint64_t sequence = 0;
  /** Time at which the latest renewal was sent, whether or not it was answered; reset when a
      renewal fails. */
  Instant renewedAt{};
  /** The allocation that the buckets use. */
  RateAllocation activeAllocation;
  std::set<ServerId> unreachablePrimaries;
  /** End of this VM's lease on its rate shares. */
  Instant leaseUntil{};
  /** Time at which a renewal was sent whose answer arrived after the lease had expired. The lease
      is extended only after a read that was sent after that answer. */
  std::optional<Instant> renewalAfterExpiry;
  Instant renewalAnsweredAt{};
};

} // namespace mustardshift::proxy
