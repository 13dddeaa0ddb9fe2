#include "proxy/coordination/FleetView.h"

#include "proxy/coordination/ChooseDelegates.h"

#include <algorithm>
#include <utility>

namespace mustardshift::proxy {

namespace {

constexpr std::string_view kMemberPrefix = "vm-";

} // namespace

std::vector<std::string> FleetView::ApplyRead(Instant aNow,
                                              Instant aSentAt,
                                              const StoredRows& aRows)
{
  std::vector<std::string> malformed;
  std::map<VmId, Member> presentMembers;
  this->isRead = true;
  this->era = aRows.version.era;
  // A row that is not in the table does not exist, whatever an earlier read has shown.
  this->promotionLease.reset();
  this->promotionLeaseRowVersion = {};
  this->allocationRowVersion = {};
  for (const StoredRow& row : aRows.rows) {
    if (row.key == kAllocationKey) {
      auto decoded = DecodeRateAllocation(row.value);
      if (decoded) {
        this->allocation = std::move(*decoded);
      } else {
        malformed.push_back(row.key);
      }
      this->allocationRowVersion = row.version;
    } else if (row.key == kPromotionLeaseKey) {
      this->promotionLease = DecodePromotionLeaseRow(row.value);
      if (!this->promotionLease) {
        malformed.push_back(row.key);
      }
      this->promotionLeaseRowVersion = row.version;
    } else if (row.key.starts_with(kMemberPrefix)) {
      auto decoded = DecodeMemberRow(row.value);
      if (!decoded) {
        malformed.push_back(row.key);
        continue;
      }
      const VmId vm(row.key.substr(kMemberPrefix.size()));
      const auto previousMember = this->members.find(vm);
      const bool isKnown = previousMember != this->members.end();
      const bool isUnchanged = isKnown && previousMember->second.version == row.version;
      const bool isOfSameEra = isKnown && previousMember->second.version.era == row.version.era;
      const bool isRenewed = isOfSameEra && (!isUnchanged || previousMember->second.isRenewed);
      presentMembers[vm] = Member{ std::move(*decoded),
                                   row.version,
                                   isUnchanged ? previousMember->second.firstSeenAt : aNow,
                                   isRenewed };
    } else {
      malformed.push_back(row.key);
    }
  }
  this->members = std::move(presentMembers);
  this->delegates.clear();
  this->rosterVmCount.reset();
  this->readSentAt = aSentAt;
  this->readAnsweredAt = aNow;
  this->storeTime = aRows.storeTime;
  if (this->renewalVersion.number != 0 && aRows.version >= this->renewalVersion) {
    this->readCompleteUntil = this->earliestRenewalSendTime;
  }
  return malformed;
}

void FleetView::ApplyRoster(Instant aNow, const FleetRoster& aRoster)
{
  this->members.clear();
  for (const RosterEntry& entry : aRoster.members) {
    MemberRow row;
    row.domain = entry.domain;
    row.peerAddress = entry.peerAddress;
    this->members[entry.vm] = Member{ std::move(row), {}, aNow, false };
  }
  this->delegates.clear();
  this->rosterVmCount = aRoster.vmCount;
  this->readSentAt = aNow;
  this->readCompleteUntil.reset();
  this->era = 0;
  this->allocation = {};
  this->promotionLease.reset();
}

FleetRoster FleetView::Roster() const
{
  FleetRoster roster;
  for (const VmId& vm : this->LiveVms()) {
    const MemberRow& row = this->members.at(vm).row;
    roster.members.push_back({ vm, row.domain, row.peerAddress });
  }
  roster.vmCount = static_cast<std::uint32_t>(this->VmCount());
  return roster;
}

std::size_t FleetView::VmCount() const
{
  if (this->rosterVmCount) {
    return std::max<std::size_t>(1, *this->rosterVmCount);
  }
  std::size_t count = 0;
  for (const auto& [vm, member] : this->members) {
    // The VMs of a member that has stopped attach themselves to others.
    count += this->HasMemberExpired(vm) ? 0 : 1;
    count += this->IsLive(vm) ? member.row.attachedVms : 0;
  }
  return std::max<std::size_t>(1, count);
}

bool FleetView::IsWatcher(const VmId& aVm) const
{
  if (!this->IsLarge()) {
    return true;
  }
  std::map<FailureDomainName, VmId> firstMembers;
  for (const VmId& vm : this->LiveVms()) {
    firstMembers.try_emplace(this->DomainOf(vm), vm);
  }
  std::size_t count = 0;
  return std::any_of(firstMembers.begin(), firstMembers.end(), [&](const auto& aEntry) {
    return ++count <= kMaxWatchers && aEntry.second == aVm;
  });
}

std::optional<std::chrono::milliseconds> FleetView::EarliestStoreTime(Instant aNow) const
{
  if (!this->storeTime) {
    return std::nullopt;
  }
  return *this->storeTime +
         std::chrono::floor<std::chrono::milliseconds>(aNow - this->readAnsweredAt);
}

std::optional<std::chrono::milliseconds> FleetView::LatestStoreTime(Instant aNow) const
{
  if (!this->storeTime) {
    return std::nullopt;
  }
  // The store truncates its time to whole milliseconds, so its exact time can be up to 1 ms later.
  // The time elapsed since the read was sent is rounded up, so that the sum is an upper bound.
  return *this->storeTime + std::chrono::milliseconds(1) +
         std::chrono::ceil<std::chrono::milliseconds>(aNow - this->readSentAt);
}

void FleetView::OnEraRise(Instant aNow, bool aIsHolder)
{
  this->isRead = false;
  if (aIsHolder) {
    this->mayReclaimUntil = aNow + kPromotionLease;
  } else {
    this->BarPromotions(aNow + kPromotionLeaseTakeoverDelay);
  }
  this->promotionLease.reset();
  this->promotionLeaseRowVersion = {};
  this->allocationRowVersion = {};
  this->renewalVersion = {};
  this->readCompleteUntil.reset();
}

void FleetView::RecordRenewal(StoreVersion aVersion, std::chrono::milliseconds aEarliestSendTime)
{
  if (aVersion > this->renewalVersion) {
    this->renewalVersion = aVersion;
    this->earliestRenewalSendTime = aEarliestSendTime;
  }
}

void FleetView::SetPromotionLease(PromotionLeaseRow aLease, StoreVersion aRowVersion)
{
  if (aRowVersion > this->promotionLeaseRowVersion) {
    this->promotionLease = std::move(aLease);
    this->promotionLeaseRowVersion = aRowVersion;
  }
}

bool FleetView::IsUnchangedFor(const VmId& aVm, Duration aTime) const
{
  const auto member = this->members.find(aVm);
  if (member == this->members.end() || this->readSentAt - member->second.firstSeenAt >= aTime) {
    return true;
  }
  const std::chrono::milliseconds latestSendTime = member->second.row.latestSendTime;
  return member->second.row.era == this->era && this->readCompleteUntil &&
         latestSendTime.count() > 0 && *this->readCompleteUntil - latestSendTime >= aTime;
}

std::vector<VmId> FleetView::Successors() const
{
  std::vector<VmId> successors = this->LiveVms();
  if (this->promotionLease) {
    std::erase(successors, this->promotionLease->holder);
  }
  return successors;
}

std::optional<VmId> FleetView::FindRemovableMember() const
{
  const auto found =
    std::find_if(this->members.begin(), this->members.end(), [this](const auto& aEntry) {
      return this->readSentAt - aEntry.second.firstSeenAt >= kRowRemovalDelay;
    });
  return found == this->members.end() ? std::nullopt : std::optional(found->first);
}

bool FleetView::IsHolderOrEarlySuccessor(const VmId& aVm) const
{
  if (this->promotionLease && this->promotionLease->holder == aVm) {
    return true;
  }
  const std::vector<VmId> successors = this->Successors();
  const auto place = std::find(successors.begin(), successors.end(), aVm);
  return place != successors.end() && place - successors.begin() < kEarlySuccessors;
}

bool FleetView::MayClaimPromotionLease(Instant aNow, const VmId& aVm) const
{
  if (!this->isRead || !this->MayPromote(aNow)) {
    return false;
  }
  if (aNow < this->mayReclaimUntil) {
    return true;
  }
  const std::vector<VmId> successors = this->Successors();
  const auto place = std::find(successors.begin(), successors.end(), aVm);
  if (place == successors.end()) {
    return false;
  }
  const Duration stagger = kSuccessorStagger * (place - successors.begin());
  return this->promotionLease ? this->IsUnchangedFor(this->promotionLease->holder,
                                                     kPromotionLeaseTakeoverDelay + stagger)
                              : stagger == Duration(0);
}

std::vector<VmId> FleetView::LiveVms() const
{
  std::vector<VmId> liveVms;
  for (const auto& [vm, member] : this->members) {
    if (this->IsLive(vm)) {
      liveVms.push_back(vm);
    }
  }
  return liveVms;
}

std::vector<VmId> FleetView::LiveVmsOf(const FailureDomainName& aDomain) const
{
  std::vector<VmId> vms = this->LiveVms();
  std::erase_if(vms, [&](const VmId& aVm) { return this->DomainOf(aVm) != aDomain; });
  return vms;
}

bool FleetView::HasRecentRow(const VmId& aVm) const
{
  const auto member = this->members.find(aVm);
  if (member == this->members.end()) {
    return false;
  }
  const std::chrono::milliseconds sentAt = member->second.row.latestSendTime;
  return !this->storeTime || sentAt.count() == 0 || *this->storeTime - sentAt < kLivenessTimeout;
}

bool FleetView::MayHaveNewerConfiguration(const VmId& aSelf, std::uint64_t aVersion) const
{
  if (this->era == 0) {
    return false;
  }
  return std::any_of(this->members.begin(), this->members.end(), [&](const auto& aEntry) {
    const auto& [vm, member] = aEntry;
    const bool isUnknown =
      member.row.era < this->era && !member.isRenewed && !this->HasMemberExpired(vm);
    return vm != aSelf && (isUnknown || member.row.configurationVersion > aVersion);
  });
}

FailureDomainName FleetView::DomainOf(const VmId& aVm) const
{
  const auto member = this->members.find(aVm);
  return member == this->members.end() ? FailureDomainName() : member->second.row.domain;
}

std::string FleetView::PeerAddressOf(const VmId& aVm) const
{
  const auto member = this->members.find(aVm);
  return member == this->members.end() ? std::string() : member->second.row.peerAddress;
}

std::vector<VmId> FleetView::DelegatesNearestFirst(const std::string& aTask,
                                                   const FailureDomainName& aFrom) const
{
  const std::set<VmId>& unorderedDelegates = this->Delegates(aTask);
  std::vector<VmId> orderedDelegates(unorderedDelegates.begin(), unorderedDelegates.end());
  std::stable_partition(orderedDelegates.begin(), orderedDelegates.end(), [&](const VmId& aVm) {
    return this->DomainOf(aVm) == aFrom;
  });
  return orderedDelegates;
}

const std::set<VmId>& FleetView::Delegates(const std::string& aTask) const
{
  const auto [entry, isNew] = this->delegates.try_emplace(aTask);
  if (isNew) {
    std::map<VmId, FailureDomainName> liveVms;
    for (const VmId& vm : this->LiveVms()) {
      liveVms[vm] = this->DomainOf(vm);
    }
    entry->second = ChooseDelegates(aTask, liveVms, this->VmCount());
  }
  return entry->second;
}

std::vector<AllocationMember> FleetView::AllocationMembers() const
{
  std::vector<AllocationMember> result;
  for (const auto& [vm, member] : this->members) {
    result.push_back({ vm,
                       member.row.domain,
                       member.row.allocationVersion,
                       member.row.demand,
                       this->HasMemberExpired(vm) });
  }
  return result;
}

} // namespace mustardshift::proxy
