#pragma once

#include "core/base/Instant.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mustardshift::proxy {

/** Numbers of successes and failures in a sliding window.

    Thread safety: none; one thread owns the object. */
class AnswerWindow
{
public:
  /** Long enough for 20 answers of a server with 2 statements/s. */
  static constexpr Duration kLength = std::chrono::seconds(10);

  void Record(Instant aNow, bool aHasSucceeded);
  void Clear() { this->slices = {}; }

  unsigned Count(Instant aNow) const;
  unsigned Failures(Instant aNow) const;

private:
  static constexpr std::size_t kSliceCount = 10;
  struct Slice
  {
    /** Number of the slice of time that the counts belong to. */
    std::int64_t number = 0;
    unsigned count = 0;
    unsigned failures = 0;
  };

  static std::int64_t SliceNumber(Instant aNow);

  std::array<Slice, kSliceCount> slices{};
};

} // namespace mustardshift::proxy
