#include "proxy/schedule/Scheduler.h"

namespace mustardshift::proxy {

Scheduler::TaskId Scheduler::Schedule(Instant aDue, Task aTask)
{
  const TaskId id{ aDue, ++this->lastId };
  this->tasks.emplace(id, std::move(aTask));
  return id;
}

void Scheduler::Cancel(const TaskId& aTask)
{
  this->tasks.erase(aTask);
}

std::optional<Instant> Scheduler::NextDue() const
{
  if (this->tasks.empty()) {
    return std::nullopt;
  }
  return this->tasks.begin()->first.first;
}

void Scheduler::RunDue(Instant aNow)
{
  while (!this->tasks.empty() && this->tasks.begin()->first.first <= aNow) {
    const Task task = std::move(this->tasks.begin()->second);
    this->tasks.erase(this->tasks.begin());
    task(aNow);
  }
}

} // namespace mustardshift::proxy
