#include "proxy/admission/WorkRate.h"

#include <algorithm>
#include <cmath>

namespace mustardshift::proxy {

void WorkRate::RecordStart(Instant aNow, Duration aCost)
{
  const double decay = this->Decay(aNow);
  this->microseconds = this->microseconds * decay + static_cast<double>(aCost.count());
  this->count = this->count * decay + 1;
  this->changedAt = aNow;
}

double WorkRate::WorkPerTime(Instant aNow) const
{
  return this->microseconds * this->Decay(aNow) / static_cast<double>(kMemory.count());
}

Duration WorkRate::AverageCost() const
{
  return this->count == 0 ? Duration::zero()
                          : Duration(static_cast<Duration::rep>(this->microseconds / this->count));
}

double WorkRate::Decay(Instant aNow) const
{
  const Duration elapsed = std::max(Duration::zero(), aNow - this->changedAt);
  return std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(kMemory));
}

} // namespace mustardshift::proxy
