#pragma once

#include "core/session/LogPosition.h"

#include <cstdint>
#include <vector>

namespace mustardshift {

/** Start of a term in a log. */
struct TermStart
{
  std::uint64_t term = 0;
  /** Offset of the first entry written in the term. */
  std::uint64_t firstOffset = 0;

  friend bool operator==(const TermStart&, const TermStart&) = default;
};

/** The terms of one server's log and where each began, as the server reports them.

    A position (term, offset) stands for the first `offset` entries of the log that the term's
    primary wrote. The history lists each term that occurs in a position of this log; a position of
    a term that the history lacks counts as not held, because nothing shows that the log descends
    from that term's log.

    Thread safety: a value type; const methods may be called concurrently. */
class TermHistory
{
public:
  TermHistory() = default;
  /** Takes the terms in any order. Entries of term 0 are ignored; of two entries of the same term
      the lower offset counts, because it yields the smaller set of positions that are held. */
  explicit TermHistory(std::vector<TermStart> aStarts);

  /** Says whether a server whose log ends at aServer, and whose log has this history, holds
      everything up to aFloor. Returns false when the history doesn't show it.

      A floor of offset 0 requires nothing. Within one term the offsets are compared. A floor of an
      ended term is held only if its offset lies before the first offset of the next term: whatever
      lies behind was cut off by the promotion. */
  bool Holds(LogPosition aServer, LogPosition aFloor) const;

  /** Terms in ascending order. */
  const std::vector<TermStart>& Starts() const { return this->starts; }

  friend bool operator==(const TermHistory&, const TermHistory&) = default;

private:
  std::vector<TermStart> starts;
};

} // namespace mustardshift
