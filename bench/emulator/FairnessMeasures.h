#pragma once

#include "emulator/Deployment.h"
#include "emulator/Measure.h"

#include <cstdint>
#include <vector>

namespace mustardshift::bench {

/** Service of the worst-served organisation that stays inside its rate, while another one sends ten
    times its rate. */
std::vector<Measure> MeasureFairness(const Deployment& aDeployment, std::uint64_t aSeed);

} // namespace mustardshift::bench
