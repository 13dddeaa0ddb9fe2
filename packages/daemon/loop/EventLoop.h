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

/** Runs tasks and timers one at a time on its own thread. State that is accessed only by tasks of
    one loop needs no locks. */
class EventLoop
{
public:
  /** A unit of work; it is called with the current time. */
  using Task = std::function<void(Instant)>;
  /** Identifies a scheduled timer. */
  using TimerId = std::pair<Instant, std::uint64_t>;

private:
  /** State shared by the loop and its handles; it is destroyed with the last of them. */
  struct Inbox
  {
    explicit Inbox(std::size_t aCapacity)
      : queue(aCapacity)
    {
    }
    void Post(Task aTask);

    BoundedQueue<Task> queue;
    /** Tasks posted by the loop's own thread, which must never wait for room in the queue. */
    std::deque<Task> deferred;
    std::atomic<std::thread::id> loopThread{};
    std::atomic<bool> stopping{ false };
  };

public:
  /** Posts tasks to a loop and may outlive it; tasks posted after the loop stopped are dropped. For
      callbacks on other threads that may run after the loop was destroyed. Thread safety: any
      thread. */
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

  /** @param aCapacity  maximum number of waiting tasks. Precondition: aCapacity > 0. */
  explicit EventLoop(std::size_t aCapacity);
  /** Stops the loop. */
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Starts the thread. Precondition: the loop was not started before. */
  void Start();

  /** Stops the loop after the current task and joins the thread. Waiting tasks are dropped.
      Thread safety: any thread but the loop's. */
  void Stop();

  /** Adds a task, or returns false if the queue is full or the loop stopped. For new work, which
      can be refused. Thread safety: any thread. */
  bool TryPost(Task aTask);

  /** Adds a task; blocks while the queue is full, except on the loop's own thread, where it never
      blocks. Drops the task if the loop stopped. For the completion of work in progress, which must
      not be lost. Thread safety: any thread. */
  void Post(Task aTask) { this->inbox->Post(std::move(aTask)); }

  /** Returns a handle that may outlive the loop. Thread safety: any thread. */
  Handle GetHandle() const { return Handle(this->inbox); }

  /** Runs a task on the loop and blocks until it completes. Returns false if the loop stopped
      before it ran the task. Thread safety: any thread but the loop's. */
  bool PostAndWait(const Task& aTask);

  /** Schedules a task to run at or after aDue. Thread safety: only on the loop's thread, or before
      Start. */
  TimerId Schedule(Instant aDue, Task aTask);

  /** Cancels a timer; does nothing if it has fired. Thread safety: only on the loop's thread. */
  void Cancel(TimerId aTimer);

private:
  void Run();
  void FireTimers(Instant aNow);
  void RunDeferred();

  std::shared_ptr<Inbox> inbox;
  std::map<TimerId, Task> timers;
  std::uint64_t nextTimer = 0;
  /** True once no further task will run. */
  std::atomic<bool> hasStopped{ false };
  std::thread thread;
};

} // namespace mustardshift
