#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/rate/RateTolerance.h"
#include "proxy/session/SessionTimings.h"

#include <cstdint>
#include <string>

namespace mustardshift::proxy {

/** Settings of the session proxy's decisions. */
struct ProxySettings
{
  VmId vm;
  FailureDomainName domain;
  /** Where other VMs send datagrams, "IP:port"; empty for nowhere. */
  std::string peerAddress;
  /** Tells this process from earlier ones of the VM. */
  std::uint64_t incarnation = 0;
  /** How long a configuration may be used for requests with a key after it was last confirmed. */
  Duration maxConfirmationAge = std::chrono::milliseconds(4800);
  /** Longest hold of a watch on the configuration. Its confirmation is up to twice as old, and the
      rest of maxConfirmationAge is how long requests with a key are served without the store. */
  Duration configurationWatchTimeout = std::chrono::milliseconds(800);
  /** Longest hold of a watch on the list of servers. */
  Duration serverWatchTimeout = std::chrono::milliseconds(5000);
  /** An idle connection to a server is closed after this time; servers do so after 60 s. */
  Duration idleConnectionTimeout = std::chrono::seconds(20);
  /** Longest bound on age that routes have. */
  Duration maxRouteStaleness = std::chrono::seconds(5);
  RateTolerance rateTolerance;
  SessionTimings timings;
};

} // namespace mustardshift::proxy
