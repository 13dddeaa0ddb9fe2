#pragma once

#include "proxy/cluster/ServerRecord.h"
#include "proxy/routing/SelectionReason.h"

#include <vector>

namespace mustardshift::proxy {

/** Servers in the order in which a statement should try them. */
struct SelectionResult
{
  std::vector<ServerId> servers;
  /** Why the first one is first. */
  SelectionReason reason = SelectionReason::Only;
  /** The first one is in another failure domain. */
  bool crossesDomains = false;
};

} // namespace mustardshift::proxy
