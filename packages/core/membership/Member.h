#pragma once

#include "core/base/Names.h"
#include "core/membership/VmIncarnation.h"

#include <cstdint>
#include <string>

namespace mustardshift {

/** A VM other than this one, as MemberTable sees it at one moment. */
struct Member
{
  VmId vm;
  /** Zero when the VM is listed, but not registered. */
  std::uint64_t incarnation = 0;
  std::string peerAddress;
  FailureDomainName failureDomain;
  /** A ping sent lately was answered. */
  bool isReachable = false;
  /** The VM, or its failure domain, is drained, or it leaves: it takes no new work. */
  bool isDrained = false;
};

} // namespace mustardshift
