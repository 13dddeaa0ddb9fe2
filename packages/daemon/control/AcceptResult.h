#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Outcome of an operator's configuration change. */
enum class AcceptStatus
{
  Accepted,
  /** Another change was accepted first. The change was not applied. */
  Conflict,
  /** The change violates a validation rule. It was not applied. */
  Invalid,
  /** The platform is unreachable, or this VM may not accept changes. The change was not applied. */
  Unavailable,
  /** The platform's response was lost, and reading the table did not show the outcome. The change
      may have been applied. */
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
  /** Version that the change created; the current version if the change was not accepted. */
  std::uint64_t version = 0;
  /** Explanation for the operator, one sentence. */
  std::string message;
};

} // namespace mustardshift
