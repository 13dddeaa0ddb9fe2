#include "proxy/shutdown/ShutdownSchedule.h"

#include <algorithm>

namespace mustardshift::proxy {

ShutdownSchedule MakeShutdownSchedule(Instant aRequestedAt, Duration aGracePeriod)
{
  const Instant graceEnd = aRequestedAt + aGracePeriod;
  ShutdownSchedule schedule;
  schedule.forcedExitAt = std::max(aRequestedAt, graceEnd - ShutdownSchedule::kForcedExitMargin);
  schedule.answerAt = std::max(aRequestedAt, graceEnd - ShutdownSchedule::kLastAnswerMargin);
  schedule.exitAt = std::max(aRequestedAt, graceEnd - ShutdownSchedule::kExitMargin);
  schedule.refuseAt = std::max(aRequestedAt, schedule.exitAt - ShutdownSchedule::kRefusalLead);
  schedule.closeIdleAt =
    std::min(schedule.refuseAt, aRequestedAt + ShutdownSchedule::kLoadBalancerRemovalDelay);
  return schedule;
}

} // namespace mustardshift::proxy
