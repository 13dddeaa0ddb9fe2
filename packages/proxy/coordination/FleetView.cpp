#include "proxy/coordination/FleetView.h"

#include <utility>

namespace mustardshift::proxy {

namespace {

constexpr std::string_view kMemberPrefix = "vm-";

} // namespace

std::vector<std::string> FleetView::Take(Instant aNow,
                                         Instant aSentAt,
                                         const std::vector<StoredRow>& aRows)
{
  std::vector<std::string> malformed;
  std::map<VmId, Member> present;
  for (const StoredRow& row : aRows) {
    if (row.key == kAllocationKey) {
      auto decoded = DecodeRateAllocation(row.value);
      if (decoded) {
        this->allocation = std::move(*decoded);
      } else {
        malformed.push_back(row.key);
      }
      this->allocationRowVersion = row.version;
    } else if (row.key == kDutyKey) {
      this->duty = DecodeDutyRow(row.value);
      if (!this->duty) {
        malformed.push_back(row.key);
      }
      this->dutyRowVersion = row.version;
    } else if (row.key.starts_with(kMemberPrefix)) {
      auto decoded = DecodeMemberRow(row.value);
      if (!decoded) {
        malformed.push_back(row.key);
        continue;
      }
      const VmId vm(row.key.substr(kMemberPrefix.size()));
      const auto known = this->members.find(vm);
      const bool isUnchanged = known != this->members.end() && known->second.version == row.version;
      present[vm] =
        Member{ std::move(*decoded), row.version, isUnchanged ? known->second.seenSince : aNow };
    } else {
      malformed.push_back(row.key);
    }
  }
  this->members = std::move(present);
  this->readSentAt = aSentAt;
  return malformed;
}

void FleetView::SetDuty(DutyRow aDuty, std::uint64_t aRowVersion)
{
  if (aRowVersion > this->dutyRowVersion) {
    this->duty = std::move(aDuty);
    this->dutyRowVersion = aRowVersion;
  }
}

bool FleetView::IsUnchangedFor(const VmId& aVm, Duration aTime) const
{
  const auto member = this->members.find(aVm);
  return member == this->members.end() || this->readSentAt - member->second.seenSince >= aTime;
}

bool FleetView::IsFresh(const VmId& aVm) const
{
  const auto member = this->members.find(aVm);
  return member != this->members.end() && this->readSentAt - member->second.seenSince < kFreshFor;
}

std::vector<VmId> FleetView::FreshMembers() const
{
  std::vector<VmId> fresh;
  for (const auto& [vm, member] : this->members) {
    if (this->IsFresh(vm)) {
      fresh.push_back(vm);
    }
  }
  return fresh;
}

std::vector<RateMember> FleetView::RateMembers() const
{
  std::vector<RateMember> result;
  for (const auto& [vm, member] : this->members) {
    result.push_back({ vm, member.row.allocationVersion, member.row.demand, this->HasLapsed(vm) });
  }
  return result;
}

} // namespace mustardshift::proxy
