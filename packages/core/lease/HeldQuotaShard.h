#pragma once

#include "core/base/Instant.h"
#include "core/lease/QuotaShard.h"

namespace mustardshift {

/** A shard that this VM may use until its deadline (exclusive). */
struct HeldQuotaShard
{
  QuotaShardId shard;
  Instant deadline{};

  friend bool operator==(const HeldQuotaShard&, const HeldQuotaShard&) = default;
};

} // namespace mustardshift
