#pragma once

#include "core/base/Instant.h"

namespace mustardshift::proxy {

/** Average times of a server's reads, lately and in its past.

    Thread safety: none; one thread owns the object. */
class ReadTimes
{
public:
  void Record(Duration aTime);
  /** Forgets the recent average, not the past. */
  void ClearRecent();

  /** Average of the last reads; zero if there are too few to judge by. */
  Duration Recent() const;
  /** Average of several hundred reads; zero if there are too few. */
  Duration Past() const;

private:
  double recent = 0;
  unsigned recentCount = 0;
  double past = 0;
  unsigned pastCount = 0;
};

} // namespace mustardshift::proxy
