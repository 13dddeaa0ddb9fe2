#pragma once

#include "emulator/Deployment.h"
#include "emulator/Measure.h"

#include <cstdint>
#include <vector>

namespace mustardshift::bench {

/** Share of reads that replicas serve, and stale reads, at normal lag and with one replica far
    behind. */
std::vector<Measure> MeasureReads(const Deployment& aDeployment, std::uint64_t aSeed);

} // namespace mustardshift::bench
