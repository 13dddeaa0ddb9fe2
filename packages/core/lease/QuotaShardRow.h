#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/lease/QuotaShard.h"

#include <cstdint>

namespace mustardshift {

/** The row of one shard in the platform's table, as one VM has observed it. */
struct QuotaShardRow
{
  QuotaShardId shard;
  /** Empty when the shard is free. */
  VmId holder;
  std::uint64_t incarnation = 0;
  /** Number of the write that produced this version; unique within the incarnation of the
      holder. */
  std::uint64_t operation = 0;
  /** Version of the row; zero when the row does not exist yet. */
  std::uint64_t version = 0;
  /** When this VM first observed this version. Set by QuotaShardHolder. */
  Instant firstObserved{};
};

} // namespace mustardshift
