#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/rate/QuotaLoanId.h"
#include "core/rate/QuotaUnits.h"

#include <cstdint>

namespace mustardshift {

/** A lender's answer to a QuotaLoanRequest. Zero units are a refusal: a new loan was not made, or
    the loan that was to be extended ends at its present deadline. */
struct QuotaLoanGrant
{
  OrganisationName organisation;
  QuotaLoanId loan;
  VmId borrower;
  std::uint64_t borrowerIncarnation = 0;
  std::uint64_t requestNumber = 0;
  bool isExtension = false;
  /** Answers a request for tokens alone. */
  bool isTokensOnly = false;
  QuotaUnits units = 0;
  /** Tokens that the lender gave up; zero for an extension. Tokens without units may be used for
      the grant's duration only. */
  double tokens = 0;
  /** How long the loan lasts from before the borrower's request was sent. */
  Duration duration{ 0 };

  friend bool operator==(const QuotaLoanGrant&, const QuotaLoanGrant&) = default;
};

} // namespace mustardshift
