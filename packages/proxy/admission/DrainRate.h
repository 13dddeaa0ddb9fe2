#pragma once

#include "core/base/Instant.h"

#include <optional>

namespace mustardshift::proxy {

/** Rate at which work of one organisation starts while some of it waits.

    Thread safety: none; one thread owns the object. */
class DrainRate
{
public:
  /** Time after which an earlier start counts with a weight of 1/e. */
  static constexpr Duration kMemory = std::chrono::seconds(1);
  /** Time of waiting after which the rate is known: some ten starts of an organisation with a
      large share of a loaded server. */
  static constexpr Duration kMinTime = std::chrono::milliseconds(250);

  DrainRate() = default;

  /** The organisation, which had nothing waiting, waits from now on. What was known no longer
      holds: single items that wait now and then start at another rate than a queue. */
  void BeginWaiting(Instant aNow) { *this = DrainRate(aNow); }

  /** Waiting work starts. */
  void RecordStart(Instant aNow, double aWork);

  /** Expected time until an amount of work has started; nothing if the rate is not known. */
  std::optional<Duration> TimeFor(double aWork) const;

private:
  explicit DrainRate(Instant aNow)
    : countedUntil(aNow)
  {
  }

  double startedWork = 0;
  /** Time in which the work started, in microseconds. */
  double time = 0;
  Instant countedUntil{};
};

} // namespace mustardshift::proxy
