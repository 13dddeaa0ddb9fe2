#pragma once

#include "core/base/BoundedRing.h"
#include "core/base/Instant.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <thread>
#include <utility>

namespace mustardshift {

/** Runs tasks one after another on a thread of its own, with timers. State that only tasks of one
    loop touch needs no locks. */
class EventLoop
{
public:
  /** A unit of work; it gets the present time. */
  using Task = std::function<void(Instant)>;
  /** Names a timer that has not fired yet. */
  using TimerId = std::pair<Instant, std::uint64_t>;

  /** Precondition: aCapacity > 0, the largest number of tasks that wait. */
  explicit EventLoop(std::size_t aCapacity);
  /** Stops the loop. */
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Starts the thread. Precondition: not started before. */
  void Start();

  /** Ends the loop after the running task and waits for the thread. Tasks that still wait are
      dropped. Thread safety: any thread but the loop's. */
  void Stop();

  /** Adds a task, or returns false when the loop is full or stopped. Use it for new work, which can
      be refused. Thread safety: any thread. */
  bool TryPost(Task aTask);

  /** Adds a task; waits while the loop is full. Use it for the completion of running work, which
      must not be lost. On the loop's own thread the task never waits. Thread safety: any thread. */
  void Post(Task aTask);

  /** Runs a task on the loop and waits until it is done. Returns false when the loop is stopped.
      Thread safety: any thread but the loop's. */
  bool PostAndWait(const Task& aTask);

  /** Runs a task at or after aDue. Thread safety: the loop's thread only. */
  TimerId Schedule(Instant aDue, Task aTask);

  /** Drops a timer; does nothing when it has fired. Thread safety: the loop's thread only. */
  void Cancel(TimerId aTimer);

private:
  void Run();
  void FireTimers(Instant aNow);
  void RunDeferred();

  BoundedRing<Task> ring;
  /** Tasks that the loop's own thread posted while the ring might have been full. */
  std::deque<Task> deferred;
  std::map<TimerId, Task> timers;
  std::uint64_t nextTimer = 0;
  std::atomic<bool> stopping{ false };
  /** Set once no task will run any more. */
  std::atomic<bool> hasStopped{ false };
  std::atomic<std::thread::id> loopThread;
  std::thread thread;
};

} // namespace mustardshift
