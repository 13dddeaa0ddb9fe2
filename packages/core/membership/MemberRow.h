#pragma once

#include "core/base/Names.h"
#include "core/membership/RegistrationRow.h"

#include <string>

namespace mustardshift {

/** A VM's registration with where it is. */
struct MemberRow
{
  RegistrationRow registration;
  /** Where the VM's peers reach it, "IP:port". */
  std::string peerAddress;
  FailureDomainName failureDomain;

  friend bool operator==(const MemberRow&, const MemberRow&) = default;
};

} // namespace mustardshift
