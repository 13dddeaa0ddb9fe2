#pragma once

#include "core/rate/QuotaLoanRequest.h"
#include "protocol/peer/PeerHeader.h"

namespace mustardshift {

/** Brings a QuotaLoanRequest to its lender. */
struct QuotaLoanRequestMessage
{
  PeerHeader header;
  QuotaLoanRequest request;

  friend bool operator==(const QuotaLoanRequestMessage&, const QuotaLoanRequestMessage&) = default;
};

} // namespace mustardshift
