#pragma once

#include "core/base/Instant.h"

#include <cstdint>

namespace mustardshift {

/** Result of asking for a token of an organisation for one request. */
struct Admission
{
  /** True: the token was taken and the request may proceed. False: call
      OrganisationQuota::RetryAdmission() with this object at waitUntil. */
  bool isAdmitted = false;
  Instant waitUntil{};
  std::uint64_t ticket = 0;
};

} // namespace mustardshift
