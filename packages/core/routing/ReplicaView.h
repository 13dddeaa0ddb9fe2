#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/session/LogPosition.h"
#include "core/session/TermHistory.h"

#include <cstdint>

namespace mustardshift {

/** What a VM knows of one replica, which is a server other than the present primary. It may be out
    of date; since a replica never loses a position that is on a majority, an old view only
    understates what the replica holds. */
struct ReplicaView
{
  ServerAddress address;
  /** Term that the replica has accepted. */
  std::uint64_t acceptedTerm = 0;
  /** End of its log, with the term of the last entry. */
  LogPosition position;
  /** History of its log. */
  TermHistory history;
  /** Instant before the request that returned the position was sent. */
  Instant observedAt;
  /** Requests of this VM that the replica has not answered yet. */
  std::uint32_t outstanding = 0;
  /** Estimated time until the replica holds what the primary holds now. */
  Duration estimatedLag{ 0 };
  /** Failed requests since the last successful one. */
  std::uint32_t consecutiveFailures = 0;
  /** When the last request failed; meaningful if consecutiveFailures > 0. */
  Instant lastFailure;
  /** Whether the replica is in the VM's own failure domain. */
  bool isLocal = false;
  /** False while operators have drained the replica's failure domain. */
  bool inService = true;

  /** Whether everything in the server's log is on a majority of the group, so that a session may
      see it. True for a server other than the primary of aTerm whose log has reached aTerm: the
      primary and this server then both hold it.

      A server in a lower term may be a deposed primary with entries that no other server has. One
      whose log hasn't reached its accepted term may hold entries of an earlier term that the new
      primary has copied to it and that a further promotion can still discard.

      @param aTerm  the group's present term as the VM knows it. */
  bool IsReadableIn(std::uint64_t aTerm) const
  {
    return aTerm > 0 && this->acceptedTerm == aTerm &&
           (this->position.term == aTerm || this->position.offset == 0);
  }
};

} // namespace mustardshift
