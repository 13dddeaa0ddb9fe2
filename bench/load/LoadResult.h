#pragma once

#include "load/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::bench {

/** What a load saw. */
struct LoadResult
{
  /** By organisation and verdict ("run", "not-run", "may-have-run", "no-answer"). */
  std::map<std::pair<std::string, std::string>, LatencyHistogram> latencies;
  std::map<std::string, std::uint64_t> reasons;
  std::uint64_t requests = 0;
  std::uint64_t reads = 0;
  std::uint64_t replicaReads = 0;
  std::uint64_t acknowledgedBookings = 0;
  std::uint64_t acknowledgedDeposits = 0;
  std::uint64_t acknowledgedTransactions = 0;
  /** Arrivals that found maximumInFlight requests under way and were left out. */
  std::uint64_t leftOut = 0;
  /** Checks at the end that could not be made, because the final reads failed. */
  std::uint64_t uncheckedOrganisations = 0;
  double seconds = 0;
  std::uint64_t violationCount = 0;
  /** The first few. */
  std::vector<std::string> violations;

  std::string ToText() const;
  std::string ToJson() const;
};

} // namespace mustardshift::bench
