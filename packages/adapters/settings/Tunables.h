#pragma once

#include "core/base/Instant.h"

#include <chrono>
#include <cstdint>

namespace mustardshift {

/** Values that one VM may choose for itself. Spans that VMs rely on of each other (leases, loans,
    the configuration trust bound) are constants instead: a VM with a shorter lease than its peers
    assume would break the rate limits. */
struct Tunables
{
  /** Connections that are opened to each server before requests need them. */
  std::uint32_t connectionOpenAhead = 2;
  /** Requests that may wait for one server. */
  std::uint32_t queueLimit = 1024;
  /** Deadline of a request that names none. */
  Duration requestTimeout = std::chrono::seconds(5);
  /** Longest time that a transaction may stay open. */
  Duration transactionTimeout = std::chrono::seconds(10);
  /** Longest time that a graceful shutdown waits for open work. At least transactionTimeout. */
  Duration shutdownTimeout = std::chrono::seconds(15);
  /** Longest time that a read waits for a replica to reach its position. */
  Duration replicaWaitBound = std::chrono::milliseconds(20);
  /** Longest time that a request waits for rate before it is refused. */
  Duration rateWaitBound = std::chrono::milliseconds(50);
  /** Time between probes of each database server. */
  Duration probeInterval = std::chrono::milliseconds(200);
  /** Silence after which a primary is suspected. At least twice probeInterval. */
  Duration suspicionTimeout = std::chrono::milliseconds(600);
  /** Time between reads of the configuration's head. At most 2 s, since a VM has to confirm its
      configuration within 5 s even when one read is lost. */
  Duration configurationPollInterval = std::chrono::seconds(1);
  /** Time over which a server that returned to service regains its full share of work. */
  Duration slowStartDuration = std::chrono::seconds(10);

  friend bool operator==(const Tunables&, const Tunables&) = default;
};

} // namespace mustardshift
