#include "proxy/routing/LeavingShare.h"

#include <algorithm>

namespace mustardshift::proxy {

double LeavingShare::Update(Instant aNow, double aTarget)
{
  const Duration elapsed = std::clamp(aNow - this->changedAt, Duration::zero(), kMaxStep);
  const double elapsedSeconds = std::chrono::duration<double>(elapsed).count();
  this->value = std::clamp(aTarget,
                           this->value - kMaxFallPerSecond * elapsedSeconds,
                           this->value + kMaxRisePerSecond * elapsedSeconds);
  this->changedAt = std::max(this->changedAt, aNow);
  return this->value;
}

} // namespace mustardshift::proxy
