#pragma once

#include "adapters/health/HealthReason.h"
#include "core/base/Names.h"

#include <mutex>
#include <set>
#include <string>

namespace mustardshift {

/** What the load balancer reads under /health. A VM is healthy while no reason speaks against it;
    it begins with the reason Starting.

    Thread safety: all methods may be called from any thread. */
class HealthPage
{
public:
  explicit HealthPage(VmId aVm);

  /** Adds a reason, or takes it away. */
  void Set(HealthReason aReason, bool aApplies);

  bool IsHealthy() const;

  /** HTTP status: 200 when healthy, otherwise 503. */
  int Status() const;

  /** JSON with "vm", "healthy" and "reasons". */
  std::string Body() const;

private:
  VmId vm;
  mutable std::mutex mutex;
  std::set<HealthReason> reasons{ HealthReason::Starting };
};

} // namespace mustardshift
