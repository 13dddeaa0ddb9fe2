#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace mustardshift {

/** What became of an operator's change. */
enum class AcceptStatus
{
  Accepted,
  /** Another change was first. Not run. */
  Conflict,
  /** The change breaks a rule. Not run. */
  Invalid,
  /** The platform is out of reach, or this VM may not accept changes. Not run. */
  Unavailable,
  /** The platform's answer was lost and could not be read back. May have run. */
  Unknown,
};

inline constexpr std::array<std::pair<AcceptStatus, std::string_view>, 5> kAcceptStatusNames{ {
  { AcceptStatus::Accepted, "accepted" },
  { AcceptStatus::Conflict, "conflict" },
  { AcceptStatus::Invalid, "invalid" },
  { AcceptStatus::Unavailable, "unavailable" },
  { AcceptStatus::Unknown, "unknown" },
} };

struct AcceptResult
{
  AcceptStatus status = AcceptStatus::Unavailable;
  /** Version that the change made, else the present version. */
  std::uint64_t version = 0;
  /** One sentence for operators. */
  std::string message;
};

} // namespace mustardshift
