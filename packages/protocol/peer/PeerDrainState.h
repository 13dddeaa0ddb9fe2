#pragma once

#include <cstdint>

namespace mustardshift {

/** Whether the sender takes new work. The values are those sent on the wire. */
enum class PeerDrainState : std::uint8_t
{
  Serving = 0,
  /** Takes no new work and finishes what runs. */
  Draining = 1,
  /** Holds no work any more and is about to leave. */
  Drained = 2,
};

} // namespace mustardshift
