#pragma once

#include <cstdint>

namespace mustardshift::bench {

/** Prints how three ways to choose servers for reads do on the loads of
    docs/design/failure-domain-routing.md: home first with a threshold, shares by load, and
    ServerSelector. */
void PrintSelectionComparison(std::uint32_t aSeed);

} // namespace mustardshift::bench
