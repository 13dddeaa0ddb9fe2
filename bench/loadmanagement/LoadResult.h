#pragma once

#include "emulator/Percentiles.h"

#include <array>
#include <cstddef>
#include <vector>

namespace mustardshift::bench {

inline constexpr std::size_t kLoadPriorities = 3;

/** Statements of one priority. */
struct PriorityResult
{
  double sent = 0;
  double served = 0;
  double withinTarget = 0;
  /** From the client's request to the answer, of those that were served. */
  Percentiles latency;
  /** Statements sent and served by second. */
  std::vector<double> sentBySecond;
  std::vector<double> servedBySecond;

  /** Smallest part that was served in one second. */
  double WorstSecond() const
  {
    double worst = 1;
    for (std::size_t second = 0; second < this->sentBySecond.size(); ++second) {
      if (this->sentBySecond[second] > 0) {
        worst = std::min(worst, this->servedBySecond[second] / this->sentBySecond[second]);
      }
    }
    return worst;
  }
};

/** Result of one run of LoadEmulation. */
struct LoadResult
{
  std::array<PriorityResult, kLoadPriorities> priorities;
  /** Arrivals at servers, and those that were rejected as busy there. */
  double arrivals = 0;
  double rejected = 0;
  /** Requests that a gateway refused. */
  double refused = 0;
  double crossed = 0;
  /** Arrivals at the busiest server of a group in relation to the group's mean; average over
      the groups. */
  double busiestToMean = 0;
};

} // namespace mustardshift::bench
