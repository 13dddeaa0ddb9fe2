#pragma once

#include "core/base/Instant.h"
#include "proxy/schedule/Scheduler.h"

#include <cstddef>
#include <deque>
#include <functional>

namespace mustardshift::bench {

/** A database server without a gateway: runs one statement in each slot, in the order of
    arrival, and rejects statements while 32 others wait. */
class FifoServer
{
public:
  /** Called with the time and whether the statement ran. */
  using Handler = std::function<void(Instant, bool)>;

  static constexpr std::size_t kMaxWaiting = 32;

  /** Precondition: the scheduler outlives the server. */
  FifoServer(proxy::Scheduler& aScheduler, unsigned aSlots)
    : scheduler(aScheduler)
    , slots(aSlots)
  {
  }

  void Submit(Instant aNow, Duration aTime, Handler aHandler);

  double slowness = 1;
  std::size_t rejectedCount = 0;

private:
  struct Work
  {
    Duration time{ 0 };
    Handler handler;
  };

  void Run(Instant aNow, Work aWork);

  proxy::Scheduler& scheduler;
  unsigned slots;
  unsigned running = 0;
  std::deque<Work> waiting;
};

} // namespace mustardshift::bench
