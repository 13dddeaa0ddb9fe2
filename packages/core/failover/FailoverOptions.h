#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <cstdint>
#include <vector>

namespace mustardshift {

/** Settings of a FailoverStateMachine. */
struct FailoverOptions
{
  DatabaseName database;
  std::vector<ServerAddress> servers;
  VmId self;
  FailureDomainName failureDomain;
  /** Increases with each start of the process. Part of the operation ids, which makes them unique
      across restarts. */
  std::uint64_t incarnation = 0;

  /** A VM delays its attempt by this duration multiplied by its rank. It is a multiple of the time
      that a promotion takes without faults, so the VM of the first rank usually finishes before the
      next one starts. */
  Duration delayPerRank{ 150'000 };
  /** Highest rank whose delay is longer than that of the previous rank; higher ranks wait as long
      as this one, with more jitter. */
  unsigned maxDelayRank = 12;
  /** Time to wait for the answers of peers. */
  Duration queryTimeout{ 300'000 };
  /** Interval at which an unanswered command to a server is sent again. */
  Duration resendInterval{ 300'000 };
  /** Time after which an unfinished fencing or promoting phase is abandoned. */
  Duration phaseTimeout{ 2'000'000 };
  /** Time to wait for an answer of the platform before it counts as lost. */
  Duration platformTimeout{ 1'000'000 };
  /** Time to wait for further servers to accept the term, if the majority that has accepted it
      includes a suspected primary or a drained server. */
  Duration candidateWait{ 200'000 };
  /** Time for a VM that has fenced a group to record a primary before another VM takes over. */
  Duration takeoverDelay{ 1'000'000 };
  /** Age beyond which a server's report is considered outdated. */
  Duration reportLifetime{ 3'000'000 };
  /** Upper limit of the first pause after a failed attempt, before jitter; doubled with each
      further failure. */
  Duration initialBackoff{ 200'000 };
  /** Limit of that doubling. Three pauses of this length and one attempt fit into the 16 s that a
      change of the primary may take. */
  Duration maxBackoff{ 2'000'000 };
  /** Interval at which Follow is sent again to replicas that lag behind, and Promote to a primary
      that has not written in its term yet. */
  Duration roleResendInterval{ 2'000'000 };
};

} // namespace mustardshift
