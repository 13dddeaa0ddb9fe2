#pragma once

#include "core/base/Instant.h"
#include "proxy/pool/CommandSequence.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/schedule/Scheduler.h"

#include <chrono>
#include <utility>

namespace mustardshift::proxy {

/** A rollback that takes longer is abandoned and the connection is closed. */
inline constexpr Duration kRollbackTimeout = std::chrono::seconds(1);

/** Rolls back the open transaction of a connection and returns the connection to its pool, or
    closes it if the rollback fails. All references must outlive the rollback.

    Precondition: the caller holds the connection and no command is running on it. Thread safety:
    none. */
template<DatabaseNetwork Network>
void RollBackAndRelease(Instant aNow,
                        ServerPool<Network>& aPool,
                        ServerHealth& aHealth,
                        Scheduler& aScheduler,
                        PooledConnection<Network>& aConnection)
{
  ServerCommand rollback;
  rollback.kind = ServerCommandKind::Rollback;
  const auto timer =
    aScheduler.Schedule(aNow + kRollbackTimeout, [&aPool, &aConnection](Instant aThen) {
      aPool.Discard(aThen, &aConnection);
    });
  CommandSequence<Network>::Run(aNow,
                                aConnection,
                                aHealth,
                                { std::move(rollback) },
                                [&aPool, &aScheduler, &aConnection, timer](
                                  Instant aThen, const CommandSequenceResult& aResult) {
                                  aScheduler.Cancel(timer);
                                  if (aResult.reply.status == ReplyStatus::Done) {
                                    aPool.Release(aThen, &aConnection);
                                  } else {
                                    aPool.Discard(aThen, &aConnection);
                                  }
                                });
}

} // namespace mustardshift::proxy
