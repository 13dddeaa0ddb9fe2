#include "proxy/rate/OrganisationBuckets.h"

#include <algorithm>

namespace mustardshift::proxy {

namespace {

/** Capacity of a bucket with a small share; a whole token has to fit. */
constexpr double kLeastCapacity = 1.5;

} // namespace

void OrganisationBuckets::Configure(Instant aNow,
                                    const std::map<OrganisationName, OrganisationLimit>& aLimits,
                                    const RateAllocation& aAllocation)
{
  std::erase_if(this->entries, [&](const auto& aEntry) { return !aLimits.contains(aEntry.first); });
  for (const auto& [organisation, limit] : aLimits) {
    const double part =
      static_cast<double>(aAllocation.PartsOf(organisation, this->self)) / kRateParts;
    const double rate = limit.ratePerSecond * part;
    const double capacity = part > 0 ? std::max(kLeastCapacity, limit.burst * part) : 0;
    const auto [entry, isNew] = this->entries.try_emplace(organisation);
    if (isNew) {
      entry->second.bucket = TokenBucket(rate, capacity, 0, aNow);
    } else {
      entry->second.bucket.Change(aNow, rate, capacity);
    }
  }
}

void OrganisationBuckets::CountDemand(Instant aNow, const OrganisationName& aOrganisation)
{
  const auto entry = this->entries.find(aOrganisation);
  if (entry != this->entries.end()) {
    entry->second.demand.Ask(aNow);
  }
}

bool OrganisationBuckets::TryTake(Instant aNow, const OrganisationName& aOrganisation)
{
  const auto entry = this->entries.find(aOrganisation);
  return entry != this->entries.end() && aNow < this->leaseUntil &&
         entry->second.bucket.TryTake(aNow);
}

std::optional<Instant> OrganisationBuckets::NextToken(Instant aNow,
                                                      const OrganisationName& aOrganisation)
{
  const auto entry = this->entries.find(aOrganisation);
  if (entry == this->entries.end() || aNow >= this->leaseUntil) {
    return std::nullopt;
  }
  return entry->second.bucket.TimeOf(aNow, 1);
}

std::map<OrganisationName, double> OrganisationBuckets::Demand(Instant aNow) const
{
  std::map<OrganisationName, double> demand;
  for (const auto& [organisation, entry] : this->entries) {
    demand[organisation] = entry.demand.Rate(aNow);
  }
  return demand;
}

} // namespace mustardshift::proxy
