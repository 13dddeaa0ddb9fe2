#include "adapters/clock/SystemBootClock.h"

#include "core/base/Assert.h"

#include <chrono>
#include <ctime>

namespace mustardshift {

Instant SystemBootClock::Now() const
{
  timespec time{};
  const int result = clock_gettime(CLOCK_BOOTTIME, &time);
  MUSTARDSHIFT_ASSERT(result == 0);
  return Instant(std::chrono::seconds(time.tv_sec) +
                 std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace mustardshift
