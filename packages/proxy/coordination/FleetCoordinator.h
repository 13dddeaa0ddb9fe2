#pragma once

#include "core/base/Instant.h"
#include "core/base/NameTable.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/coordination/ChooseDelegates.h"
#include "proxy/coordination/FleetRole.h"
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
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** Decides whether this VM is a member of the fleet or attached to one. A member writes its row to
    the fleet table, reads the rows of the other members, and allocates the organisations' rates to
    the members. The first live member by name computes each new allocation and writes it on
    condition of the row's version.

    A VM becomes a member if its failure domain has fewer members than it should. VMs with little
    processor time wait longer before they do, so that others come first.

    Thread safety: none; one thread owns the object. */
template<TableStore Store>
class FleetCoordinator
{
public:
  /** Interval between a member's reads of the table, and between renewals of its row. */
  static constexpr Duration kRenewalPeriod = std::chrono::milliseconds(1500);
  /** The same in a large fleet; two renewals fit into FleetView::kLivenessTimeout. */
  static constexpr Duration kLargeFleetRenewalPeriod = std::chrono::milliseconds(2000);
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
  /** Longest pause before a VM becomes a member, and before it reads the table after it has lost
      its members. Spreads the calls of many VMs. */
  static constexpr Duration kRegistrationSpread = std::chrono::milliseconds(300);
  static constexpr Duration kReconsiderationSpread = std::chrono::milliseconds(1000);
  /** VMs with less than kFastProcessorShare of a core pause for this long more, and for up to
      kSlowVmSpread in addition: there are many of them, and few should register at the same time.
   */
  static constexpr Duration kSlowVmPause = std::chrono::milliseconds(500);
  static constexpr Duration kSlowVmSpread = std::chrono::milliseconds(1500);
  static constexpr double kFastProcessorShare = 0.2;
  /** A failure domain that has had too many members for this long loses one. Longer than it takes
      until the row of a stopped member is no longer live. */
  static constexpr Duration kExcessPatience = std::chrono::seconds(10);

  /** @param aPeerAddress  address for datagrams from other VMs; empty if this VM receives none, and
                           is therefore always a member.
      @param aMembersPerDomain  number of members that a failure domain should have.
      @param aProcessorShare  cores that this VM has.
      @param aSeed  of the pauses.
      @param aOnRead  called after each read of the table.
      @param aOnRole  called after each change of the role.
      All references have to outlive the coordinator. */
  FleetCoordinator(VmId aSelf,
                   FailureDomainName aDomain,
                   std::string aPeerAddress,
                   std::size_t aMembersPerDomain,
                   double aProcessorShare,
                   std::uint64_t aSeed,
                   Store& aStore,
                   ClusterState& aCluster,
                   FleetView& aFleet,
                   OrganisationBuckets& aBuckets,
                   Scheduler& aScheduler,
                   EventLog& aLog,
                   std::function<void(Instant)> aOnRead,
                   std::function<void(Instant, FleetRole)> aOnRole)
    : self(std::move(aSelf))
    , domain(std::move(aDomain))
    , peerAddress(std::move(aPeerAddress))
    , membersPerDomain(aMembersPerDomain)
    , processorShare(aProcessorShare)
    , random(aSeed)
    , store(aStore)
    , cluster(aCluster)
    , fleet(aFleet)
    , buckets(aBuckets)
    , scheduler(aScheduler)
    , log(aLog)
    , onRead(std::move(aOnRead))
    , onRole(std::move(aOnRole))
  {
  }
  FleetCoordinator(const FleetCoordinator&) = delete;
  FleetCoordinator& operator=(const FleetCoordinator&) = delete;
  ~FleetCoordinator() = default;

  /** Starts reading the table, to decide this VM's role. Precondition: called once. */
  void Start(Instant aNow) { this->ReadPeriodically(aNow); }

  FleetRole Role() const { return this->role; }

  /** Handles a roster that an attached VM has received and applied to the FleetView.
      @param aIsInvited  whether the member asks this VM to become one. */
  void OnRoster(Instant aNow, bool aIsInvited)
  {
    if (this->role != FleetRole::Attached) {
      return;
    }
    const bool isDomainEmpty = this->fleet.LiveVmsOf(this->domain).empty();
    if (aIsInvited) {
      this->RegisterIfNeeded(aNow);
    } else if (!isDomainEmpty) {
      this->registrationAt.reset();
    } else if (!this->registrationAt) {
      this->registrationAt = aNow + this->RegistrationPause() + this->Pause(kReconsiderationSpread);
    } else if (aNow >= *this->registrationAt) {
      this->registrationAt.reset();
      this->RegisterIfNeeded(aNow);
    }
  }

