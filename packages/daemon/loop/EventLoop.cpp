#include "daemon/loop/EventLoop.h"

#include "adapters/clock/SystemBootClock.h"

#include <algorithm>
#include <future>
#include <memory>

namespace mustardshift {

namespace {

/** Maximum wait for a task, so that the loop notices Stop() soon. */
constexpr Duration kLongestWait = std::chrono::milliseconds(100);

} // namespace

EventLoop::EventLoop(std::size_t aCapacity)
  : inbox(std::make_shared<Inbox>(aCapacity))
{
}

EventLoop::~EventLoop()
{
  this->Stop();
}

void EventLoop::Start()
{
  MUSTARDSHIFT_ASSERT(!this->thread.joinable());
  this->thread = std::thread([this] { this->Run(); });
}

void EventLoop::Stop()
{
  this->inbox->stopping = true;
  // Emptying the queue below unblocks producers that wait for room in it.
  if (this->thread.joinable()) {
    this->thread.join();
  }
  while (this->inbox->queue.TryPopFor(Duration{ 0 })) {
  }
  // Objects owned by the tasks may refer to the loop, so destroy the tasks while it still exists.
  this->timers.clear();
  this->inbox->deferred.clear();
  this->hasStopped = true;
}

bool EventLoop::TryPost(Task aTask)
{
  if (this->inbox->stopping) {
    return false;
  }
  return this->inbox->queue.TryPush(std::move(aTask));
}

void EventLoop::Inbox::Post(Task aTask)
{
  if (this->stopping) {
    return;
  }
  if (std::this_thread::get_id() == this->loopThread.load()) {
    this->deferred.push_back(std::move(aTask));
    return;
  }
  this->queue.Push(std::move(aTask));
}

bool EventLoop::PostAndWait(const Task& aTask)
{
  auto done = std::make_shared<std::promise<void>>();
  std::future<void> finished = done->get_future();
  this->Post([aTask, done = std::move(done)](Instant aNow) {
    aTask(aNow);
    done->set_value();
  });
  // The task may refer to the caller's stack, so wait until it has run or can no longer run.
  while (finished.wait_for(kLongestWait) != std::future_status::ready) {
    if (this->hasStopped) {
      return false;
    }
  }
  try {
    finished.get();
    return true;
  } catch (const std::future_error&) {
    // The task was dropped.
    return false;
  }
}

EventLoop::TimerId EventLoop::Schedule(Instant aDue, Task aTask)
{
  const TimerId timer{ aDue, this->nextTimer++ };
  this->timers.emplace(timer, std::move(aTask));
  return timer;
}

void EventLoop::Cancel(TimerId aTimer)
{
  this->timers.erase(aTimer);
}

void EventLoop::FireTimers(Instant aNow)
{
  while (!this->timers.empty() && this->timers.begin()->first.first <= aNow) {
    const auto timer = this->timers.begin();
    const Task task = std::move(timer->second);
    this->timers.erase(timer);
    task(aNow);
    this->RunDeferred();
  }
}

void EventLoop::RunDeferred()
{
  // Run only the tasks that are present now. Tasks posted meanwhile run after the timers that are
  // due, so that tasks that post further tasks can't starve the timers.
  for (std::size_t left = this->inbox->deferred.size(); left > 0; --left) {
    const Task task = std::move(this->inbox->deferred.front());
    this->inbox->deferred.pop_front();
    task(SystemBootClock{}.Now());
  }
}

void EventLoop::Run()
{
  this->inbox->loopThread = std::this_thread::get_id();
  while (!this->inbox->stopping) {
    const Instant now = SystemBootClock{}.Now();
    this->FireTimers(now);
    Duration wait = kLongestWait;
    if (!this->timers.empty()) {
      wait = std::clamp(this->timers.begin()->first.first - now, Duration{ 0 }, kLongestWait);
    }
    if (!this->inbox->deferred.empty()) {
      wait = Duration{ 0 };
    }
    const std::optional<Task> task = this->inbox->queue.TryPopFor(wait);
    if (task) {
      (*task)(SystemBootClock{}.Now());
    }
    this->RunDeferred();
  }
}

} // namespace mustardshift
