#pragma once

#include "core/base/Instant.h"
#include "proxy/pool/CommandSequence.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/schedule/Scheduler.h"

#include <chrono>
#include <utility>

namespace mustardshift::proxy {

/** A rollback that takes longer closes the connection instead. */
inline constexpr Duration kRollbackTimeout = std::chrono::seconds(1);

/** Rolls back what is open on a connection and gives it back to its pool, or closes it when that
    fails. All references have to outlive the rollback.

    Precondition: the caller holds the connection and runs no command on it. Thread safety: none. */
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
