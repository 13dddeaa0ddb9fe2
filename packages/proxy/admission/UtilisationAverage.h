#pragma once

#include "core/base/Instant.h"

namespace mustardshift::proxy {

/** Average over time of the part of a server's slots that is in use.

    Thread safety: none; one thread owns the object. */
class UtilisationAverage
{
public:
  /** Time after which an earlier value counts with a weight of 1/e. Covers some ten statements,
      and is short against the seconds in which load moves. */
  static constexpr Duration kMemory = std::chrono::seconds(1);

  /** Sets the value that holds from now on. */
  void Set(Instant aNow, double aValue);
  double Average(Instant aNow) const;

private:
  double current = 0;
  double average = 0;
  Instant changedAt{};
};

} // namespace mustardshift::proxy
