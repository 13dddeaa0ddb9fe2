#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Why a call to the platform gave no result. */
enum class PlatformError
{
  /** No connection to the platform; the call never left this process. It has not run. */
  NotReached,
  /** The call was sent and its answer did not arrive. It may have run. */
  AnswerLost,
  /** A precondition did not hold. Nothing was written. */
  Conflict,
  /** The platform rejected the call as malformed. It has not run. */
  Rejected,
};

inline constexpr std::array<std::pair<PlatformError, std::string_view>, 4> kPlatformErrorNames{ {
  { PlatformError::NotReached, "not-reached" },
  { PlatformError::AnswerLost, "answer-lost" },
  { PlatformError::Conflict, "conflict" },
  { PlatformError::Rejected, "rejected" },
} };

} // namespace mustardshift
