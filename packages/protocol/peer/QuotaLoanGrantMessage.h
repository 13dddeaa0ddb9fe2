#pragma once

#include "core/rate/QuotaLoanGrant.h"
#include "protocol/peer/PeerHeader.h"

namespace mustardshift {

/** Answers a QuotaLoanRequestMessage. */
struct QuotaLoanGrantMessage
{
  PeerHeader header;
  QuotaLoanGrant grant;

  friend bool operator==(const QuotaLoanGrantMessage&, const QuotaLoanGrantMessage&) = default;
};

} // namespace mustardshift
