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

/** Token buckets of one VM, one per organisation. Each fills at the VM's share of the
    organisation's rate. A new bucket is empty, so a restart grants no tokens.

    Thread safety: none; one thread owns the object. */
class OrganisationBuckets
{
public:
  /** Tokens received from other VMs expire after this time, so that they do not accumulate. */
  static constexpr Duration kReceivedTokenLifetime = std::chrono::milliseconds(500);

  explicit OrganisationBuckets(VmId aSelf, RateTolerance aTolerance = {})
    : self(std::move(aSelf))
    , tolerance(aTolerance)
  {
  }

  /** Applies limits and shares. Creates no tokens. */
  void Configure(Instant aNow,
                 const std::map<OrganisationName, OrganisationLimit>& aLimits,
                 const RateAllocation& aAllocation);

  /** Sets the instant at which the right to use the shares expires. Call it whenever this VM's
      membership row has been renewed. */
  void SetLease(Instant aExpiresAt) { this->leaseExpiresAt = aExpiresAt; }

  /** Counts a new operation as demand. */
  void CountDemand(Instant aNow, const OrganisationName& aOrganisation);

  /** Counts tokens requested by a VM that has no parts of its own. */
  void CountPeerDemand(Instant aNow, const OrganisationName& aOrganisation, std::uint32_t aCount);

  /** Takes a token: of this VM's share while its lease lasts, or one that another VM has lent.
      Returns false if none is available. */
  bool TryTake(Instant aNow, const OrganisationName& aOrganisation);

  /** Returns the instant at which the next token becomes available, or nothing if none will. */
  std::optional<Instant> NextTokenAt(Instant aNow, const OrganisationName& aOrganisation)
  {
    return this->TokensAvailableAt(aNow, aOrganisation, 1);
  }

  /** Returns the instant at which aCount tokens become available, or nothing if they never will. */
  std::optional<Instant> TokensAvailableAt(Instant aNow,
                                           const OrganisationName& aOrganisation,
                                           std::size_t aCount);

  /** Removes up to aWanted whole tokens to lend them to another VM, but keeps those that this VM's
      clients are expected to need soon. Returns the number of tokens removed.
      @param aReserveSeconds  seconds of this VM's own demand for which tokens are kept. */
  std::uint32_t TakeSpare(Instant aNow,
                          const OrganisationName& aOrganisation,
                          std::uint32_t aWanted,
                          double aReserveSeconds);

  /** Returns the token of an operation that was not sent to any server. */
  void Refund(Instant aNow, const OrganisationName& aOrganisation);

  /** Adds tokens that another VM has removed from its bucket. They expire after
      kReceivedTokenLifetime. */
  void AddReceived(Instant aNow, const OrganisationName& aOrganisation, std::uint32_t aCount);

  /** Returns the values that decide whether an operation is admitted, for the log. */
  std::string Describe(Instant aNow, const OrganisationName& aOrganisation) const;

  /** Recent operations per second requested by clients of this VM. */
  double LocalDemand(Instant aNow, const OrganisationName& aOrganisation) const;

  /** Operations per second that a number of parts allows. */
  double RateOfParts(const OrganisationName& aOrganisation, double aParts) const;

  /** Recent operations per second requested by this VM's clients and by VMs without parts of their
      own. */
  std::map<OrganisationName, double> Demand(Instant aNow) const;

private:
  struct Entry
  {
    OrganisationLimit limit;
    std::uint32_t receivedTokens = 0;
    Instant receivedTokensExpireAt{};
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
