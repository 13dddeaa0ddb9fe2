#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** The file that a case writes: one line for each message, with the time since the start.

    Thread safety: all methods may be called by any thread. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath)
    , startedAt(Clock::now())
  {
  }

  void Write(const std::string& aText)
  {
    const std::lock_guard guard(this->mutex);
    this->file << this->Milliseconds(Clock::now()) << " ms  " << aText << "\n" << std::flush;
  }

  std::int64_t Milliseconds(Clock::time_point aTime) const
  {
    return std::chrono::duration_cast<milliseconds>(aTime - this->startedAt).count();
  }

private:
  std::mutex mutex;
  std::ofstream file;
  Clock::time_point startedAt;
};

} // namespace review
