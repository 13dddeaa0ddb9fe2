#pragma once

#include "core/rate/QuotaLoanRequest.h"
#include "protocol/peer/PeerHeader.h"

namespace mustardshift {

/** Sends a QuotaLoanRequest to the lender that it names. */
struct QuotaLoanRequestMessage
{
  PeerHeader header;
  QuotaLoanRequest request;

  friend bool operator==(const QuotaLoanRequestMessage&, const QuotaLoanRequestMessage&) = default;
};

} // namespace mustardshift
