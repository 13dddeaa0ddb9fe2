#pragma once

#include "core/base/Instant.h"
#include "emulator/Deployment.h"
#include "emulator/Percentiles.h"

#include <array>
#include <cstdint>

namespace mustardshift::bench {

enum class ReadPolicy
{
  /** ReadRouter with session tokens. */
  Router,
  /** Baseline: the primary for one second after the session's last write, then any replica. */
  PrimaryAfterWrite,
  /** Broken variant: ReadRouter, but the session's floor is not passed to it. */
  RouterWithoutFloor,
};

struct ReadOptions
{
  std::uint64_t seed = 1;
  unsigned vms = 6;
  unsigned sessions = 300;
  ReadPolicy policy = ReadPolicy::Router;
  /** Unlike each other, so that sessions can fall behind when they change the replica. */
  std::array<Duration, 2> lags{ Duration(40'000), Duration(60'000) };
  Duration length = std::chrono::seconds(60);
  /** Whether views carry a lag estimated from the primary's positions; without, they say zero. */
  bool hasLagEstimate = false;
};

struct ReadResult
{
  std::uint64_t reads = 0;
  std::uint64_t replicaReads = 0;
  /** Reads that returned less than the session had written or read before. */
  std::uint64_t staleReads = 0;
  std::uint64_t writes = 0;
  std::uint64_t waits = 0;
  std::uint64_t failedWaits = 0;
  Percentiles latencies;

  double ReplicaShare() const
  {
    return this->reads == 0
             ? 0
             : static_cast<double>(this->replicaReads) / static_cast<double>(this->reads);
  }
};

/** Runs sessions that connect to another VM at random for each request, against one primary and two
    replicas, in virtual time. Each session sends its next request a random time, 400 ms on average,
    after the last answer; a tenth are writes, and after a write three in ten sessions read at once.
    A write is acknowledged, and a read at the primary answered, once a replica holds the position.
    The routes' freshness bounds are 250 ms, 2 s and 60 s, each for a third of the reads. */
ReadResult EmulateReads(const Deployment& aDeployment, const ReadOptions& aOptions);

} // namespace mustardshift::bench
