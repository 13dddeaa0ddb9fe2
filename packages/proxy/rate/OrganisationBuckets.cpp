#include "proxy/rate/OrganisationBuckets.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace mustardshift::proxy {

void OrganisationBuckets::Configure(Instant aNow,
                                    const std::map<OrganisationName, OrganisationLimit>& aLimits,
                                    const RateAllocation& aAllocation)
{
  std::erase_if(this->entries, [&](const auto& aEntry) { return !aLimits.contains(aEntry.first); });
  for (const auto& [organisation, limit] : aLimits) {
    const double fraction =
      static_cast<double>(aAllocation.PartsOf(organisation, this->self)) / kRateParts;
    const OrganisationLimit enforced = EnforcedLimit(limit, this->tolerance);
    const double rate = enforced.ratePerSecond * fraction;
    const double capacity = enforced.burst * fraction;
    const auto [entry, isNew] = this->entries.try_emplace(organisation);
    entry->second.limit = enforced;
    if (isNew) {
      entry->second.bucket = TokenBucket(rate, capacity, 0, aNow);
    } else {
      entry->second.bucket.SetRateAndCapacity(aNow, rate, capacity);
    }
  }
}

void OrganisationBuckets::CountDemand(Instant aNow, const OrganisationName& aOrganisation)
{
  const auto entry = this->entries.find(aOrganisation);
  if (entry != this->entries.end()) {
    entry->second.demand.RecordRequests(aNow);
  }
}

void OrganisationBuckets::CountPeerDemand(Instant aNow,
                                          const OrganisationName& aOrganisation,
                                          std::uint32_t aCount)
{
  const auto entry = this->entries.find(aOrganisation);
  if (entry != this->entries.end()) {
    entry->second.peerDemand.RecordRequests(aNow, aCount);
  }
}

bool OrganisationBuckets::TryTake(Instant aNow, const OrganisationName& aOrganisation)
{
  const auto found = this->entries.find(aOrganisation);
  if (found == this->entries.end()) {
    return false;
  }
  Entry& entry = found->second;
  if (aNow < this->leaseExpiresAt && entry.bucket.TryTake(aNow)) {
    return true;
  }
  if (entry.receivedTokens == 0 || aNow >= entry.receivedTokensExpireAt) {
    return false;
  }
  --entry.receivedTokens;
  return true;
}

std::optional<Instant> OrganisationBuckets::TokensAvailableAt(Instant aNow,
                                                              const OrganisationName& aOrganisation,
                                                              std::size_t aCount)
{
  const auto entry = this->entries.find(aOrganisation);
  if (entry == this->entries.end() || aNow >= this->leaseExpiresAt) {
    return std::nullopt;
  }
  return entry->second.bucket.AvailableAt(aNow, static_cast<double>(aCount));
}

std::uint32_t OrganisationBuckets::TakeSpare(Instant aNow,
                                             const OrganisationName& aOrganisation,
                                             std::uint32_t aWanted,
                                             double aReserveSeconds)
{
  const auto found = this->entries.find(aOrganisation);
  if (found == this->entries.end() || aNow >= this->leaseExpiresAt) {
    return 0;
  }
  Entry& entry = found->second;
  entry.bucket.Refill(aNow);
  const double spare = entry.bucket.Tokens() - aReserveSeconds * entry.demand.SmoothedRate(aNow);
  if (spare < 1) {
    return 0;
  }
  const std::uint32_t lentCount = std::min(aWanted, static_cast<std::uint32_t>(spare));
  entry.bucket.Remove(lentCount);
  return lentCount;
}

void OrganisationBuckets::Refund(Instant aNow, const OrganisationName& aOrganisation)
{
  const auto found = this->entries.find(aOrganisation);
  if (found != this->entries.end()) {
    found->second.bucket.Refill(aNow);
    found->second.bucket.Add(1);
  }
}

void OrganisationBuckets::AddReceived(Instant aNow,
                                      const OrganisationName& aOrganisation,
                                      std::uint32_t aCount)
{
  const auto found = this->entries.find(aOrganisation);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  if (aNow >= entry.receivedTokensExpireAt) {
    entry.receivedTokens = 0;
  }
  entry.receivedTokens += aCount;
  entry.receivedTokensExpireAt = aNow + kReceivedTokenLifetime;
}

std::string OrganisationBuckets::Describe(Instant aNow, const OrganisationName& aOrganisation) const
{
  const auto found = this->entries.find(aOrganisation);
  if (found == this->entries.end()) {
    return "no-limit-known";
  }
  const Entry& entry = found->second;
  std::array<char, 128> text{};
  std::snprintf(text.data(),
                text.size(),
                "tokens:%.1f,rate:%.1f,capacity:%.1f,demand:%.1f,lease-ms:%lld",
                entry.bucket.Tokens(),
                entry.bucket.Rate(),
                entry.bucket.Capacity(),
                entry.demand.SmoothedRate(aNow),
                static_cast<long long>((this->leaseExpiresAt - aNow).count() / 1000));
  return text.data();
}

double OrganisationBuckets::LocalDemand(Instant aNow, const OrganisationName& aOrganisation) const
{
  const auto entry = this->entries.find(aOrganisation);
  return entry == this->entries.end() ? 0 : entry->second.demand.SmoothedRate(aNow);
}

double OrganisationBuckets::RateOfParts(const OrganisationName& aOrganisation, double aParts) const
{
  const auto entry = this->entries.find(aOrganisation);
  return entry == this->entries.end() ? 0 : entry->second.limit.ratePerSecond * aParts / kRateParts;
}

std::map<OrganisationName, double> OrganisationBuckets::Demand(Instant aNow) const
{
  std::map<OrganisationName, double> demand;
  for (const auto& [organisation, entry] : this->entries) {
    demand[organisation] = entry.demand.SmoothedRate(aNow) + entry.peerDemand.SmoothedRate(aNow);
  }
  return demand;
}

} // namespace mustardshift::proxy
