#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/membership/ListedMember.h"
#include "core/membership/Member.h"
#include "core/membership/MemberRow.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mustardshift {

/** A VM counts as reachable while a ping that was sent to it within this time has been answered.
    Pings are sent once per second, so two in a row may be lost. */
inline constexpr Duration kReachabilityTimeout = std::chrono::milliseconds(3500);

/** Tracks which VMs may exist, which of them are reachable from this VM, and which accept new work.

    A VM may exist if it is registered or in the platform's list of VMs. It is reachable only if it
    answers pings, because the list may be out of date and a registration remains for some time
    after its VM has stopped.

    Thread safety: none; one thread owns the table. */
class MemberTable
{
public:
  MemberTable(VmId aSelf, FailureDomainName aFailureDomain);

  /** Replaces the registration rows by the result of a read that was sent at aSent. A result that
      arrives after that of a read sent later is ignored. */
  void OnRowsRead(Instant aSent, const std::vector<MemberRow>& aRows);

  /** Replaces the platform's list of VMs by the result of a read that was sent at aSent. A result
      that arrives after that of a read sent later is ignored. */
  void OnListRead(Instant aSent, const std::vector<ListedMember>& aList);

  /** Records that a peer answered a ping that was sent at aPingSent.

      @param aIsDrained  whether the peer reports itself as drained. */
  void OnPong(Instant aPingSent, const VmId& aVm, bool aIsDrained);

  /** Sets the failure domains that operators have taken out of service. */
  void SetDrainedFailureDomains(std::set<FailureDomainName> aFailureDomains);

  /** Sets whether this VM is drained by operators or shutting down. */
  void SetSelfDrained(bool aIsDrained) { this->isSelfDrained = aIsDrained; }

  /** Returns all other VMs that may exist, in order of their ids. These are the VMs to ping. */
  std::vector<Member> OtherMembers(Instant aNow) const;

  /** Returns the other VMs that are reachable, including drained ones. These are the VMs to ask for
      quota loans and for their suspicions of failed servers. */
  std::vector<VmId> ReachablePeers(Instant aNow) const;

  /** Returns the VMs that are reachable and accept new work, including this one if it does. Quota
      shards are distributed among these VMs. */
  std::set<VmId> AvailableMembers(Instant aNow) const;

  /** Returns whether this VM or its failure domain is drained. */
  bool IsSelfDrained() const;

  /** Returns a VM's failure domain, or an empty name when it is not known. */
  FailureDomainName FailureDomainOf(const VmId& aVm) const;

  const VmId& Self() const { return this->self; }

private:
  struct Pong
  {
    Instant pingSent{};
    bool isDrained = false;
  };

  Member Describe(const VmId& aVm, Instant aNow) const;

  VmId self;
  FailureDomainName failureDomain;
  std::map<VmId, MemberRow> rows;
  std::map<VmId, ListedMember> listedMembers;
  Instant rowsReadSentAt = Instant::min();
  Instant listReadSentAt = Instant::min();
  std::map<VmId, Pong> pongs;
  std::set<FailureDomainName> drainedFailureDomains;
  bool isSelfDrained = false;
};

} // namespace mustardshift
