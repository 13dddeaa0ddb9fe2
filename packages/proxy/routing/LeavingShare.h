#pragma once

#include "core/base/Instant.h"

namespace mustardshift::proxy {

/** Share of the statements that leaves their home servers. Follows its target gradually.

    Thread safety: none; one thread owns the object. */
class LeavingShare
{
public:
  /** Largest change in a second. Reports are up to 0.8 s old when VMs act on them; in that time
      the share of all VMs together moves by a fifth of the statements at most. */
  static constexpr double kMaxRisePerSecond = 0.25;
  /** Smaller than the rise, so that the share doesn't return at once when the home servers have
      become idle because of it. */
  static constexpr double kMaxFallPerSecond = 0.1;
  /** Time since the last call that counts at most: a VM with few statements doesn't jump. */
  static constexpr Duration kMaxStep = std::chrono::seconds(1);

  /** Moves the share towards its target, between 0 and 1, and returns it. */
  double Update(Instant aNow, double aTarget);

  double Value() const { return this->value; }
  Instant ChangedAt() const { return this->changedAt; }

private:
  double value = 0;
  Instant changedAt{};
};

} // namespace mustardshift::proxy
