#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/rate/DemandEstimate.h"
#include "core/rate/TokenBucket.h"
#include "proxy/cluster/SessionConfiguration.h"
#include "proxy/rate/RateAllocation.h"
#include "proxy/rate/RateTolerance.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mustardshift::proxy {

/** The token buckets of one VM, one per organisation, filled at the VM's share of the rate. A new
    bucket is empty: a restart brings no tokens.

    Thread safety: none; one thread owns the object. */
class OrganisationBuckets
{
public:
  /** Received tokens that are not used soon are dropped, so that they don't add up. */
  static constexpr Duration kReceivedTokenLifetime = std::chrono::milliseconds(500);

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
  void SetLease(Instant aExpiresAt) { this->leaseExpiresAt = aExpiresAt; }

  /** Counts a new operation as demand. */
  void CountDemand(Instant aNow, const OrganisationName& aOrganisation);

  /** Counts tokens that a VM without parts of its own has asked for. */
  void CountPeerDemand(Instant aNow, const OrganisationName& aOrganisation, std::uint32_t aCount);

  /** Takes a token; returns false when there is none. */
  bool TryTake(Instant aNow, const OrganisationName& aOrganisation);

  /** Instant of the next token, or nothing when there will be none. */
  std::optional<Instant> NextTokenAt(Instant aNow, const OrganisationName& aOrganisation)
  {
    return this->TokensAvailableAt(aNow, aOrganisation, 1);
  }

  /** Instant at which there will be aCount tokens, or nothing when there never will. */
  std::optional<Instant> TokensAvailableAt(Instant aNow,
                                           const OrganisationName& aOrganisation,
                                           std::size_t aCount);

  /** Gives up to aWanted whole tokens away, but keeps what this VM's clients need for a while.
      Returns how many left the bucket.
      @param aReserveSeconds  length of that while. */
  std::uint32_t TakeSpare(Instant aNow,
                          const OrganisationName& aOrganisation,
                          std::uint32_t aWanted,
                          double aReserveSeconds);

  /** Gives back the token of an operation that no server was asked to run. */
  void Refund(Instant aNow, const OrganisationName& aOrganisation);

  /** Takes tokens that another VM gave up. They can be used for kReceivedTokenLifetime. */
  void AddReceived(Instant aNow, const OrganisationName& aOrganisation, std::uint32_t aCount);

  /** The figures that decide about an operation, for the log. */
  std::string Describe(Instant aNow, const OrganisationName& aOrganisation) const;

  /** Operations per second that clients of this VM lately asked for. */
  double LocalDemand(Instant aNow, const OrganisationName& aOrganisation) const;

  /** Operations per second that a number of parts allow. */
  double RateOfParts(const OrganisationName& aOrganisation, double aParts) const;

  /** Operations per second that were lately asked for, by this VM's clients and by VMs without
     parts of their own. */
  std::map<OrganisationName, double> Demand(Instant aNow) const;

private:
  struct Entry
  {
    OrganisationLimit limit;
    std::uint32_t receivedTokens = 0;
    Instant receivedExpireAt{};
    TokenBucket bucket;
    DemandEstimate demand;
    DemandEstimate peerDemand;
  };

  VmId self;
  RateTolerance tolerance;
  Instant leaseExpiresAt{};
  std::map<OrganisationName, Entry> entries;
};

} // namespace mustardshift::proxy
