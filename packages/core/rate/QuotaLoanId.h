#pragma once

#include "core/base/Names.h"

#include <compare>
#include <cstdint>

namespace mustardshift {

/** Identifies a loan of quota by a number that is unique within the process of the lender. */
struct QuotaLoanId
{
  VmId lender;
  std::uint64_t lenderIncarnation = 0;
  std::uint64_t number = 0;

  friend auto operator<=>(const QuotaLoanId&, const QuotaLoanId&) = default;
};

} // namespace mustardshift
