#include "load/LatencyHistogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace mustardshift::bench {

void LatencyHistogram::Add(Duration aTime)
{
  const auto value = static_cast<std::uint64_t>(std::max<Duration::rep>(aTime.count(), 0));
  std::size_t bucket = value;
  if (value >= kSubBuckets) {
    const auto exponent = static_cast<unsigned>(std::bit_width(value)) - 1 - kSubBucketBits;
    bucket = (exponent + 1) * kSubBuckets + ((value >> exponent) - kSubBuckets);
  }
  ++this->buckets[std::min(bucket, this->buckets.size() - 1)];
  ++this->count;
  this->largest = std::max(this->largest, aTime);
}

Duration LatencyHistogram::Percentile(double aShare) const
{
  const auto rank =
    static_cast<std::uint64_t>(std::ceil(aShare * static_cast<double>(this->count)));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < this->buckets.size(); ++bucket) {
    seen += this->buckets[bucket];
    if (seen >= std::max<std::uint64_t>(rank, 1)) {
      if (bucket < kSubBuckets) {
        return Duration(static_cast<Duration::rep>(bucket));
      }
      const std::size_t exponent = bucket / kSubBuckets - 1;
      const std::size_t upper = (kSubBuckets + bucket % kSubBuckets + 1) << exponent;
      return std::min(Duration(static_cast<Duration::rep>(upper - 1)), this->largest);
    }
  }
  return Duration(0);
}

} // namespace mustardshift::bench
