#pragma once

#include "emulator/Deployment.h"
#include "emulator/Measure.h"

#include <cstdint>
#include <vector>

namespace mustardshift::bench {

/** Refusals within the rate, the sum over all VMs, and calls on the platform's table. */
std::vector<Measure> MeasureQuota(const Deployment& aDeployment, std::uint64_t aSeed);

} // namespace mustardshift::bench
