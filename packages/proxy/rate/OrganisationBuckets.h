#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/rate/DemandEstimate.h"
#include "core/rate/TokenBucket.h"
#include "proxy/cluster/SessionConfiguration.h"
#include "proxy/rate/RateAllocation.h"
#include "proxy/rate/RateTolerance.h"

#include <map>
#include <optional>

namespace mustardshift::proxy {

/** The token buckets of one VM, one per organisation, filled at the VM's share of the rate. A new
    bucket is empty: a restart brings no tokens.

    Thread safety: none; one thread owns the object. */
class OrganisationBuckets
{
public:
  explicit OrganisationBuckets(VmId aSelf, RateTolerance aTolerance = {})
    : self(std::move(aSelf))
    , tolerance(aTolerance)
  {
  }

  /** Puts limits and shares in force. Creates no tokens. */
  void Configure(Instant aNow,
                 const std::map<OrganisationName, OrganisationLimit>& aLimits,
                 const RateAllocation& aAllocation);

  /** Sets until when the shares may be used; the row that proves this VM alive was renewed then. */
  void SetLease(Instant aUntil) { this->leaseUntil = aUntil; }

  /** Counts a new operation as demand. */
  void CountDemand(Instant aNow, const OrganisationName& aOrganisation);

  /** Takes a token; returns false when there is none. */
  bool TryTake(Instant aNow, const OrganisationName& aOrganisation);

  /** Instant of the next token, or nothing when there will be none. */
  std::optional<Instant> NextToken(Instant aNow, const OrganisationName& aOrganisation);

  /** Operations per second that were lately asked for, by organisation. */
  std::map<OrganisationName, double> Demand(Instant aNow) const;

private:
  struct Entry
  {
    TokenBucket bucket;
    DemandEstimate demand;
  };

  VmId self;
  RateTolerance tolerance;
  Instant leaseUntil{};
  std::map<OrganisationName, Entry> entries;
};

} // namespace mustardshift::proxy
