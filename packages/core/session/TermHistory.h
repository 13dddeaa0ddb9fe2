#pragma once

#include "core/session/LogPosition.h"

#include <cstdint>
#include <vector>

namespace mustardshift {

/** The start of a term in a log. */
struct TermStart
{
  std::uint64_t term = 0;
  /** Offset of the first entry written in the term. */
  std::uint64_t firstOffset = 0;

  friend bool operator==(const TermStart&, const TermStart&) = default;
};

/** The terms in one server's log and the start of each, as reported by the server.

    A position (term, offset) denotes the first `offset` entries of the log of that term's primary.
    The history lists each term that occurs in a position of this log. A position of a term that is
    missing from the history counts as not held, because nothing shows that this log continues the
    log of that term.

    Thread safety: a value type; const methods may be called concurrently. */
class TermHistory
{
public:
  TermHistory() = default;
  /** Creates a history from the starts of terms, in any order. Entries of term 0 are ignored. Of
      two entries for the same term the one with the lower offset is used, because fewer positions
      then count as held. */
  explicit TermHistory(std::vector<TermStart> aStarts);

  /** Returns whether a server holds all entries up to a position. Returns false when this history
      doesn't prove it.

      A position with offset 0 is always held. If both positions are in the same term, their offsets
      are compared. A position of an earlier term is held only if its offset is not above the
      server's and lies before the first offset of every later term up to the server's, because a
      promotion truncates the log at the start of the new term. A position of a later term is not
      held.

      @param aServer  end of the server's log, whose history this is.
      @param aMinimumPosition  position up to which the server needs all entries. */
  bool Holds(LogPosition aServer, LogPosition aMinimumPosition) const;

  /** Returns the starts of the terms, in ascending order of the terms. */
  const std::vector<TermStart>& Starts() const { return this->starts; }

  friend bool operator==(const TermHistory&, const TermHistory&) = default;

private:
  std::vector<TermStart> starts;
};

} // namespace mustardshift
