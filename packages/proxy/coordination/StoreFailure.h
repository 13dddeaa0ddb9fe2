#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Reason why a call to the table store failed. */
enum class StoreFailure
{
  /** The store refused the call and changed nothing. */
  Refused,
  /** No answer arrived in time. A write may have been applied, or may still be applied later. */
  NoAnswer,
  /** The row did not have the expected version; nothing was changed. */
  Conflict,
  /** The store no longer has the history of changes since the requested version. */
  HistoryLost,
};

inline constexpr std::array<std::pair<StoreFailure, std::string_view>, 4> kStoreFailureNames{ {
  { StoreFailure::Refused, "refused" },
  { StoreFailure::NoAnswer, "no-answer" },
  { StoreFailure::Conflict, "conflict" },
  { StoreFailure::HistoryLost, "history-lost" },
} };

} // namespace mustardshift::proxy
