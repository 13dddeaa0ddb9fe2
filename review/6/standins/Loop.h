#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

namespace review {

using Milliseconds = std::chrono::milliseconds;

/** The event loop of a case program: one thread runs all stand-ins and clients. */
class Loop
{
public:
  boost::asio::io_context& Io() { return this->io; }

  /** Milliseconds since the loop was made. */
  long Now() const;

  /** Calls aTask after a delay. */
  void After(Milliseconds aDelay, std::function<void()> aTask);

  void RunFor(Milliseconds aTime);

  /** Runs until aIsDone returns true, but no longer than aLongest. Returns what aIsDone says. */
  bool RunUntil(Milliseconds aLongest, const std::function<bool()>& aIsDone);

private:
  boost::asio::io_context io{ 1 };
  std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
};

} // namespace review
