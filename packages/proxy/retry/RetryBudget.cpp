#include "proxy/retry/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace mustardshift::proxy {

namespace {

/** Instant of the next attempt. A server that has no wait and was not tried yet is asked at
    once. */
Instant NextAttempt(Instant aNow, const RetryRequest& aRequest)
{
  const Duration least = aRequest.isSameServer ? RetryBudget::kMinDelay : Duration::zero();
  const auto longest = static_cast<double>(std::max(least, aRequest.expectedWait).count());
  const double part = 0.5 + 0.5 * std::clamp(aRequest.draw, 0.0, 1.0);
  return aNow + Duration(static_cast<Duration::rep>(longest * part));
}

} // namespace

void RetryBudget::RecordSuccess(Instant aNow)
{
  this->Advance(aNow);
  this->earned += kFraction;
}

std::optional<Instant> RetryBudget::Plan(Instant aNow, const RetryRequest& aRequest)
{
  const bool isKnownFull = aNow + aRequest.expectedWait > aRequest.startBy;
  const Instant next = NextAttempt(aNow, aRequest);
  if (aRequest.attempts >= kMaxAttempts || next > aRequest.startBy ||
      (aRequest.wasRejectedAsBusy && isKnownFull)) {
    return std::nullopt;
  }
  this->Advance(aNow);
  double& account = this->earned >= 1 ? this->earned : this->floor;
  if (account < 1) {
    return std::nullopt;
  }
  account -= 1;
  return next;
}

double RetryBudget::Available(Instant aNow) const
{
  return std::floor(this->EarnedAt(aNow)) + std::floor(this->FloorAt(aNow));
}

void RetryBudget::Advance(Instant aNow)
{
  this->earned = this->EarnedAt(aNow);
  this->floor = this->FloorAt(aNow);
  this->changedAt = std::max(this->changedAt, aNow);
}

double RetryBudget::EarnedAt(Instant aNow) const
{
  const Duration elapsed = std::max(Duration::zero(), aNow - this->changedAt);
  return this->earned *
         std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(kMemory));
}

double RetryBudget::FloorAt(Instant aNow) const
{
  const Duration elapsed = std::max(Duration::zero(), aNow - this->changedAt);
  return std::min(kFloorBurst,
                  this->floor + kFloorPerSecond * std::chrono::duration<double>(elapsed).count());
}

} // namespace mustardshift::proxy
