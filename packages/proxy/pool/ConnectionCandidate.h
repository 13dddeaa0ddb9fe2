#pragma once

#include "proxy/cluster/ServerRecord.h"

namespace mustardshift::proxy {

/** A server that can run a statement. */
struct ConnectionCandidate
{
  ServerId server;
  /** Added to the server's load, in statements per slot. A higher penalty directs work to other
      servers. */
  double penalty = 0;
};

} // namespace mustardshift::proxy
