#pragma once

#include "core/base/Names.h"
#include "core/failover/ServerReport.h"
#include "core/session/LogPosition.h"

#include <cstddef>
#include <set>

namespace mustardshift {

/** Decides when a write may be acknowledged, or a read at the primary answered: once a majority of
    the group's servers has reported the position while the position's term was their accepted
    term. The primary's answer is one of the reports.

    A promotion to a later term first has a majority accept that term. One server at least is in
    both majorities, and it reported the position before it accepted the later term; hence the later
    primary, chosen by the highest position, holds the write. The comparison of terms is done here,
    so it also holds for servers that keep on serving old terms.

    Thread safety: none. */
class AcknowledgementRule
{
public:
  /** @param aPosition  where the write stands in the log: its term, and the number of entries up to
                        and including it.
      Precondition: aServerCount > 0. */
  AcknowledgementRule(LogPosition aPosition, std::size_t aServerCount);

  /** Takes a report, or the primary's answer, and returns IsAcknowledged(). A server that was
      counted stays counted, whatever it reports later. */
  bool Record(const ServerAddress& aServer, const ServerReport& aReport);

  bool IsAcknowledged() const;

  /** False once so many servers have accepted a later term that no majority can come together. */
  bool CanBeAcknowledged() const;

private:
  LogPosition position;
  std::size_t serverCount;
  std::set<ServerAddress> confirmed;
  std::set<ServerAddress> superseded;
};

} // namespace mustardshift
