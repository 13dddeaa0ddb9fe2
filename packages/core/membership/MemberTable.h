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

/** A VM counts as reachable while a ping sent within this time was answered: two of the pings, one
    a second, may get lost. */
inline constexpr Duration kReachabilityTimeout = std::chrono::milliseconds(3500);

/** Which VMs may exist, which of them are reachable from this one, and which take new work.
    Registrations and the platform's list say who may exist; only answered pings say who is
    reachable, since the list lags behind and registrations outlive their VMs.

    Thread safety: none; one thread owns the table. */
class MemberTable
{
public:
  MemberTable(VmId aSelf, FailureDomainName aFailureDomain);

  /** Takes over the rows of a read that was sent at aSent. An earlier read that arrives later is
      ignored. */
  void OnRowsRead(Instant aSent, const std::vector<MemberRow>& aRows);

  /** Takes over the platform's list of VMs, with the same rule. */
  void OnListRead(Instant aSent, const std::vector<ListedMember>& aList);

  /** A peer answered a ping that was sent at aPingSent.

      @param aIsDrained  the peer's own drain state, as it reports it. */
  void OnPong(Instant aPingSent, const VmId& aVm, bool aIsDrained);

  /** Sets the failure domains that operators took out of service. */
  void SetDrainedFailureDomains(std::set<FailureDomainName> aFailureDomains);

  /** Sets whether operators drained this VM, or it shuts down. */
  void SetSelfDrained(bool aIsDrained) { this->isSelfDrained = aIsDrained; }

  /** All other VMs that may exist, in order of their ids: those to ping. */
  std::vector<Member> OtherMembers(Instant aNow) const;

  /** Other VMs that are reachable, drained ones included: those to ask for loans and suspicions. */
  std::vector<VmId> ReachablePeers(Instant aNow) const;

  /** VMs that are reachable and take new work, this one included if it does: those that quota
      shards are shared out among. */
  std::set<VmId> AvailableMembers(Instant aNow) const;

  /** Whether this VM, or its failure domain, is drained. */
  bool IsSelfDrained() const;

  /** Returns a VM's failure domain; an empty name when it is not known. */
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
  std::map<VmId, ListedMember> listed;
  Instant rowsReadSentAt = Instant::min();
  Instant listReadSentAt = Instant::min();
  std::map<VmId, Pong> pongs;
  std::set<FailureDomainName> drainedFailureDomains;
  bool isSelfDrained = false;
};

} // namespace mustardshift
