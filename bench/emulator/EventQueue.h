#pragma once

#include "core/base/Instant.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace mustardshift::bench {

/** Virtual time: actions run in the order of their instants, those of one instant in the order in
    which they were added. Thread safety: none. */
class EventQueue
{
public:
  Instant Now() const { return this->now; }

  void After(Duration aDelay, std::function<void()> aAction)
  {
    this->events.push({ this->now + aDelay, ++this->lastNumber, std::move(aAction) });
  }

  /** Runs an action now and then every aInterval, until it returns false. */
  void Every(Duration aInterval, std::function<bool()> aAction)
  {
    if (aAction()) {
      this->After(aInterval, [this, aInterval, action = std::move(aAction)] {
        this->Every(aInterval, action);
      });
    }
  }

  void RunUntil(Instant aEnd)
  {
    while (!this->events.empty() && this->events.top().at < aEnd) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
    this->now = aEnd;
  }

private:
  struct Event
  {
    Instant at;
    std::uint64_t number = 0;
    std::function<void()> action;

    bool operator<(const Event& aOther) const
    {
      return this->at != aOther.at ? this->at > aOther.at : this->number > aOther.number;
    }
  };

  Instant now{ std::chrono::seconds(1000) };
  std::uint64_t lastNumber = 0;
  std::priority_queue<Event> events;
};

} // namespace mustardshift::bench
