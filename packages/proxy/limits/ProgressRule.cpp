#include "proxy/limits/ProgressRule.h"

#include <algorithm>

namespace mustardshift::proxy {

Instant ProgressRule::DueAt(Instant aBegunAt, std::size_t aTransferredBytes) const
{
  const double seconds = static_cast<double>(aTransferredBytes) /
                         static_cast<double>(std::max<std::size_t>(1, this->minBytesPerSecond));
  const double maxSeconds = std::chrono::duration<double>(this->maxTime).count();
  const auto earned = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, maxSeconds)));
  return aBegunAt + std::min(this->maxTime, this->grace + earned);
}

} // namespace mustardshift::proxy
