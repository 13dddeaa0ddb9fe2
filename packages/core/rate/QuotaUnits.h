#pragma once

#include "core/lease/QuotaShard.h"

#include <cstdint>

namespace mustardshift {

/** Part of an organisation's rate and burst. Units are integers, so that a VM gains exactly the
    amount that another VM gives up. They are relative to the configured rate and burst, so that
    running loans remain valid when the configuration changes. */
using QuotaUnits = std::int64_t;

inline constexpr QuotaUnits kQuotaUnitsPerShard = 1'000'000;
inline constexpr QuotaUnits kQuotaUnitsTotal = kQuotaUnitsPerShard * kQuotaShardsPerCell;

} // namespace mustardshift
