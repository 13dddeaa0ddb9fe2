#pragma once

#include "core/base/Names.h"
#include "core/lease/QuotaShard.h"

#include <cstdint>
#include <vector>

namespace mustardshift {

/** One transaction on the platform's table. For each shard, if its row has the expected version,
    the row is set to (holder, incarnation, operation). Either all rows change or none. */
struct QuotaShardWrite
{
  struct Change
  {
    QuotaShardId shard;
    std::uint64_t expectedVersion = 0;
  };

  std::vector<Change> changes;
  /** Empty when the write releases the shards. */
  VmId holder;
  std::uint64_t incarnation = 0;
  std::uint64_t operation = 0;
};

} // namespace mustardshift
