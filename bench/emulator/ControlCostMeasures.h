#pragma once

#include "emulator/Deployment.h"
#include "emulator/Measure.h"

#include <cstdint>
#include <vector>

namespace mustardshift::bench {

/** Cost of one node's control plane at the target scale, with slopes. The deployment and the seed
    make no difference. */
std::vector<Measure> MeasureControlCost(const Deployment& aDeployment, std::uint64_t aSeed);

} // namespace mustardshift::bench
