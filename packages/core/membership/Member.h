#pragma once

#include "core/base/Names.h"
#include "core/membership/VmIncarnation.h"

#include <cstdint>
#include <string>

namespace mustardshift {

/** State of another VM at one moment, according to MemberTable. */
struct Member
{
  VmId vm;
  /** Incarnation of the VM's registration; zero when the VM is listed but not registered. */
  std::uint64_t incarnation = 0;
  std::string peerAddress;
  FailureDomainName failureDomain;
  /** True when the VM answered a ping that was sent within kReachabilityTimeout. */
  bool isReachable = false;
  /** True when the VM accepts no new work, because it or its failure domain is drained or because
      it is about to be removed. */
  bool isDrained = false;
};

} // namespace mustardshift
