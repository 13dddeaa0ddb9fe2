#pragma once

#include "core/base/Instant.h"

#include <cstddef>
#include <vector>

namespace mustardshift::proxy {

/** Load of one database server, as its gateway reports it to other VMs. */
struct ServerLoad
{
  /** Expected wait of a new statement by priority; lower priorities than the last one wait as
      the last one. Empty: none waits. */
  std::vector<Duration> expectedWaits;
  /** Statements at the server. */
  unsigned inFlight = 0;
  unsigned waiting = 0;
  /** Statements at the server and waiting for it, divided by its slots; average over about a
      second. */
  double utilisation = 0;
  /** Average time of a read, without waits; zero if none was measured. */
  Duration readTime{ 0 };
  /** For how long reads should still avoid the server (OutlierDetector); zero if it is in use. */
  Duration ejectedFor{ 0 };
  /** A small part of the reads may test the server although ejectedFor is not zero. */
  bool isProbed = false;

  /** Expected wait of a statement of a priority. */
  Duration ExpectedWait(unsigned aPriority) const
  {
    if (this->expectedWaits.empty()) {
      return Duration::zero();
    }
    return aPriority < this->expectedWaits.size() ? this->expectedWaits[aPriority]
                                                  : this->expectedWaits.back();
  }

  friend bool operator==(const ServerLoad&, const ServerLoad&) = default;
};

} // namespace mustardshift::proxy
