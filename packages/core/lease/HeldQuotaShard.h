#pragma once

#include "core/base/Instant.h"
#include "core/lease/QuotaShard.h"

namespace mustardshift {

/** A shard whose lease this VM holds. The VM may use the shard before the deadline, not at it or
    later. */
struct HeldQuotaShard
{
  QuotaShardId shard;
  Instant deadline{};

  friend bool operator==(const HeldQuotaShard&, const HeldQuotaShard&) = default;
};

} // namespace mustardshift
