#include "proxy/rate/OrganisationBuckets.h"

namespace mustardshift::proxy {

void OrganisationBuckets::Configure(Instant aNow,
                                    const std::map<OrganisationName, OrganisationLimit>& aLimits,
                                    const RateAllocation& aAllocation)
{
  std::erase_if(this->entries, [&](const auto& aEntry) { return !aLimits.contains(aEntry.first); });
  for (const auto& [organisation, limit] : aLimits) {
    const double part =
      static_cast<double>(aAllocation.PartsOf(organisation, this->self)) / kRateParts;
    const OrganisationLimit enforced = EnforcedLimit(limit, this->tolerance);
    const double rate = enforced.ratePerSecond * part;
    const double capacity = enforced.burst * part;
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
    demand[organisation] = entry.demand.SteadyRate(aNow);
  }
  return demand;
}

} // namespace mustardshift::proxy
