#include "adapters/timer/DeadlineTimer.h"

#include <utility>

namespace mustardshift {

DeadlineTimer::DeadlineTimer()
  : thread([this] { this->Run(); })
{
}

DeadlineTimer::~DeadlineTimer()
{
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

DeadlineTimer::Ticket DeadlineTimer::Schedule(Duration aDelay, std::function<void()> aAction)
{
  const Clock::time_point due = Clock::now() + aDelay;
  const std::lock_guard lock(this->mutex);
  const Ticket ticket = ++this->lastTicket;
  const auto position = this->actions.emplace(Key{ due, ticket }, std::move(aAction)).first;
  this->dueTimes.emplace(ticket, due);
  if (position == this->actions.begin()) {
    this->changed.notify_one();
  }
  return ticket;
}

bool DeadlineTimer::Cancel(Ticket aTicket)
{
  // Destroyed after the lock is released, because what it captured may call the timer.
  std::function<void()> removed;
  const std::lock_guard lock(this->mutex);
  const auto found = this->dueTimes.find(aTicket);
  if (found == this->dueTimes.end()) {
    return false;
  }
  const auto action = this->actions.find(Key{ found->second, aTicket });
  removed = std::move(action->second);
  this->actions.erase(action);
  this->dueTimes.erase(found);
  return true;
}

DeadlineTimer& DeadlineTimer::Shared()
{
  // Never destroyed, so that connections closed while the process exits can still use it.
  static auto* const kTimer = new DeadlineTimer();
  return *kTimer;
}

void DeadlineTimer::Run()
{
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    if (this->actions.empty()) {
      this->changed.wait(lock);
      continue;
    }
    const auto first = this->actions.begin();
    const Clock::time_point due = first->first.first;
    if (Clock::now() < due) {
      this->changed.wait_until(lock, due);
      continue;
    }
    std::function<void()> action = std::move(first->second);
    this->dueTimes.erase(first->first.second);
    this->actions.erase(first);
    lock.unlock();
    action();
    action = nullptr;
    lock.lock();
  }
}

} // namespace mustardshift