  /** Reads the table again after a pause, to decide the role anew. For an attached VM to which no
      member has answered for a while. */
  void Reconsider(Instant aNow)
  {
    if (this->role == FleetRole::Attached) {
      this->SetRole(aNow, FleetRole::Undecided);
      this->ScheduleRead(aNow + this->Pause(kReconsiderationSpread));
    }
  }

  /** Sets the number of VMs that are attached to this member. */
  void SetAttachedVms(std::uint32_t aCount) { this->attachedVms = aCount; }

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
    if (this->role == FleetRole::Member) {
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
    // Only members hold shares.
    if (this->role != FleetRole::Member) {
      this->activeAllocation = {};
    } else if (aNow >= this->sharesSettledAt) {
      this->activeAllocation = this->fleet.Allocation();
    } else {
      this->activeAllocation =
        LimitShares(this->fleet.Allocation(), this->sharesAtRise, this->self);
    }
    this->buckets.Configure(aNow, this->cluster.Configuration().limits, this->activeAllocation);
    this->AdvanceNextRead(aNow);
  }

  /** Handles that the store has returned from an older copy: reads the table and renews this VM's
      row at once. Until all VMs have seen the older allocation of the rates, or have stopped using
      their shares, this VM uses no more than both allocations give it, and plans no other one.
      @param aEra  the era that has begun. Thread safety: as for the object. */
  void OnEraRise(Instant aNow, std::uint64_t aEra)
  {
    this->era = aEra;
    if (this->role != FleetRole::Member) {
      return;
    }
    const auto& known = this->fleet.Allocation();
    if (!this->allocationToRestore || known.version > this->allocationToRestore->version) {
      this->allocationToRestore = known;
    }
    this->sharesAtRise = this->activeAllocation;
    this->sharesSettledAt = aNow + FleetView::kMemberExpiryTime;
    this->Renew(aNow);
    this->Read(aNow);
  }

  /** End of the promotion lease of this VM, if it holds that lease. */
  Instant PromotionLeaseEnd() const
  {
    if (this->role != FleetRole::Member) {
      return Instant{};
    }
    return this->leaseUntil - FleetView::kMemberLease + FleetView::kPromotionLease;
  }

  /** Whether this VM is a member and its lease has not expired. */
  bool HasLease(Instant aNow) const
  {
    return this->role == FleetRole::Member && aNow < this->leaseUntil;
  }

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

  Duration Pause(Duration aLongest)
  {
    return Duration(
      std::uniform_int_distribution<Duration::rep>(0, aLongest.count())(this->random));
  }

  Duration RegistrationPause()
  {
    return this->processorShare < kFastProcessorShare ? kSlowVmPause + this->Pause(kSlowVmSpread)
                                                      : this->Pause(kRegistrationSpread);
  }

  void SetRole(Instant aNow, FleetRole aRole)
  {
    this->role = aRole;
    this->registrationAt.reset();
    this->inExcessSince.reset();
    this->scheduler.Cancel(this->nextRead);
    this->ApplyShares(aNow);
    this->log.WriteAlways(
      aNow, "fleet", "role", { { "role", std::string(NameOf(kFleetRoleNames, aRole)) } });
    this->onRole(aNow, aRole);
  }

  void BecomeMember(Instant aNow)
  {
    this->SetRole(aNow, FleetRole::Member);
    this->Renew(aNow);
    this->RenewPeriodically(aNow, ++this->renewalLoop);
    this->ScheduleRead(aNow + this->ReadPeriod());
  }

