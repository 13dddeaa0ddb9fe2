#include "standins/database/SlotPool.h"

#include <algorithm>
#include <utility>

namespace mustardshift::standin {

SlotPool::SlotPool(std::uint32_t aSlots)
  : slots(aSlots)
{
}

void SlotPool::Acquire(std::function<void()> aStart)
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->inUse == this->slots) {
      this->waiting.push_back(std::move(aStart));
      this->longestQueue = std::max<std::uint64_t>(this->longestQueue, this->waiting.size());
      return;
    }
    ++this->inUse;
    this->mostInUse = std::max<std::uint64_t>(this->mostInUse, this->inUse);
  }
  aStart();
}

void SlotPool::Release()
{
  std::function<void()> next;
  {
    const std::lock_guard lock(this->mutex);
    if (this->waiting.empty()) {
      --this->inUse;
      return;
    }
    next = std::move(this->waiting.front());
    this->waiting.pop_front();
  }
  next();
}

std::uint64_t SlotPool::MostInUse()
{
  const std::lock_guard lock(this->mutex);
  return this->mostInUse;
}

std::uint64_t SlotPool::LongestQueue()
{
  const std::lock_guard lock(this->mutex);
  return this->longestQueue;
}

} // namespace mustardshift::standin
