#pragma once

#include <chrono>

namespace mustardshift {

/** Span of time, in microseconds. */
using Duration = std::chrono::microseconds;

/** Type of the clock that all deadlines refer to (CLOCK_BOOTTIME). It advances while the machine is
    suspended and while the process is stopped. The core never reads the clock: functions whose
    result depends on the current time take it as an argument. */
struct BootClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): chrono's name
};

/** Point in time on the boot clock of one VM. Values from different VMs can't be compared. */
using Instant = BootClock::time_point;

} // namespace mustardshift
