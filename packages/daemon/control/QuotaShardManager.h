#pragma once

#include "adapters/platform/TableClient.h"
#include "core/base/Instant.h"
#include "core/lease/QuotaShardHolder.h"
#include "core/lease/QuotaShardPlan.h"

#include <functional>
#include <set>
#include <vector>

namespace mustardshift {

/** Claims, renews and releases this VM's quota shards in the platform's table.

    Thread safety: only on the platform loop's thread; calls block until the platform responds. */
class QuotaShardManager
{
public:
  /** Called in each poll with the current leases, before any release is sent. Must return only once
      the request loop uses these leases and no others, so that a released shard is no longer in
      use. */
  using ChangeHook = std::function<void(const QuotaShardHolder&)>;

  QuotaShardManager(TableClient& aTable,
                    VmId aSelf,
                    std::uint64_t aIncarnation,
                    ChangeHook aChanged);

  /** Reads the shard rows, plans which shards to claim, renew and release, and commits the plan.
      Returns false if the platform did not answer the read.
      @param aLive  reachable VMs that accept new work.
      @param aIsLeaving  true if this VM is to release all its shards.
      @param aConnectionsAreWithinAllowance  see PlanQuotaShards. */
  bool Poll(Instant aNow,
            const std::set<VmId>& aLive,
            bool aIsLeaving,
            bool aConnectionsAreWithinAllowance);

  const QuotaShardHolder& Holder() const { return this->holder; }

private:
  bool ReadRows();
  void CommitWrite(const QuotaShardWrite& aWrite);

  TableClient& table;
  QuotaShardHolder holder;
  ChangeHook changed;
};

} // namespace mustardshift
