#pragma once

#include "core/base/Assert.h"
#include "core/base/Instant.h"

#include <cstddef>
#include <oneapi/tbb/concurrent_queue.h>
#include <optional>
#include <semaphore>
#include <utility>

namespace mustardshift {

/** Bounded first-in, first-out queue that passes items between threads.

    Thread safety: all methods may be called from any thread. */
template<class T>
class BoundedQueue
{
public:
  /** Precondition: aCapacity > 0. */
  explicit BoundedQueue(std::size_t aCapacity)
  {
    MUSTARDSHIFT_ASSERT(aCapacity > 0);
    this->queue.set_capacity(static_cast<std::ptrdiff_t>(aCapacity));
  }

  /** Adds an item without waiting. Returns false, and discards the item, when the queue is full. */
  bool TryPush(T aItem)
  {
    if (!this->queue.try_push(std::move(aItem))) {
      return false;
    }
    this->itemsAvailable.release();
    return true;
  }

  /** Adds an item. Blocks while the queue is full. */
  void Push(T aItem)
  {
    this->queue.push(std::move(aItem));
    this->itemsAvailable.release();
  }

  /** Removes and returns the oldest item. Returns nothing when no item arrives within aTimeout. */
  std::optional<T> TryPopFor(Duration aTimeout)
  {
    if (!this->itemsAvailable.try_acquire_for(aTimeout)) {
      return std::nullopt;
    }
    T item;
    this->queue.pop(item);
    return item;
  }

private:
  oneapi::tbb::concurrent_bounded_queue<T> queue;
  /** Number of items in the queue. Used to wait with a timeout, which oneTBB's queue can't do. */
  std::counting_semaphore<> itemsAvailable{ 0 };
};

} // namespace mustardshift
