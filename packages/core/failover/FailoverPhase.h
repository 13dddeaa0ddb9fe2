#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Where a FailoverStateMachine stands. */
enum class FailoverPhase
{
  /** Nothing to do, or waiting for this VM's turn. */
  Idle,
  /** Peers are asked whether they suspect the primary, too. */
  Querying,
  /** The row is read, which also shows that the platform answers. */
  Reading,
  /** A majority has to accept the next term. */
  Fencing,
  /** The compare-and-set is under way. */
  Recording,
  /** The compare-and-set's answer is lost, and the row is read to find out. */
  ReadingBack,
  /** The recorded primary and its replicas are told their roles. */
  Promoting,
  /** An attempt failed; the next one waits. */
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
