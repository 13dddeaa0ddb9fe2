#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace mustardshift {

/** Settings of a PeerNode. */
struct PeerNodeOptions
{
  VmId self;
  /** "IP:port"; port 0 takes a free one. */
  std::string listenAddress;
  /** Messages that wait for one peer's link. */
  std::size_t queueCapacity = 64;
  /** Wait after a link is lost; it doubles with each failure, with jitter. */
  Duration reconnectMinimum{ 100'000 };
  /** A peer that restarts has to be found again well within the suspicion of its VM, so the wait
      stays short; a try costs one refused TCP connection. */
  Duration reconnectMaximum{ 1'000'000 };
  /** Seed of the jitter; VMs have to differ in it. */
  std::uint64_t seed = 1;
};

} // namespace mustardshift
