#pragma once

#include "core/base/Instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace mustardshift::proxy {

/** Runs tasks at given instants. It has no clock of its own: the event loop calls RunDue() with the
    present time, and tests call it with virtual time.

    Thread safety: none; one thread owns the object. */
class Scheduler
{
public:
  /** Called with the present time. */
  using Task = std::function<void(Instant)>;
  using TaskId = std::pair<Instant, std::uint64_t>;

  /** Runs a task in the first RunDue() at or after aDue. */
  TaskId Schedule(Instant aDue, Task aTask);
  /** Removes a task; does nothing if the task has already run. */
  void Cancel(const TaskId& aTask);
  /** Instant at which the earliest task is due, or nothing when there is no task. */
  std::optional<Instant> NextDue() const;
  /** Runs all tasks that are due, in the order of their instants, including due tasks that these
      tasks add. */
  void RunDue(Instant aNow);

private:
  std::map<TaskId, Task> tasks;
  std::uint64_t lastId = 0;
};

} // namespace mustardshift::proxy
