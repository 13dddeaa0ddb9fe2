#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "core/configuration/Organisation.h"
#include "core/lease/HeldQuotaShard.h"
#include "core/rate/Admission.h"
#include "core/rate/OrganisationQuota.h"
#include "core/rate/QuotaLoanGrant.h"
#include "core/rate/QuotaLoanRequest.h"

#include <cstdint>
#include <map>
#include <vector>

namespace mustardshift {

/** The quotas of all organisations on one VM. See OrganisationQuota for the description of each
    method.

    Thread safety: none; one thread owns the table. */
class OrganisationQuotaTable
{
public:
  OrganisationQuotaTable(VmId aSelf, std::uint64_t aIncarnation);

  /** Applies the organisations of an accepted configuration. Requests of an organisation that is
      not among them are refused from then on. The loans made of its quota remain recorded, so that
      they still count if an organisation of the same name is configured again. */
  void Configure(Instant aNow, const std::vector<Organisation>& aOrganisations);

  /** Sets the held shards for all organisations; see OrganisationQuota::SetShards(). */
  void SetShards(Instant aNow, std::vector<HeldQuotaShard> aShards);

  /** Requests a token. An unknown organisation is refused with RateExceeded, NotRun. */
  Outcome<Admission> Admit(Instant aNow, const OrganisationName& aOrganisation);
  Outcome<Admission> RetryAdmission(Instant aNow,
                                    const OrganisationName& aOrganisation,
                                    const Admission& aAdmission);
  void CancelWait(const OrganisationName& aOrganisation, const Admission& aAdmission);

  /** Replies to a loan request. A request for an unknown organisation gets a grant of zero
      units. */
  QuotaLoanGrant Lend(Instant aNow, const QuotaLoanRequest& aRequest);
  bool Borrow(Instant aNow, const QuotaLoanGrant& aGrant, Instant aRequestSent);
  std::vector<QuotaLoanRequest> PlanLoanRequests(Instant aNow, const std::vector<VmId>& aPeers);

  /** Returns the requests for tokens of one organisation; see
      OrganisationQuota::PlanTokenRequests(). */
  std::vector<QuotaLoanRequest> PlanTokenRequests(Instant aNow,
                                                  const OrganisationName& aOrganisation,
                                                  const std::vector<VmId>& aPeers);

  /** Returns the quota of a configured organisation, or nullptr. The pointer stays valid for the
      lifetime of the table. */
  OrganisationQuota* Find(const OrganisationName& aOrganisation);

private:
  VmId self;
  std::uint64_t incarnation;
  std::vector<HeldQuotaShard> shards;
  struct Entry
  {
    OrganisationQuota quota;
    /** False once the organisation is no longer configured. The quota is kept, because its loan and
        request numbers must never be reused. */
    bool isConfigured = true;
  };
  std::map<OrganisationName, Entry> entries;
};

} // namespace mustardshift
