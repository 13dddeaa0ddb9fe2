#pragma once

#include "core/lease/QuotaShard.h"

#include <cstdint>

namespace mustardshift {

/** Part of an organisation's rate and burst. Parts are whole numbers, so that what one VM gives up
    is exactly what another gains. They are relative to the configured rate and burst, so that a
    change of the configuration needs no agreement on loans that run. */
using QuotaUnits = std::int64_t;

inline constexpr QuotaUnits kQuotaUnitsPerShard = 1'000'000;
inline constexpr QuotaUnits kQuotaUnitsTotal = kQuotaUnitsPerShard * kQuotaShardsPerCell;

} // namespace mustardshift
