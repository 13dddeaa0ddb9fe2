#pragma once

#include "core/base/Names.h"
#include "protocol/peer/PeerHeader.h"

namespace mustardshift {

/** Asks a peer to lend a part of an organisation's rate. */
struct QuotaLoanRequest
{
  PeerHeader header;
  OrganisationName organisation;
  /** Requests per second; finite, not negative. */
  double rate = 0;
  /** Tokens to be had at once; finite, not negative. */
  double tokens = 0;

  friend bool operator==(const QuotaLoanRequest&, const QuotaLoanRequest&) = default;
};

} // namespace mustardshift
