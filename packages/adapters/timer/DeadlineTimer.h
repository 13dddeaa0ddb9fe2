#pragma once

#include "core/base/Instant.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace mustardshift {

/** Runs actions after a delay, on one thread of its own. Actions have to be short and must not
    block, because they delay all later ones.

    Thread safety: all methods may be called from any thread, also from within an action. */
class DeadlineTimer
{
public:
  using Ticket = std::uint64_t;

  DeadlineTimer();
  /** Drops the actions that have not started and waits for the one that runs. Precondition: not
      called from within an action. */
  ~DeadlineTimer();
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  /** Runs aAction once, no earlier than aDelay from now. Actions that are due at the same time run
      in the order in which they were scheduled. */
  Ticket Schedule(Duration aDelay, std::function<void()> aAction);

  /** Returns true when the action was removed; false when it has started or is unknown. */
  bool Cancel(Ticket aTicket);

  /** The timer that all connections of the process share. It lives until the process ends. */
  static DeadlineTimer& Shared();

private:
  using Clock = std::chrono::steady_clock;
  using Key = std::pair<Clock::time_point, Ticket>;

  void Run();

  std::mutex mutex;
  std::condition_variable changed;
  std::map<Key, std::function<void()>> actions;
  std::unordered_map<Ticket, Clock::time_point> dueTimes;
  Ticket lastTicket = 0;
  bool stopping = false;
  std::thread thread;
};

} // namespace mustardshift
