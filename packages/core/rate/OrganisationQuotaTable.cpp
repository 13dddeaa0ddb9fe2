#include "core/rate/OrganisationQuotaTable.h"

#include <utility>

namespace mustardshift {

namespace {

tl::unexpected<Refusal> RefuseUnknownOrganisation()
{
  return RefuseNotRun(Reason::RateExceeded, "the organisation has no configured rate");
}

} // namespace

OrganisationQuotaTable::OrganisationQuotaTable(VmId aSelf, std::uint64_t aIncarnation)
  : self(std::move(aSelf))
  , incarnation(aIncarnation)
{
}

void OrganisationQuotaTable::Configure(Instant aNow,
                                       const std::vector<Organisation>& aOrganisations)
{
  for (auto& [name, entry] : this->entries) {
    entry.isConfigured = false;
  }
  for (const Organisation& organisation : aOrganisations) {
    const auto [place, isNew] = this->entries.try_emplace(
      organisation.name,
      Entry{ OrganisationQuota(
        organisation.name, this->self, this->incarnation, organisation.rate, organisation.burst) });
    Entry& entry = place->second;
    entry.isConfigured = true;
    if (isNew) {
      entry.quota.SetShards(aNow, this->shards);
    } else {
      entry.quota.Configure(aNow, organisation.rate, organisation.burst);
    }
  }
  for (auto& [name, entry] : this->entries) {
    if (!entry.isConfigured) {
      entry.quota.Configure(aNow, 0, 0);
    }
  }
}

void OrganisationQuotaTable::SetShards(Instant aNow, std::vector<HeldQuotaShard> aShards)
{
  this->shards = std::move(aShards);
  for (auto& [name, entry] : this->entries) {
    entry.quota.SetShards(aNow, this->shards);
  }
}

Outcome<Admission> OrganisationQuotaTable::Admit(Instant aNow,
                                                 const OrganisationName& aOrganisation)
{
  OrganisationQuota* quota = this->Find(aOrganisation);
  if (quota == nullptr) {
    return RefuseUnknownOrganisation();
  }
  return quota->Admit(aNow);
}

Outcome<Admission> OrganisationQuotaTable::RetryAdmission(Instant aNow,
                                                          const OrganisationName& aOrganisation,
                                                          const Admission& aAdmission)
{
  OrganisationQuota* quota = this->Find(aOrganisation);
  if (quota == nullptr) {
    return RefuseUnknownOrganisation();
  }
  return quota->RetryAdmission(aNow, aAdmission);
}

void OrganisationQuotaTable::CancelWait(const OrganisationName& aOrganisation,
                                        const Admission& aAdmission)
{
  if (OrganisationQuota* quota = this->Find(aOrganisation)) {
    quota->CancelWait(aAdmission);
  }
}

QuotaLoanGrant OrganisationQuotaTable::Lend(Instant aNow, const QuotaLoanRequest& aRequest)
{
  if (OrganisationQuota* quota = this->Find(aRequest.organisation)) {
    return quota->Lend(aNow, aRequest);
  }
  QuotaLoanGrant refusal;
  refusal.organisation = aRequest.organisation;
  refusal.loan.lender = this->self;
  refusal.loan.lenderIncarnation = this->incarnation;
  refusal.borrower = aRequest.borrower;
  refusal.borrowerIncarnation = aRequest.borrowerIncarnation;
  refusal.requestNumber = aRequest.number;
  refusal.isExtension = aRequest.extends.has_value();
  return refusal;
}

bool OrganisationQuotaTable::Borrow(Instant aNow,
                                    const QuotaLoanGrant& aGrant,
                                    Instant aRequestSent)
{
  OrganisationQuota* quota = this->Find(aGrant.organisation);
  return quota != nullptr && quota->Borrow(aNow, aGrant, aRequestSent);
}

std::vector<QuotaLoanRequest> OrganisationQuotaTable::PlanLoanRequests(
  Instant aNow,
  const std::vector<VmId>& aPeers)
{
  std::vector<QuotaLoanRequest> requests;
  for (auto& [name, entry] : this->entries) {
    if (!entry.isConfigured) {
      continue;
    }
    for (QuotaLoanRequest& request : entry.quota.PlanLoanRequests(aNow, aPeers)) {
      requests.push_back(std::move(request));
    }
  }
  return requests;
}

std::vector<QuotaLoanRequest> OrganisationQuotaTable::PlanTokenRequests(
  Instant aNow,
  const OrganisationName& aOrganisation,
  const std::vector<VmId>& aPeers)
{
  OrganisationQuota* quota = this->Find(aOrganisation);
  return quota == nullptr ? std::vector<QuotaLoanRequest>()
                          : quota->PlanTokenRequests(aNow, aPeers);
}

OrganisationQuota* OrganisationQuotaTable::Find(const OrganisationName& aOrganisation)
{
  const auto place = this->entries.find(aOrganisation);
  if (place == this->entries.end() || !place->second.isConfigured) {
    return nullptr;
  }
  return &place->second.quota;
}

} // namespace mustardshift
