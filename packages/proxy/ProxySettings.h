#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/coordination/FleetRole.h"
#include "proxy/rate/RateTolerance.h"
#include "proxy/session/SessionLimits.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace mustardshift::proxy {

/** Settings of SessionProxy. */
struct ProxySettings
{
  VmId vm;
  FailureDomainName domain;
  /** Address to which other VMs send datagrams, "IP:port"; empty if this VM receives none. */
  std::string peerAddress;
  /** Distinguishes this process from earlier processes of the same VM. */
  std::uint64_t incarnation = 0;
  /** Number of members that each failure domain should have, see MembersPerDomain(). */
  std::size_t membersPerDomain = kMaxMembersPerDomain;
  /** Cores that this VM has; VMs with more become members first. */
  double processorShare = 1;
  /** How long after its last confirmation a configuration may be used for requests with a key. */
  Duration maxConfirmationAge = std::chrono::milliseconds(4800);
  /** Longest time that the store holds a watch request on the configuration before it answers. A
      confirmation can be twice as old when the store becomes unavailable, so the remaining part of
      maxConfirmationAge is how long requests with a key are served then. */
  Duration configurationWatchTimeout = std::chrono::milliseconds(800);
  /** Longest time that the store holds a watch request on the list of servers before it answers. */
  Duration serverWatchTimeout = std::chrono::milliseconds(5000);
  /** A connection to a database server is closed after it has been idle for this time. Servers
      close idle connections after 60 s. */
  Duration idleConnectionTimeout = std::chrono::seconds(20);
  /** Largest SessionRoute::maxStaleness of all routes. */
  Duration maxRouteStaleness = std::chrono::seconds(5);
  RateTolerance rateTolerance;
  SessionLimits sessionLimits;
  /** VMs that may be attached to this one at the same time. */
  std::size_t maxAttachedVms = 2000;
};

} // namespace mustardshift::proxy
