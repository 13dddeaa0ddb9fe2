#pragma once

#include <cstdint>

namespace mustardshift {

/** Whether the sender takes new work. The values are those sent on the wire. */
enum class PeerDrainState : std::uint8_t
{
  Serving = 0,
  /** Takes no new work and completes the work in progress. */
  Draining = 1,
  /** Has no work left and is about to leave service. */
  Drained = 2,
};

} // namespace mustardshift
