#pragma once

#include "core/base/Instant.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace mustardshift::bench {

/** Collects times and gives their percentiles. Thread safety: none. */
class Percentiles
{
public:
  void Add(Duration aTime) { this->times.push_back(aTime); }
  std::size_t Count() const { return this->times.size(); }

  /** The smallest time that aShare (0 to 1) of all times don't exceed, in milliseconds; zero when
      there is none. */
  double Milliseconds(double aShare)
  {
    if (this->times.empty()) {
      return 0;
    }
    const auto rank =
      static_cast<std::size_t>(std::ceil(aShare * static_cast<double>(this->times.size())));
    const auto place =
      this->times.begin() +
      static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, this->times.size()) - 1);
    std::nth_element(this->times.begin(), place, this->times.end());
    return static_cast<double>(place->count()) / 1000;
  }

private:
  std::vector<Duration> times;
};

} // namespace mustardshift::bench
