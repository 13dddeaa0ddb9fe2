#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/coordination/FleetRole.h"
#include "proxy/coordination/FleetRoster.h"
#include "proxy/coordination/MemberRow.h"
#include "proxy/coordination/PromotionLeaseRow.h"
#include "proxy/coordination/StoredRow.h"
#include "proxy/rate/AllocationMember.h"
#include "proxy/rate/RateAllocation.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mustardshift::proxy {

/** This VM's view of the fleet table: the rows as of the latest read, and for how long each VM's
    row has not changed. A VM that is attached to a member knows the members from rosters instead.

    There are two ways to detect that a VM has not written its row for some time. Either all reads
    for that time have returned the same row, measured by the clock of this VM; or the row was sent
    that long before the read, measured by the clock of the store. The second way needs no earlier
    reads, so a process that has just started can detect stopped VMs. It holds only for rows that
    were written in the present era of the store: a later write of an earlier era can be gone.

    Thread safety: none; one thread owns the object. */
class FleetView
{
public:
  /** Duration of a member lease. A VM may use its rate shares for this long after it sent its
      latest acknowledged row write, and no longer. */
  static constexpr Duration kMemberLease = std::chrono::seconds(5);
  /** A VM whose row has not changed for this long is considered stopped: kMemberLease plus a margin
      for clocks that run at different speeds. */
  static constexpr Duration kMemberExpiryTime = std::chrono::milliseconds(6500);
  /** Duration of the promotion lease. The holder may order promotions for this long after it sent
      its latest acknowledged row write; this covers three of its renewals. Another VM may claim the
      lease when the holder's row has not changed for kPromotionLeaseTakeoverDelay: the lease plus a
      margin for clocks that run at different speeds. */
  static constexpr Duration kPromotionLease = std::chrono::milliseconds(1800);
  static constexpr Duration kPromotionLeaseTakeoverDelay = std::chrono::milliseconds(2200);
  /** Additional delay per position in the name order before a VM claims an expired promotion lease,
      so that the next VM claims it if the previous one has stopped. About equal to the interval
      between reads while a promotion is pending. */
  static constexpr Duration kSuccessorStagger = std::chrono::milliseconds(300);
  /** Number of successors that read the table as often as the lease holder while a promotion is
      pending. */
  static constexpr std::ptrdiff_t kEarlySuccessors = 3;
  /** A VM counts as live while its row has changed within this time; this covers three renewals
      of FleetCoordinator::kRenewalPeriod. Reports of VMs that are not live are ignored. */
  static constexpr Duration kLivenessTimeout = std::chrono::milliseconds(4500);

  /** Number of VMs that watch the store's tables in a large fleet. Those that remain when one or
     two stop still confirm the configuration in time. */
  static constexpr std::size_t kMaxWatchers = 4;

  /** A row that has not changed for this long is removed. A VM that still runs writes its row
      again. Longer than any outage of the store that VMs are expected to survive. */
  static constexpr Duration kRowRemovalDelay = std::chrono::seconds(60);

  static constexpr std::string_view kTable = "fleet";
  static constexpr std::string_view kAllocationKey = "allocation";
  static constexpr std::string_view kPromotionLeaseKey = "duty-promotion";
  /** Key of a VM's row. */
  static std::string MemberKey(const VmId& aVm) { return "vm-" + aVm.Text(); }

  struct Member
  {
    MemberRow row;
    StoreVersion version;
    /** Time at which this VM received the first read with this version. */
    Instant firstSeenAt{};
    /** Whether this VM has seen the row change in the present era of the store. */
    bool isRenewed = false;
  };

  /** Applies the result of a read of the whole table. Ignores malformed rows and returns their
      keys.
      @param aSentAt  time just before the read was sent. */
  std::vector<std::string> ApplyRead(Instant aNow, Instant aSentAt, const StoredRows& aRows);

  /** Replaces the members by those of a roster, all of which are live. Forgets the division of the
      rates, which attached VMs don't use. */
  void ApplyRoster(Instant aNow, const FleetRoster& aRoster);

  /** Whether the members are those of a roster. */
  bool IsFromRoster() const { return this->rosterVmCount.has_value(); }

  /** The live members, and the number of all VMs that run. */
  FleetRoster Roster() const;

  /** Number of VMs that may have connections to database servers: the members whose lease has not
      expired, and the VMs attached to them. At least one. */
  std::size_t VmCount() const;

  /** Whether the fleet has so many VMs that few of them should call the store. */
  bool IsLarge() const { return this->VmCount() > kMaxVmsWithoutDelegates; }

  /** Whether a VM watches the store's tables. In a large fleet only the first live member of each
      failure domain does, of at most kMaxWatchers domains; the other members get the rows and
      their confirmations from these. */
  bool IsWatcher(const VmId& aVm) const;

  /** Lower and upper bound of the store's time at an instant of this VM's clock, computed from the
      latest read; nothing if the store did not report its time. */
  std::optional<std::chrono::milliseconds> EarliestStoreTime(Instant aNow) const;
  std::optional<std::chrono::milliseconds> LatestStoreTime(Instant aNow) const;

  /** Records a completed write of this VM's row. A read that returns its version or a later one
      includes all earlier writes.
      @param aEarliestSendTime  lower bound of the store's time when the write was sent. */
  void RecordRenewal(StoreVersion aVersion, std::chrono::milliseconds aEarliestSendTime);

