#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <cstdint>
#include <vector>

namespace mustardshift {

/** Servers, identity and timing of one FailoverStateMachine. */
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
  /** Highest rank whose delay is longer than that of the previous rank. VMs of higher ranks have
      the delay of this rank, with more jitter. */
  unsigned maxDelayRank = 12;
  /** Time to wait for the answers of peers. */
  Duration queryTimeout{ 300'000 };
  /** Interval at which an unanswered command to a server is sent again. */
  Duration resendInterval{ 300'000 };
  /** Time limit of the fencing phase and of the promoting phase. */
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
  /** Pause after the first failed attempt, before jitter; doubled with each further failed
      attempt. */
  Duration initialBackoff{ 200'000 };
  /** Maximum pause after a failed attempt, before jitter. Three pauses of this length and one
      attempt fit into the 16 s that a change of the primary may take. */
  Duration maxBackoff{ 2'000'000 };
  /** Interval at which Follow is sent again to replicas that lag behind, and Promote to a primary
      that has not written in its term yet. */
  Duration roleResendInterval{ 2'000'000 };
};

} // namespace mustardshift
