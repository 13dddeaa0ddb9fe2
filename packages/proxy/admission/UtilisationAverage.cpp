#include "proxy/admission/UtilisationAverage.h"

#include <algorithm>
#include <cmath>

namespace mustardshift::proxy {

void UtilisationAverage::Set(Instant aNow, double aValue)
{
  this->average = this->Average(aNow);
  this->changedAt = std::max(this->changedAt, aNow);
  this->current = aValue;
}

double UtilisationAverage::Average(Instant aNow) const
{
  const std::chrono::duration<double> elapsed = std::max(Duration::zero(), aNow - this->changedAt);
  const double weight = std::exp(-elapsed / std::chrono::duration<double>(kMemory));
  return this->current + (this->average - this->current) * weight;
}

} // namespace mustardshift::proxy
