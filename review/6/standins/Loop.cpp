#include "Loop.h"

#include <memory>
#include <utility>

namespace review {

long Loop::Now() const
{
  return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - this->start)
    .count();
}

void Loop::After(Milliseconds aDelay, std::function<void()> aTask)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(this->io, aDelay);
  timer->async_wait([timer, task = std::move(aTask)](const boost::system::error_code& aError) {
    if (!aError) {
      task();
    }
  });
}

void Loop::RunFor(Milliseconds aTime)
{
  this->RunUntil(aTime, [] { return false; });
}

bool Loop::RunUntil(Milliseconds aLongest, const std::function<bool()>& aIsDone)
{
  constexpr Milliseconds kStep(5);
  const auto end = std::chrono::steady_clock::now() + aLongest;
  while (!aIsDone()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    this->io.restart();
    this->io.run_for(kStep);
  }
  return true;
}

} // namespace review
