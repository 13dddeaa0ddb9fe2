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
  /** Grows with each start of the process; part of the operation ids. */
  std::uint64_t incarnation = 0;

  /** Each VM waits this long times its rank, so that usually the first one finishes before the
      second one starts; it is a multiple of the time that a promotion takes without faults. */
  Duration delayPerRank{ 150'000 };
  /** Highest rank that still waits longer than the one before. */
  unsigned maximumDelayRank = 12;
  /** Wait for the answers of peers. */
  Duration queryTimeout{ 300'000 };
  /** Time after which an unanswered command to a server is sent again. */
  Duration resendInterval{ 300'000 };
  /** Time after which fencing or promoting is given up. */
  Duration serverTimeout{ 2'000'000 };
  /** Wait for an answer of the platform before it counts as lost. */
  Duration platformTimeout{ 1'000'000 };
  /** Wait for the remaining server when the suspected primary is needed for the majority. */
  Duration candidateWait{ 200'000 };
  /** Time that a VM which fenced a group has to record a primary before another one steps in. */
  Duration takeoverDelay{ 1'000'000 };
  /** Age beyond which a server's report says nothing about the present. */
  Duration reportLifetime{ 3'000'000 };
  Duration backoffMinimum{ 200'000 };
  /** Three of these and one attempt fit into the 16 s that a primary change may take. */
  Duration backoffMaximum{ 2'000'000 };
  /** Replicas that lag behind are told again whom to follow this often, and a primary that has not
      written in its term yet that it leads. */
  Duration roleResendInterval{ 2'000'000 };
};

} // namespace mustardshift
