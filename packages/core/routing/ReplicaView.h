#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/session/LogPosition.h"
#include "core/session/TermHistory.h"

#include <cstdint>

namespace mustardshift {

/** What a VM knows about one replica, which is any server other than the current primary. The view
    may be outdated. A replica never loses log entries that a majority of the servers holds, so an
    outdated view only understates which of those entries the replica holds. */
struct ReplicaView
{
  ServerAddress address;
  /** Term that the replica has accepted. */
  std::uint64_t acceptedTerm = 0;
  /** End of the replica's log: the term of the last entry and the number of entries. */
  LogPosition position;
  /** Terms in the replica's log and the start of each. */
  TermHistory history;
  /** Instant before the request that returned the position was sent. */
  Instant observedAt;
  /** Number of requests of this VM that the replica has not answered yet. */
  std::uint32_t outstanding = 0;
  /** Estimated time until the replica has received everything that the primary's log holds now. */
  Duration estimatedLag{ 0 };
  /** Number of failed requests since the last successful one. */
  std::uint32_t consecutiveFailures = 0;
  /** Time of the last failed request; valid only if consecutiveFailures > 0. */
  Instant lastFailure;
  /** Whether the replica is in the VM's own failure domain. */
  bool isLocal = false;
  /** False while the replica's failure domain is drained by operators. */
  bool inService = true;

  /** Whether a majority of the group holds every entry in the replica's log, so that sessions may
      read all of it. This is the case if the log has reached aTerm, because both the primary of
      aTerm and this replica hold the entries then.

      The log is not readable on a server in a lower term, which may be a deposed primary with
      entries that no other server has. Nor is it readable on a server whose log hasn't reached its
      accepted term: that log may hold entries of an earlier term that the new primary has copied to
      it and that a further promotion can still discard.

      @param aTerm  the group's current term as known to the VM. */
  bool IsReadableIn(std::uint64_t aTerm) const
  {
    return aTerm > 0 && this->acceptedTerm == aTerm &&
           (this->position.term == aTerm || this->position.offset == 0);
  }
};

} // namespace mustardshift
