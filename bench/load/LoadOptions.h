#pragma once

#include "core/base/Instant.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardshift::bench {

/** One organisation's part of a load. */
struct LoadedOrganisation
{
  std::string name;
  /** Empty on a public route. */
  std::string key;
  std::string route;
  /** Requests per second. */
  double rate = 0;
  std::size_t sessions = 1;
};

struct LoadOptions
{
  /** Caller addresses of daemons. */
  std::vector<std::string> targets;
  std::vector<LoadedOrganisation> organisations;
  std::uint64_t seed = 1;
  /** Prefix of all keys and request ids, unique to the run. */
  std::string runId;
  Duration length = std::chrono::seconds(10);
  std::uint64_t maximumRequests = 100'000;
  /** Most requests under way; beyond, sessions are not started on their next request. */
  std::size_t maximumInFlight = 2'000;
  Duration requestTimeout = std::chrono::seconds(5);
  std::size_t channelsPerTarget = 4;
  /** Shares of the requests; the rest are reads. */
  double bookingShare = 0.15;
  double depositShare = 0.1;
  double transactionShare = 0.05;
};

} // namespace mustardshift::bench
