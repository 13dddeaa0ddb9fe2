#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/coordination/DutyRow.h"
#include "proxy/coordination/MemberRow.h"
#include "proxy/coordination/StoredRow.h"
#include "proxy/rate/AllocationMember.h"
#include "proxy/rate/RateAllocation.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mustardshift::proxy {

/** The fleet's own table as one VM has read it, and for how long each VM's row has not changed.

    Two things tell that a VM has not written its row for some time: reads have shown the same row
    since then, by this VM's own clock; or the row was sent that long before the store was read, by
    the store's clock. The second needs no history, so a process that has just started knows which
    VMs have stopped.

    Thread safety: none; one thread owns the object. */
class FleetView
{
public:
  /** A VM uses its rate shares for this long after it sent the latest write of its row that was
      acknowledged, and no longer. */
  static constexpr Duration kMemberLease = std::chrono::seconds(5);
  /** A VM whose row has not changed for this long has stopped: kMemberLease and a reserve for
      clocks that don't run alike. */
  static constexpr Duration kLapseAfter = std::chrono::milliseconds(6500);
  /** The holder of the promotion duty orders for this long after it sent the latest write of its
      row that was acknowledged: three of its renewals. Another VM takes over when the row has not
      changed for kDutyLapseAfter: the lease, and a reserve for clocks that don't run alike. */
  static constexpr Duration kDutyLease = std::chrono::milliseconds(1800);
  static constexpr Duration kDutyLapseAfter = std::chrono::milliseconds(2200);
  /** VMs that may take the duty over do so in the order of their names, each this much later than
     the one before, which may have stopped too: about the period of reads at such a time. */
  static constexpr Duration kSuccessionStep = std::chrono::milliseconds(300);
  /** VMs that look often for what the holder of the duty may have to do. */
  static constexpr std::ptrdiff_t kNearestSuccessors = 3;
  /** The opinion of a VM counts while its row is younger than this: three renewals. */
  static constexpr Duration kFreshFor = std::chrono::milliseconds(4500);

  /** The row of a VM that has not changed for this long is removed; a VM that still runs writes it
      again. Longer than any outage of the store's that VMs live through. */
  static constexpr Duration kForgetAfter = std::chrono::seconds(60);

  static constexpr std::string_view kTable = "fleet";
  static constexpr std::string_view kAllocationKey = "allocation";
  static constexpr std::string_view kDutyKey = "duty-promotion";
  /** Key of a VM's row. */
  static std::string MemberKey(const VmId& aVm) { return "vm-" + aVm.Text(); }

  struct Member
  {
    MemberRow row;
    std::uint64_t version = 0;
    /** Receipt of the first read that showed this version. */
    Instant seenSince{};
  };

  /** Takes a read of the whole table. Malformed rows are left out; their keys are returned.
      @param aSentAt  instant before the read was sent. */
  std::vector<std::string> Take(Instant aNow, Instant aSentAt, const StoredRows& aRows);

  /** Earliest and latest store time that an instant of this VM can be, by the latest read; nothing
      when the store told no time. */
  std::optional<std::chrono::milliseconds> EarliestStoreTime(Instant aNow) const;
  std::optional<std::chrono::milliseconds> LatestStoreTime(Instant aNow) const;

  /** Notes a write of this VM's row. Reads that show its version hold all that was written before
      it.
      @param aSentFrom  earliest store time at which the write was sent. */
  void NoteRenewal(std::uint64_t aVersion, std::chrono::milliseconds aSentFrom);

  const std::map<VmId, Member>& Members() const { return this->members; }
  const RateAllocation& Allocation() const { return this->allocation; }
  std::uint64_t AllocationRowVersion() const { return this->allocationRowVersion; }
  const std::optional<DutyRow>& Duty() const { return this->duty; }
  std::uint64_t DutyRowVersion() const { return this->dutyRowVersion; }
  /** Notes a change of the duty row by this VM. */
  void SetDuty(DutyRow aDuty, std::uint64_t aRowVersion);

  bool HasLapsed(const VmId& aVm) const { return this->IsUnchangedFor(aVm, kLapseAfter); }
  /** A VM whose row may be removed, or nothing. */
  std::optional<VmId> StoppedForLong() const;
  /** Whether a VM holds the promotion duty or is one of the first that would take it over. */
  bool IsNearDuty(const VmId& aVm) const;
  /** Whether a VM's row has changed within kFreshFor. */
  bool IsFresh(const VmId& aVm) const { return !this->IsUnchangedFor(aVm, kFreshFor); }
  /** Whether the promotion duty has no holder that may still order, and it is a VM's turn to take
     it over. */
  bool MayTakeDuty(const VmId& aVm) const;
  /** Fresh VMs in ascending order of their names. */
  std::vector<VmId> FreshMembers() const;
  /** Failure domain that a VM has written into its row; empty when there is none. */
  FailureDomainName DomainOf(const VmId& aVm) const;
  /** Where a VM takes datagrams; empty when that isn't known. */
  std::string PeerAddressOf(const VmId& aVm) const;
  /** Fresh VMs that do something on behalf of the others, see ChooseDelegates(). */
  const std::set<VmId>& Delegates(const std::string& aSubject) const;
  /** The same, those of a failure domain first. */
  std::vector<VmId> DelegatesByDistance(const std::string& aSubject,
                                        const FailureDomainName& aFrom) const;
  /** Fresh VMs that ask a group's primary for its position, and tell whether they reach it. */
  const std::set<VmId>& Probers(const DatabaseName& aGroup) const
  {
    return this->Delegates(aGroup.Text());
  }
  /** What the division of rates needs to know of all VMs. */
  std::vector<AllocationMember> RateMembers() const;

private:
  /** Fresh VMs but the holder, in the order in which they take the duty over. */
  std::vector<VmId> Successors() const;
  /** Whether the VM has no row, or a read shows that it has not changed for so long. */
  bool IsUnchangedFor(const VmId& aVm, Duration aTime) const;

  std::map<VmId, Member> members;
  /** Filled as needed, for the present members. */
  mutable std::map<std::string, std::set<VmId>> delegates;
  /** Instants before the latest read was sent and after it was answered, and the store's time in
      between. */
  Instant readSentAt{};
  Instant readAnsweredAt{};
  std::optional<std::chrono::milliseconds> storeTime;
  /** Latest write of this VM's row. */
  std::uint64_t renewalVersion = 0;
  std::chrono::milliseconds renewalSentFrom{ 0 };
  /** The latest read shows all writes that were sent before this store time. */
  std::optional<std::chrono::milliseconds> readHoldsUntil;
  RateAllocation allocation;
  std::uint64_t allocationRowVersion = 0;
  std::optional<DutyRow> duty;
  std::uint64_t dutyRowVersion = 0;
};

} // namespace mustardshift::proxy
