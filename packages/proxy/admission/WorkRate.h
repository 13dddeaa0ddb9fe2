#pragma once

#include "core/base/Instant.h"

namespace mustardshift::proxy {

/** Rate at which work of one level starts, as an average over about a second.

    Thread safety: none; one thread owns the object. */
class WorkRate
{
public:
  /** Time after which an earlier start counts with a weight of 1/e. */
  static constexpr Duration kMemory = std::chrono::seconds(1);

  void RecordStart(Instant aNow, Duration aCost);

  /** Expected work that starts in a unit of time; 1 keeps one slot busy. */
  double WorkPerTime(Instant aNow) const;
  /** Average expected time of what started; zero if nothing did. */
  Duration AverageCost() const;

private:
  double Decay(Instant aNow) const;

  /** Sum and number of the costs, each weighted by its age. */
  double microseconds = 0;
  double count = 0;
  Instant changedAt{};
};

} // namespace mustardshift::proxy
