#pragma once

#include "core/base/Names.h"
#include "core/rate/QuotaLoanId.h"
#include "core/rate/QuotaUnits.h"

#include <cstdint>
#include <optional>

namespace mustardshift {

/** Asks a peer for quota of one organisation, or to extend a loan that runs. */
struct QuotaLoanRequest
{
  OrganisationName organisation;
  /** The peer to ask. */
  VmId lender;
  VmId borrower;
  std::uint64_t borrowerIncarnation = 0;
  /** Unique within the borrower's incarnation; the grant repeats it. */
  std::uint64_t number = 0;
  /** What the borrower would like; the grant may be smaller. */
  QuotaUnits units = 0;
  /** The loan to extend, or nothing for a new loan. */
  std::optional<QuotaLoanId> extends;
  /** Tokens for requests that wait now; set in requests for zero units only. They are used at once
      or lost, and no rate goes along. */
  double tokens = 0;

  friend bool operator==(const QuotaLoanRequest&, const QuotaLoanRequest&) = default;
};

} // namespace mustardshift
