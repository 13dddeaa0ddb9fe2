#include "core/membership/MemberTable.h"

#include <utility>

namespace mustardshift {

MemberTable::MemberTable(VmId aSelf, FailureDomainName aFailureDomain)
  : self(std::move(aSelf))
  , failureDomain(std::move(aFailureDomain))
{
}

void MemberTable::OnRowsRead(Instant aSent, const std::vector<MemberRow>& aRows)
{
  if (aSent <= this->rowsReadSentAt) {
    return;
  }
  this->rowsReadSentAt = aSent;
  this->rows.clear();
  for (const MemberRow& row : aRows) {
    this->rows.emplace(row.registration.vm.vm, row);
  }
  std::erase_if(this->pongs, [&](const auto& aPong) {
    return !this->rows.contains(aPong.first) && !this->listedMembers.contains(aPong.first) &&
           aPong.second.pingSent < aSent;
  });
}

void MemberTable::OnListRead(Instant aSent, const std::vector<ListedMember>& aList)
{
  if (aSent <= this->listReadSentAt) {
    return;
  }
  this->listReadSentAt = aSent;
  this->listedMembers.clear();
  for (const ListedMember& vm : aList) {
    this->listedMembers.emplace(vm.vm, vm);
  }
}

void MemberTable::OnPong(Instant aPingSent, const VmId& aVm, bool aIsDrained)
{
  if (aVm == this->self) {
    return;
  }
  const auto [pong, isNew] = this->pongs.try_emplace(aVm, Pong{ aPingSent, aIsDrained });
  if (!isNew && pong->second.pingSent <= aPingSent) {
    pong->second = { aPingSent, aIsDrained };
  }
}

void MemberTable::SetDrainedFailureDomains(std::set<FailureDomainName> aFailureDomains)
{
  this->drainedFailureDomains = std::move(aFailureDomains);
}

std::vector<Member> MemberTable::OtherMembers(Instant aNow) const
{
  std::set<VmId> ids;
  for (const auto& [vm, row] : this->rows) {
    ids.insert(vm);
  }
  for (const auto& [vm, entry] : this->listedMembers) {
    ids.insert(vm);
  }
  ids.erase(this->self);
  std::vector<Member> members;
  members.reserve(ids.size());
  for (const VmId& vm : ids) {
    members.push_back(this->Describe(vm, aNow));
  }
  return members;
}

std::vector<VmId> MemberTable::ReachablePeers(Instant aNow) const
{
  std::vector<VmId> peers;
  for (const Member& member : this->OtherMembers(aNow)) {
    if (member.isReachable) {
      peers.push_back(member.vm);
    }
  }
  return peers;
}

std::set<VmId> MemberTable::AvailableMembers(Instant aNow) const
{
  std::set<VmId> available;
  for (const Member& member : this->OtherMembers(aNow)) {
    if (member.isReachable && !member.isDrained) {
      available.insert(member.vm);
    }
  }
  if (!this->IsSelfDrained()) {
    available.insert(this->self);
  }
  return available;
}

bool MemberTable::IsSelfDrained() const
{
  return this->isSelfDrained || this->drainedFailureDomains.contains(this->failureDomain);
}

FailureDomainName MemberTable::FailureDomainOf(const VmId& aVm) const
{
  if (aVm == this->self) {
    return this->failureDomain;
  }
  const auto row = this->rows.find(aVm);
  return row == this->rows.end() ? FailureDomainName() : row->second.failureDomain;
}

Member MemberTable::Describe(const VmId& aVm, Instant aNow) const
{
  Member member;
  member.vm = aVm;
  member.failureDomain = this->FailureDomainOf(aVm);
  member.isDrained = this->drainedFailureDomains.contains(member.failureDomain);
  if (const auto entry = this->listedMembers.find(aVm); entry != this->listedMembers.end()) {
    member.peerAddress = entry->second.peerAddress;
    member.isDrained = member.isDrained || entry->second.isLeaving;
  }
  if (const auto row = this->rows.find(aVm); row != this->rows.end()) {
    member.incarnation = row->second.registration.vm.incarnation;
    member.peerAddress = row->second.peerAddress;
  }
  if (const auto pong = this->pongs.find(aVm); pong != this->pongs.end()) {
    member.isReachable = aNow - pong->second.pingSent < kReachabilityTimeout;
    member.isDrained = member.isDrained || pong->second.isDrained;
  }
  return member;
}

} // namespace mustardshift
