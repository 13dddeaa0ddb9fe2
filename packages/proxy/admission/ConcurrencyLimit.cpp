#include "proxy/admission/ConcurrencyLimit.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <cmath>

namespace mustardshift::proxy {

namespace {

/** Weight of one answer in the average slowness: about the last eight count. */
constexpr double kSlownessWeight = 0.125;
/** Average slowness at which the limit falls. The times of single statements differ by a factor
    of eight around their average, which moves an average of eight by less than a half. */
constexpr double kSlow = 2;
/** Largest slowness that a single answer counts with, so that it alone doesn't lower the limit. */
constexpr double kMaxSlowness = 4;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(unsigned aSlots, unsigned aMaximum)
{
  this->SetSlots(aSlots, aMaximum);
  this->value = this->maximum;
}

void ConcurrencyLimit::SetSlots(unsigned aSlots, unsigned aMaximum)
{
  MUSTARDSHIFT_ASSERT(aSlots > 0 && aSlots <= aMaximum);
  this->maximum = aMaximum;
  // A server that is slow by itself still runs one statement in each slot; a limit far below its
  // slots would cost more than the wait behind the work of others.
  this->slowFloor = std::ceil(0.5 * aSlots);
  this->value = std::min(this->value, this->maximum);
}

void ConcurrencyLimit::RecordBusy(Instant aNow, unsigned aInFlight, Duration aStatementTime)
{
  if (aNow < this->lowerAgainAt) {
    return;
  }
  this->lowerAgainAt = aNow + aStatementTime;
  this->value = std::max(1.0, std::min(this->value, static_cast<double>(aInFlight)) / 2);
}

void ConcurrencyLimit::RecordAnswer(double aSlowness, bool aWasFull)
{
  this->averageSlowness +=
    kSlownessWeight * (std::min(aSlowness, kMaxSlowness) - this->averageSlowness);
  if (this->averageSlowness > kSlow) {
    this->averageSlowness = 1;
    this->value = std::min(this->value, std::max(this->slowFloor, this->value - 1));
    return;
  }
  if (aWasFull) {
    this->value = std::min(this->maximum, this->value + 1 / this->value);
  }
}

} // namespace mustardshift::proxy
