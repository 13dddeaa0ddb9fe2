#pragma once

#include "core/base/Names.h"

#include <compare>
#include <cstdint>

namespace mustardshift {

/** Names a loan of quota: a number that its lender's process gave out once. */
struct QuotaLoanId
{
  VmId lender;
  std::uint64_t lenderIncarnation = 0;
  std::uint64_t number = 0;

  friend auto operator<=>(const QuotaLoanId&, const QuotaLoanId&) = default;
};

} // namespace mustardshift
