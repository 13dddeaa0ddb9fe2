#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

namespace mustardshift::standin {

/** The slots of one server; statements that find none free wait in order of arrival.

    Thread safety: all methods may be called from any thread. */
class SlotPool
{
public:
  explicit SlotPool(std::uint32_t aSlots);

  /** Calls aStart with a slot taken, now or when one becomes free. */
  void Acquire(std::function<void()> aStart);
  /** Gives a slot back, which starts the next statement. */
  void Release();

  std::uint64_t MostInUse();
  std::uint64_t LongestQueue();

private:
  std::mutex mutex;
  const std::uint32_t slots;
  std::uint32_t inUse = 0;
  std::uint64_t mostInUse = 0;
  std::uint64_t longestQueue = 0;
  std::deque<std::function<void()>> waiting;
};

} // namespace mustardshift::standin
