#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/rate/QuotaLoanId.h"
#include "core/rate/QuotaUnits.h"

#include <cstdint>

namespace mustardshift {

/** A lender's reply to a QuotaLoanRequest. If units is zero and isTokensOnly is false, the request
    is refused: no new loan was made, or the loan that was to be extended ends at its current
    deadline. */
struct QuotaLoanGrant
{
  OrganisationName organisation;
  QuotaLoanId loan;
  VmId borrower;
  std::uint64_t borrowerIncarnation = 0;
  std::uint64_t requestNumber = 0;
  bool isExtension = false;
  /** True if this is the reply to a request for tokens alone. */
  bool isTokensOnly = false;
  QuotaUnits units = 0;
  /** Tokens that the lender gave up; zero for an extension. Tokens that come without units may be
      used only for the duration of the grant. */
  double tokens = 0;
  /** Duration of the loan, counted from an instant before the borrower sent its request. */
  Duration duration{ 0 };

  friend bool operator==(const QuotaLoanGrant&, const QuotaLoanGrant&) = default;
};

} // namespace mustardshift
