#pragma once

#include "core/base/Instant.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mustardshift::bench {

/** Counts times in buckets whose width is at most 1/32 of their value, from 1 us to 4.7 hours.
    Thread safety: none. */
class LatencyHistogram
{
public:
  void Add(Duration aTime);
  std::uint64_t Count() const { return this->count; }
  Duration Largest() const { return this->largest; }
  /** Upper limit of the bucket that holds the time which aShare (0 to 1) of all times don't exceed;
      zero when nothing was counted. */
  Duration Percentile(double aShare) const;

private:
  static constexpr unsigned kSubBucketBits = 5;
  static constexpr std::size_t kSubBuckets = std::size_t{ 1 } << kSubBucketBits;
  static constexpr std::size_t kExponents = 30;

  std::array<std::uint64_t, kSubBuckets * kExponents> buckets{};
  std::uint64_t count = 0;
  Duration largest{ 0 };
};

} // namespace mustardshift::bench
