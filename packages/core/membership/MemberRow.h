#pragma once

#include "core/base/Names.h"
#include "core/membership/RegistrationRow.h"

#include <string>

namespace mustardshift {

/** A VM's registration with its address and failure domain. */
struct MemberRow
{
  RegistrationRow registration;
  /** Address for connections from the VM's peers, "IP:port". */
  std::string peerAddress;
  FailureDomainName failureDomain;

  friend bool operator==(const MemberRow&, const MemberRow&) = default;
};

} // namespace mustardshift
