#pragma once

#include "core/base/Names.h"
#include "core/rate/QuotaLoanId.h"
#include "core/rate/QuotaUnits.h"

#include <cstdint>
#include <optional>

namespace mustardshift {

/** Request to a peer VM for a loan of quota of one organisation, for the extension of a running
    loan, or for tokens alone. */
struct QuotaLoanRequest
{
  OrganisationName organisation;
  /** The peer that receives the request. */
  VmId lender;
  VmId borrower;
  std::uint64_t borrowerIncarnation = 0;
  /** Unique within the borrower's incarnation; the grant contains the same number. */
  std::uint64_t number = 0;
  /** Number of units requested; the grant may be smaller. */
  QuotaUnits units = 0;
  /** The loan to extend; not set for a new loan. */
  std::optional<QuotaLoanId> extends;
  /** Number of tokens requested for requests that are waiting now; set only if units is zero. The
      tokens expire soon if they are not used, and bring no share of the rate. */
  double tokens = 0;

  friend bool operator==(const QuotaLoanRequest&, const QuotaLoanRequest&) = default;
};

} // namespace mustardshift
