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

/** The quotas of all organisations on one VM; see OrganisationQuota for what each method does.

    Thread safety: none; one thread owns the table. */
class OrganisationQuotaTable
{
public:
  OrganisationQuotaTable(VmId aSelf, std::uint64_t aIncarnation);

  /** Takes over the organisations of an accepted configuration. An organisation that is not among
      them is refused from now on; what was lent of its quota stays on record, so that one that
      returns under the same name counts the loans that still run. */
  void Configure(Instant aNow, const std::vector<Organisation>& aOrganisations);

  /** Sets the held shards for all organisations; the same rules as OrganisationQuota::SetShards. */
  void SetShards(Instant aNow, std::vector<HeldQuotaShard> aShards);

  /** Asks for a token. An unknown organisation is refused with RateExceeded, NotRun. */
  Outcome<Admission> Admit(Instant aNow, const OrganisationName& aOrganisation);
  Outcome<Admission> RetryAdmission(Instant aNow,
                                    const OrganisationName& aOrganisation,
                                    const Admission& aAdmission);
  void CancelWait(const OrganisationName& aOrganisation, const Admission& aAdmission);

  /** A request for an unknown organisation gets a grant of zero units. */
  QuotaLoanGrant Lend(Instant aNow, const QuotaLoanRequest& aRequest);
  bool Borrow(Instant aNow, const QuotaLoanGrant& aGrant, Instant aRequestSent);
  std::vector<QuotaLoanRequest> PlanLoanRequests(Instant aNow, const std::vector<VmId>& aPeers);

  /** Requests for tokens of one organisation; see OrganisationQuota::PlanTokenRequests. */
  std::vector<QuotaLoanRequest> PlanTokenRequests(Instant aNow,
                                                  const OrganisationName& aOrganisation,
                                                  const std::vector<VmId>& aPeers);

  /** Returns the quota of a configured organisation, or nullptr. The pointer stays valid as long as
      the table. */
  OrganisationQuota* Find(const OrganisationName& aOrganisation);

private:
  VmId self;
  std::uint64_t incarnation;
  std::vector<HeldQuotaShard> shards;
  struct Entry
  {
    OrganisationQuota quota;
    /** False once the organisation left the configuration. The quota is kept: its numbers of loans
        and requests must never be given out twice. */
    bool isConfigured = true;
  };
  std::map<OrganisationName, Entry> entries;
};

} // namespace mustardshift
