#pragma once

#include "core/base/Instant.h"

#include <cstdint>

namespace mustardshift {

/** Answer to a request that asks for a token of its organisation. */
struct Admission
{
  /** True: the token is taken and the request may go on. False: ask again at waitUntil, with
      OrganisationQuota::RetryAdmission() and this ticket. */
  bool isAdmitted = false;
  Instant waitUntil{};
  std::uint64_t ticket = 0;
};

} // namespace mustardshift
