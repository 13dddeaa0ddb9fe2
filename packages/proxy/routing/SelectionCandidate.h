#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ServerRecord.h"

namespace mustardshift::proxy {

/** A server that may run a statement (ServerChooser), with what its rank depends on. */
struct SelectionCandidate
{
  ServerId server;
  FailureDomainName domain;
  unsigned slots = 1;
  bool isPrimary = false;
  /** Measured time to the server's gateway and back. */
  Duration roundTrip{ 0 };
};

} // namespace mustardshift::proxy
