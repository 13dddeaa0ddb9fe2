#pragma once

#include "core/base/Instant.h"

namespace mustardshift::proxy {

/** Number of statements that may be at a server at once. It falls when the server rejects work as
    busy, or when its answers become slow although no work of ours was ahead: others then use its
    slots. It grows again with answers at the usual speed.

    Thread safety: none; one thread owns the object. */
class ConcurrencyLimit
{
public:
  /** Preconditions: 0 < aSlots <= aMaximum. */
  ConcurrencyLimit(unsigned aSlots, unsigned aMaximum);

  /** Applies a new number of slots. Same preconditions. */
  void SetSlots(unsigned aSlots, unsigned aMaximum);

  /** Between 1 and the maximum. */
  unsigned Current() const { return static_cast<unsigned>(this->value); }

  /** Records a rejection as busy. Rejections within aStatementTime count as one, since their
      statements were sent under the same limit.
      @param aInFlight  statements that were at the server, with the rejected one. */
  void RecordBusy(Instant aNow, unsigned aInFlight, Duration aStatementTime);

  /** Records an answer.
      @param aSlowness  its time in relation to the usual one; 1 if work of ours was ahead of it.
      @param aWasFull  as many statements were at the server as the limit allows. */
  void RecordAnswer(double aSlowness, bool aWasFull);

private:
  double maximum = 1;
  /** Slow answers don't lower the limit below this. */
  double slowFloor = 1;
  double value = 1;
  double averageSlowness = 1;
  Instant lowerAgainAt{};
};

} // namespace mustardshift::proxy
