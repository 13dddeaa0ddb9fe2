#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "protocol/peer/PeerHeader.h"

namespace mustardshift {

/** Answers a QuotaLoanRequest. Zero rate and zero tokens refuse it. */
struct QuotaLoanGrant
{
  PeerHeader header;
  OrganisationName organisation;
  /** Requests per second; finite, not negative. */
  double rate = 0;
  /** Tokens to be had at once; finite, not negative. */
  double tokens = 0;
  /** The borrower counts it from before it sent its request. */
  Duration duration{ 0 };

  friend bool operator==(const QuotaLoanGrant&, const QuotaLoanGrant&) = default;
};

} // namespace mustardshift
