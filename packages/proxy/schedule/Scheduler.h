#pragma once

#include "core/base/Instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace mustardshift::proxy {

/** Tasks that wait for their time. It has no clock of its own: whoever runs the event loop calls
    RunDue(); tests do so in virtual time.

    Thread safety: none; one thread owns the object. */
class Scheduler
{
public:
  /** Gets the present time. */
  using Task = std::function<void(Instant)>;
  using TaskId = std::pair<Instant, std::uint64_t>;

  /** Runs a task in the first RunDue() at or after aDue. */
  TaskId Schedule(Instant aDue, Task aTask);
  /** Drops a task; does nothing when it has run. */
  void Cancel(const TaskId& aTask);
  /** Instant of the earliest task. */
  std::optional<Instant> NextDue() const;
  /** Runs all tasks that are due, in order of their time, including those that they add. */
  void RunDue(Instant aNow);

private:
  std::map<TaskId, Task> tasks;
  std::uint64_t lastId = 0;
};

} // namespace mustardshift::proxy
