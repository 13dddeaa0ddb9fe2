#include "proxy/admission/DrainRate.h"

#include <algorithm>
#include <cmath>

namespace mustardshift::proxy {

void DrainRate::RecordStart(Instant aNow, double aWork)
{
  const auto elapsed =
    static_cast<double>(std::max(Duration::zero(), aNow - this->countedUntil).count());
  const double decay = std::exp(-elapsed / static_cast<double>(kMemory.count()));
  this->startedWork = this->startedWork * decay + aWork;
  this->time = this->time * decay + elapsed;
  this->countedUntil = std::max(this->countedUntil, aNow);
}

std::optional<Duration> DrainRate::TimeFor(double aWork) const
{
  if (this->time < static_cast<double>(kMinTime.count()) || this->startedWork <= 0) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(aWork * this->time / this->startedWork));
}

} // namespace mustardshift::proxy