  /** Handles that the store has returned from an older copy: drops all that may be gone, which is
      read again. Until the copy has shown who is stopped, this VM doesn't take the promotion lease
      over, since the row of a holder that still acts may be gone.
      @param aIsHolder  whether this VM may order promotions, so that no other one may have taken
      the lease over. Thread safety: as for the object. */
  void OnEraRise(Instant aNow, bool aIsHolder);

  /** Prevents this VM from acting as the holder of the promotion lease until aUntil, because
      another VM may act. Thread safety: as for the object. */
  void BarPromotions(Instant aUntil)
  {
    this->promotionsBarredUntil = std::max(this->promotionsBarredUntil, aUntil);
  }
  /** Whether this VM may act as the holder of the promotion lease, given that it holds the lease.
      Thread safety: as for the object. */
  bool MayPromote(Instant aNow) const { return aNow >= this->promotionsBarredUntil; }

  const std::map<VmId, Member>& Members() const { return this->members; }
  const RateAllocation& Allocation() const { return this->allocation; }
  StoreVersion AllocationRowVersion() const { return this->allocationRowVersion; }
  const std::optional<PromotionLeaseRow>& PromotionLease() const { return this->promotionLease; }
  StoreVersion PromotionLeaseRowVersion() const { return this->promotionLeaseRowVersion; }
  /** Records a write of the promotion lease row by this VM. */
  void SetPromotionLease(PromotionLeaseRow aLease, StoreVersion aRowVersion);

  bool HasMemberExpired(const VmId& aVm) const
  {
    return this->IsUnchangedFor(aVm, kMemberExpiryTime);
  }
  /** A VM whose row may be removed, or nothing. */
  std::optional<VmId> FindRemovableMember() const;
  /** Whether a VM holds the promotion lease or is one of the first kEarlySuccessors VMs that would
      take it over. */
  bool IsHolderOrEarlySuccessor(const VmId& aVm) const;
  /** Whether a VM's row has changed within kLivenessTimeout. */
  bool IsLive(const VmId& aVm) const { return !this->IsUnchangedFor(aVm, kLivenessTimeout); }
  /** Whether the promotion lease is free or has expired, and it is this VM's turn to claim it. */
  bool MayClaimPromotionLease(Instant aNow, const VmId& aVm) const;
  /** Live VMs in ascending order of their names. */
  std::vector<VmId> LiveVms() const;
  /** Live VMs of a failure domain in ascending order of their names. */
  std::vector<VmId> LiveVmsOf(const FailureDomainName& aDomain) const;
  /** Whether the store's clock shows that a VM wrote its row within kLivenessTimeout before the
      latest read. Unlike IsLive(), this can be wrong about a read that was behind; it suffices to
      decide whether a member can be asked. */
  bool HasRecentRow(const VmId& aVm) const;
  /** Whether another member has a newer configuration in force, or may have, because its row was
      written before the present era of the store and it has not had the time to renew it.
      Precondition: none. Thread safety: as for the object. */
  bool MayHaveNewerConfiguration(const VmId& aSelf, std::uint64_t aVersion) const;
  /** Failure domain that a VM has published in its row; empty if the VM has no row. */
  FailureDomainName DomainOf(const VmId& aVm) const;
  /** Address for datagrams to a VM; empty if unknown. */
  std::string PeerAddressOf(const VmId& aVm) const;
  /** Live VMs that perform a task on behalf of all VMs, see ChooseDelegates(). */
  const std::set<VmId>& Delegates(const std::string& aTask) const;
  /** The VMs that Delegates() returns, with those of the failure domain aFrom first. */
  std::vector<VmId> DelegatesNearestFirst(const std::string& aTask,
                                          const FailureDomainName& aFrom) const;
  /** Live VMs that query a group's primary for its log position and report whether they can reach
      it. */
  const std::set<VmId>& Probers(const DatabaseName& aGroup) const
  {
    return this->Delegates(aGroup.Text());
  }
  /** Data about all VMs that the allocation of rates needs. */
  std::vector<AllocationMember> AllocationMembers() const;

private:
  /** Live VMs except the holder of the promotion lease, in the order in which they may claim it. */
  std::vector<VmId> Successors() const;
  /** Whether the VM has no row, or the latest read proves that its row has not changed for
      aTime. */
  bool IsUnchangedFor(const VmId& aVm, Duration aTime) const;

  std::map<VmId, Member> members;
  /** Delegates by task, computed on demand for the current members. */
  mutable std::map<std::string, std::set<VmId>> delegates;
  /** Times before the latest read was sent and after its answer arrived, and the store's time in
      between. */
  Instant readSentAt{};
  Instant readAnsweredAt{};
  std::optional<std::chrono::milliseconds> storeTime;
  /** Version of the latest acknowledged write of this VM's row. */
  StoreVersion renewalVersion;
  std::chrono::milliseconds earliestRenewalSendTime{ 0 };
  /** The latest read includes all writes that were sent before this store time. */
  std::optional<std::chrono::milliseconds> readCompleteUntil;
  RateAllocation allocation;
  StoreVersion allocationRowVersion;
  std::optional<PromotionLeaseRow> promotionLease;
  StoreVersion promotionLeaseRowVersion;
  Instant promotionsBarredUntil{};
  /** Instant until which this VM may claim the promotion lease at once, because it held the lease
      when the latest era began and nobody else can have taken it over yet. */
  Instant mayReclaimUntil{};
  /** Era of the latest read. */
  std::uint64_t era = 0;
  /** Whether the table has been read in the latest era. */
  bool isRead = false;
  /** Number of all VMs, if the members are those of a roster. */
  std::optional<std::uint32_t> rosterVmCount;
};

} // namespace mustardshift::proxy