  /** Number of other VMs of this failure domain that are members, according to aFleet. */
  std::size_t CountOtherMembers(const FleetView& aFleet) const
  {
    const auto& members = aFleet.Members();
    return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const auto& aEntry) {
        return aEntry.first != this->self && aEntry.second.row.domain == this->domain &&
               aFleet.HasRecentRow(aEntry.first);
      }));
  }

  /** Number of members that this failure domain should have. VMs with little processor time are
      found in large fleets, whose size isn't known during the start. */
  std::size_t WantedMembers(const FleetView& aFleet) const
  {
    return this->processorShare < kFastProcessorShare
             ? std::min(this->membersPerDomain, kMinMembersPerDomain)
             : MembersPerDomainOfFleet(this->membersPerDomain, aFleet.VmCount());
  }

  /** Reads the table, because rosters are some seconds behind, and becomes a member if the failure
      domain still needs one. */
  void RegisterIfNeeded(Instant aNow)
  {
    if (this->pendingReads > 0) {
      return;
    }
    ++this->pendingReads;
    this->store.Read(std::string(FleetView::kTable), [this, aNow](Instant aThen, auto aRows) {
      --this->pendingReads;
      if (!aRows || this->role != FleetRole::Attached) {
        return;
      }
      FleetView table;
      table.ApplyRead(aThen, aNow, *aRows);
      if (this->CountOtherMembers(table) < this->WantedMembers(table)) {
        this->fleet.ApplyRead(aThen, aNow, *aRows);
        this->latestReadSentAt = aNow;
        this->latestVersion = std::max(this->latestVersion, aRows->version);
        this->era = aRows->version.era;
        this->BecomeMember(aThen);
      }
    });
  }

  /** Decides the role after a read of the table. A process whose VM has a row becomes a member
      again at once, because the VM's rate shares are reserved for it. */
  void DecideRole(Instant aNow)
  {
    const bool isMemberMissing =
      this->CountOtherMembers(this->fleet) < this->WantedMembers(this->fleet);
    // Several members of a failure domain can stop at the same moment. Each of them finds the
    // recent rows of the others when it starts again.
    const bool wasMember = this->fleet.HasRecentRow(this->self);
    if (!isMemberMissing && !wasMember && !this->peerAddress.empty()) {
      this->SetRole(aNow, FleetRole::Attached);
    } else if (this->peerAddress.empty() || this->fleet.Members().contains(this->self) ||
               (this->registrationAt && aNow >= *this->registrationAt)) {
      this->BecomeMember(aNow);
    } else {
      if (!this->registrationAt) {
        this->registrationAt = aNow + this->RegistrationPause();
      }
      this->ReadWithin(aNow, *this->registrationAt - aNow);
    }
  }

  Duration ReadPeriod() const
  {
    const bool readsForPromotion =
      (this->isPromotionPending || !this->unreachablePrimaries.empty()) &&
      this->fleet.IsHolderOrEarlySuccessor(this->self);
    return readsForPromotion || this->HasUnallocatedRate() ? kFastReadPeriod
                                                           : this->RenewalPeriod();
  }

  Duration RenewalPeriod() const
  {
    return this->fleet.IsLarge() ? kLargeFleetRenewalPeriod : kRenewalPeriod;
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
    if (this->role == FleetRole::Member) {
      this->ReadWithin(aNow, this->ReadPeriod());
    }
  }

  /** @param aKnownVersion  latest version that was known when the read was sent. */
  void OnRows(Instant aNow,
              Instant aSentAt,
              StoreVersion aKnownVersion,
              const tl::expected<StoredRows, StoreFailure>& aRows)
  {
    if (this->role == FleetRole::Attached) {
      return;
    }
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
                      { { "version", std::to_string(aRows->version.number) },
                        { "known", std::to_string(aKnownVersion.number) } });
      return;
    }
    this->latestReadSentAt = aSentAt;
    this->latestVersion = std::max(this->latestVersion, aRows->version);
    this->era = aRows->version.era;
    for (const std::string& key : this->fleet.ApplyRead(aNow, aSentAt, *aRows)) {
      this->log.Write(aNow, "fleet", "malformed-row", { { "key", key } });
    }
    if (this->role == FleetRole::Undecided) {
      this->DecideRole(aNow);
      if (this->role != FleetRole::Member) {
        return;
      }
    }
    const bool isSettled = this->sharesSettledAt != Instant{} && aNow >= this->sharesSettledAt;
    if (this->fleet.Allocation().version != this->activeAllocation.version || isSettled) {
      if (isSettled) {
        this->sharesSettledAt = Instant{};
      }
      const bool hasLost = this->HasLostShare();
      this->ApplyShares(aNow);
      this->log.WriteAlways(aNow,
                            "rate",
                            "allocation-in-force",
                            { { "version", std::to_string(this->activeAllocation.version) } });
      // Other VMs receive the parts that this VM gives up only after it has confirmed the new
      // allocation.
      if (hasLost) {
        this->Renew(aNow);
      }
    }
    // While the lease was expired, the shares may have been given to other VMs. A read that was
    // sent after the renewal shows the current shares.
    if (this->renewalAfterExpiry && this->renewalAnsweredAt <= aSentAt) {
      this->ExtendLease(*std::exchange(this->renewalAfterExpiry, std::nullopt));
    }
    this->PlanRates(aNow);
    this->RemoveExpiredRow(aNow);
    this->onRead(aNow);
    this->LeaveIfInExcess(aNow);
  }

  /** Stops being a member if the failure domain has too many of them, of which this one has the
     last name. Several VMs can become members at the same time. The row is left to expire, because
     the rate shares stay in use until the lease ends. */
  void LeaveIfInExcess(Instant aNow)
  {
    const std::vector<VmId> members = this->fleet.LiveVmsOf(this->domain);
    const auto& lease = this->fleet.PromotionLease();
    const bool isInExcess = members.size() > this->WantedMembers(this->fleet) &&
                            members.back() == this->self && !this->peerAddress.empty() &&
                            !(lease && lease->holder == this->self);
    if (!isInExcess) {
      this->inExcessSince.reset();
    } else if (!this->inExcessSince) {
      this->inExcessSince = aNow;
    } else if (aNow - *this->inExcessSince >= kExcessPatience) {
      // The VMs attached to this one are counted by others from now on.
      this->attachedVms = 0;
      this->Renew(aNow);
      this->SetRole(aNow, FleetRole::Attached);
    }
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

  /** Demand that is reported for the allocation of rates. In a fleet with delegates, a member that
      holds no parts of an organisation's rate does not report its demand: the members that hold
      parts learn of this demand from requests for tokens, and the row would only be longer. */
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

  /** @param aLoop  the loop ends when a later one has been started. */
  void RenewPeriodically(Instant aNow, std::uint64_t aLoop)
  {
    this->scheduler.Schedule(aNow + kHolderRenewalPeriod, [this, aLoop](Instant aThen) {
      if (this->role != FleetRole::Member || aLoop != this->renewalLoop) {
        return;
      }
      this->RenewPeriodically(aThen, aLoop);
      const auto& lease = this->fleet.PromotionLease();
      const bool isHolder = lease && lease->holder == this->self;
      if (isHolder || aThen - this->renewedAt >= this->RenewalPeriod()) {
        this->Renew(aThen);
      }
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
                         this->unreachablePrimaries,
                         this->attachedVms,
                         this->era,
                         this->cluster.Configuration().version };
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
                 const tl::expected<StoreVersion, StoreFailure>& aVersion)
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
    const std::optional<RateAllocation> next = this->NextAllocation(aNow);
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

  /** The allocation to write now, or nothing. After a return of the store from an older copy, the
      latest one that was known is written again, and no other one until all VMs use it. */
  std::optional<RateAllocation> NextAllocation(Instant aNow)
  {
    const auto restored = std::exchange(this->allocationToRestore, std::nullopt);
    if (restored && restored->version > this->fleet.Allocation().version) {
      return restored;
    }
    return aNow < this->sharesSettledAt ? std::nullopt
                                        : PlanRateAllocation(this->fleet.Allocation(),
                                                             this->fleet.AllocationMembers(),
                                                             this->cluster.Configuration().limits);
  }

  VmId self;
  FailureDomainName domain;
  std::string peerAddress;
  std::size_t membersPerDomain;
  double processorShare;
  std::mt19937_64 random;
  Store& store;
  ClusterState& cluster;
  FleetView& fleet;
  OrganisationBuckets& buckets;
  Scheduler& scheduler;
  EventLog& log;
  std::function<void(Instant)> onRead;
  std::function<void(Instant, FleetRole)> onRole;
  FleetRole role = FleetRole::Undecided;
  /** Time at which this VM becomes a member if its failure domain still needs one. */
  std::optional<Instant> registrationAt;
  /** Since when the failure domain has had too many members, and this VM is the one to leave. */
  std::optional<Instant> inExcessSince;
  std::uint32_t attachedVms = 0;
  /** Number of the current loop of renewals. */
  std::uint64_t renewalLoop = 0;
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
  StoreVersion latestVersion;
  /** Latest era that the store has reported. */
  std::uint64_t era = 0;
  /** Allocation that was known before the latest era, until it has been written again. */
  std::optional<RateAllocation> allocationToRestore;
  /** Shares that this VM used when the latest era began. */
  RateAllocation sharesAtRise;
  /** Instant from which all VMs use shares of the present era only; zero if no era has begun since
      it was last checked. */
  Instant sharesSettledAt{};
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
