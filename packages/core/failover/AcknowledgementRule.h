#pragma once

#include "core/base/Names.h"
#include "core/failover/ServerReport.h"
#include "core/session/LogPosition.h"

#include <cstddef>
#include <set>

namespace mustardshift {

/** Decides when a write may be acknowledged, or a read at the primary may be answered: once a
    majority of the group's servers has reported that its log reaches the position, while the
    position's term was its accepted term. The primary's own answer counts as one of the reports.

    Before a primary is promoted in a later term, a majority of the servers has to accept that term.
    The two majorities share at least one server, and that server reported the position before it
    accepted the later term. The new primary is the server with the highest position, so its log
    contains the write. This class compares the terms itself and therefore doesn't depend on servers
    refusing requests of old terms.

    Thread safety: none. */
class AcknowledgementRule
{
public:
  /** @param aPosition  position of the write in the log: its term, and the number of entries up to
                        and including it.
      Precondition: aServerCount > 0. */
  AcknowledgementRule(LogPosition aPosition, std::size_t aServerCount);

  /** Records a server's report, or the primary's answer, and returns IsAcknowledged(). A server
      that has confirmed the position stays counted, whatever it reports later. */
  bool Record(const ServerAddress& aServer, const ServerReport& aReport);

  bool IsAcknowledged() const;

  /** False once so many servers have accepted a later term that a majority can't be reached. */
  bool CanBeAcknowledged() const;

private:
  LogPosition position;
  std::size_t serverCount;
  std::set<ServerAddress> confirmingServers;
  std::set<ServerAddress> supersededServers;
};

} // namespace mustardshift
