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
  /** The store has returned from an older copy since the version that the call is based on, or
      since the answer. A write may have been applied to a row that the caller does not know. */
  EraChanged,
};

inline constexpr std::array<std::pair<StoreFailure, std::string_view>, 5> kStoreFailureNames{ {
  { StoreFailure::Refused, "refused" },
  { StoreFailure::NoAnswer, "no-answer" },
  { StoreFailure::Conflict, "conflict" },
  { StoreFailure::HistoryLost, "history-lost" },
  { StoreFailure::EraChanged, "era-changed" },
} };

} // namespace mustardshift::proxy
