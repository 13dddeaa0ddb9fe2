#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** How mustardshiftctl ends. Scripts depend on the numbers. */
enum class ExitCode
{
  /** The change was accepted, or the answer was shown. */
  Accepted = 0,
  /** A fault of mustardshiftctl, or a VM that doesn't take the call, such as one of another
      release. */
  Internal = 1,
  /** Wrong usage, a faulty file, or a change that the VM finds invalid. It has not run. */
  Invalid = 2,
  /** Another change came first. This one has not run. */
  Conflict = 3,
  /** No VM was reached, or the VM can't make changes at present. The change has not run. */
  Unavailable = 4,
  /** The answer was lost. The change may have run. */
  Unknown = 5,
};

/** Names of the results, as the output shows them. */
inline constexpr std::array<std::pair<ExitCode, std::string_view>, 6> kExitCodeNames{ {
  { ExitCode::Accepted, "accepted" },
  { ExitCode::Internal, "internal" },
  { ExitCode::Invalid, "invalid" },
  { ExitCode::Conflict, "conflict" },
  { ExitCode::Unavailable, "unavailable" },
  { ExitCode::Unknown, "unknown" },
} };

/** Explanations for --help. */
inline constexpr std::array<std::pair<ExitCode, std::string_view>, 6> kExitCodeMeanings{ {
  { ExitCode::Accepted, "accepted, or the answer was shown" },
  { ExitCode::Internal, "internal: a fault of mustardshiftctl, or the VM does not take the call" },
  { ExitCode::Invalid, "wrong usage, faulty file or invalid change (not run)" },
  { ExitCode::Conflict, "conflict: another change came first (not run)" },
  { ExitCode::Unavailable, "unavailable: no VM was reached, or it can't make changes (not run)" },
  { ExitCode::Unknown, "unknown: the answer was lost (may have run)" },
} };

} // namespace mustardshift
