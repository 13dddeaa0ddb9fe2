#pragma once

#include "core/base/BoundedQueue.h"
#include "core/base/Instant.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
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

private:
  /** What producers share with the loop; it lives until the last of them is gone. */
  struct Inbox
  {
    explicit Inbox(std::size_t aCapacity)
      : queue(aCapacity)
    {
    }
    void Post(Task aTask);

    BoundedQueue<Task> queue;
    /** Tasks that the loop's own thread posted while the ring might have been full. */
    std::deque<Task> deferred;
    std::atomic<std::thread::id> loopThread{};
    std::atomic<bool> stopping{ false };
  };

public:
  /** Posts to a loop, also after the loop was destroyed; tasks are dropped then. For callbacks of
      other threads that may come late. Thread safety: any thread. */
  class Handle
  {
  public:
    /** See EventLoop::Post. */
    void Post(Task aTask) const { this->inbox->Post(std::move(aTask)); }

  private:
    friend class EventLoop;
    explicit Handle(std::shared_ptr<Inbox> aInbox)
      : inbox(std::move(aInbox))
    {
    }
    std::shared_ptr<Inbox> inbox;
  };

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
  void Post(Task aTask) { this->inbox->Post(std::move(aTask)); }

  /** Returns a handle that may outlive the loop. Thread safety: any thread. */
  Handle GetHandle() const { return Handle(this->inbox); }

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

  std::shared_ptr<Inbox> inbox;
  std::map<TimerId, Task> timers;
  std::uint64_t nextTimer = 0;
  /** Set once no task will run any more. */
  std::atomic<bool> hasStopped{ false };
  std::thread thread;
};

} // namespace mustardshift
