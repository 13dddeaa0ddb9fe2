#include "proxy/retry/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace mustardshift::proxy {

void RetryBudget::RecordSuccess(Instant aNow)
{
  this->earned = this->DecayedTokens(aNow) + kFraction;
  this->floorTokens = this->FloorTokens(aNow);
  this->changedAt = aNow;
}

std::optional<Instant> RetryBudget::Plan(Instant aNow, const RetryRequest& aRequest)
{
  const bool isKnownFull =
    aRequest.wasRejectedAsBusy && aNow + aRequest.expectedWait > aRequest.startBy;
  if (aRequest.attempts >= kMaxAttempts || isKnownFull) {
    return std::nullopt;
  }
  const bool mustWait = aRequest.isSameServer || aRequest.expectedWait > Duration::zero();
  const Duration longest = std::max(kMinDelay, aRequest.expectedWait);
  const auto spread = Duration(static_cast<Duration::rep>(
    static_cast<double>(longest.count()) * (0.5 + 0.5 * std::clamp(aRequest.draw, 0.0, 1.0))));
  const Instant next = mustWait ? aNow + spread : aNow;
  if (next > aRequest.startBy || this->Available(aNow) < 1) {
    return std::nullopt;
  }
  this->earned = this->DecayedTokens(aNow);
  this->floorTokens = this->FloorTokens(aNow);
  this->changedAt = aNow;
  double& account = this->earned >= 1 ? this->earned : this->floorTokens;
  account -= 1;
  return next;
}

double RetryBudget::Available(Instant aNow) const
{
  return this->DecayedTokens(aNow) + this->FloorTokens(aNow);
}

double RetryBudget::DecayedTokens(Instant aNow) const
{
  const double elapsed =
    std::chrono::duration<double>(aNow - this->changedAt) / std::chrono::duration<double>(kMemory);
  return this->earned * std::exp(-std::max(0.0, elapsed));
}

double RetryBudget::FloorTokens(Instant aNow) const
{
  const double elapsed =
    std::chrono::duration<double>(std::max(Duration::zero(), aNow - this->changedAt)).count();
  return std::min(kFloorBurst, this->floorTokens + kFloorPerSecond * elapsed);
}

} // namespace mustardshift::proxy
