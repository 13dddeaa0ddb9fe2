#pragma once

#include "core/base/Assert.h"

#include <cstddef>
#include <oneapi/tbb/concurrent_queue.h>
#include <optional>
#include <utility>

namespace mustardshift {

/** Bounded queue that joins two threads.

    Thread safety: all methods may be called from any thread. */
template<class T>
class BoundedRing
{
public:
  /** Precondition: aCapacity > 0. */
  explicit BoundedRing(std::size_t aCapacity)
  {
    MUSTARDSHIFT_ASSERT(aCapacity > 0);
    this->queue.set_capacity(static_cast<std::ptrdiff_t>(aCapacity));
  }

  /** Adds an item; returns false, and leaves the item out, when the ring is full. */
  bool TryPush(T aItem) { return this->queue.try_push(std::move(aItem)); }

  /** Takes the oldest item, or nothing when the ring is empty. */
  std::optional<T> TryPop()
  {
    T item;
    if (!this->queue.try_pop(item)) {
      return std::nullopt;
    }
    return item;
  }

  /** Waits for an item. Returns nothing after Close(). */
  std::optional<T> Pop()
  {
    try {
      T item;
      this->queue.pop(item);
      return item;
    } catch (const oneapi::tbb::user_abort&) {
      return std::nullopt;
    }
  }

  /** Wakes all threads that wait in Pop(). */
  void Close() { this->queue.abort(); }

private:
  oneapi::tbb::concurrent_bounded_queue<T> queue;
};

} // namespace mustardshift
