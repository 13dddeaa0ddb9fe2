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

    Thread safety: the platform loop's thread only; calls block on the platform. */
class ShardKeeper
{
public:
  /** Called with the present holder after each change of the leases, before any release is sent;
      it returns once the request loop uses the new leases and no others. */
  using ChangeHook = std::function<void(const QuotaShardHolder&)>;

  ShardKeeper(TableClient& aTable, VmId aSelf, std::uint64_t aIncarnation, ChangeHook aChanged);

  /** Reads the rows, plans and carries the plan out. Returns false when the platform gave no
     answer.
      @param aLive  reachable VMs that take work.
      @param aIsLeaving  true when this VM gives all its shards up.
      @param aConnectionsAreWithinAllowance  see PlanQuotaShards. */
  bool Poll(Instant aNow,
            const std::set<VmId>& aLive,
            bool aIsLeaving,
            bool aConnectionsAreWithinAllowance);

  const QuotaShardHolder& Holder() const { return this->holder; }

private:
  bool ReadRows();
  void Send(const QuotaShardWrite& aWrite);

  TableClient& table;
  QuotaShardHolder holder;
  ChangeHook changed;
};

} // namespace mustardshift
