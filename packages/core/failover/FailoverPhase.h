#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Phase of a FailoverStateMachine. */
enum class FailoverPhase
{
  /** Nothing to do, or waiting until the delay before this VM's attempt has passed. */
  Idle,
  /** Peers are being asked whether they suspect the primary as well. */
  Querying,
  /** The row is being read, which also verifies that the platform answers. */
  Reading,
  /** The servers are being asked to accept the next term; a majority is required. */
  Fencing,
  /** The compare-and-set that records the new primary is in progress. */
  Recording,
  /** The answer to the compare-and-set is lost; the row is being read to find out whether it took
      effect. */
  ReadingBack,
  /** The recorded primary and its replicas are being told their roles. */
  Promoting,
  /** An attempt failed; the next one starts after a pause. */
  BackingOff,
};

inline constexpr std::array<std::pair<FailoverPhase, std::string_view>, 8> kFailoverPhaseNames{ {
  { FailoverPhase::Idle, "idle" },
  { FailoverPhase::Querying, "querying" },
  { FailoverPhase::Reading, "reading" },
  { FailoverPhase::Fencing, "fencing" },
  { FailoverPhase::Recording, "recording" },
  { FailoverPhase::ReadingBack, "reading-back" },
  { FailoverPhase::Promoting, "promoting" },
  { FailoverPhase::BackingOff, "backing-off" },
} };

} // namespace mustardshift
