#pragma once

#include "core/base/Names.h"
#include "core/lease/QuotaShard.h"

#include <cstdint>
#include <vector>

namespace mustardshift {

/** One transaction on the platform's table: for each shard, provided that its row has the expected
    version, the row becomes (holder, incarnation, operation). All rows change, or none. */
struct QuotaShardWrite
{
  struct Change
  {
    QuotaShardId shard;
    std::uint64_t expectedVersion = 0;
  };

  std::vector<Change> changes;
  /** Empty when the shards are released. */
  VmId holder;
  std::uint64_t incarnation = 0;
  std::uint64_t operation = 0;
};

} // namespace mustardshift
