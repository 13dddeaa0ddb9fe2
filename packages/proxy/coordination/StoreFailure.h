#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Why a call to the table store gave no result. */
enum class StoreFailure
{
  /** The store refused the call; nothing was done. */
  Refused,
  /** No answer: a write may have been done, or may yet be. */
  NoAnswer,
  /** A row did not have the expected version; nothing was done. */
  Conflict,
  /** The changes since the given version are no longer known. */
  HistoryLost,
};

inline constexpr std::array<std::pair<StoreFailure, std::string_view>, 4> kStoreFailureNames{ {
  { StoreFailure::Refused, "refused" },
  { StoreFailure::NoAnswer, "no-answer" },
  { StoreFailure::Conflict, "conflict" },
  { StoreFailure::HistoryLost, "history-lost" },
} };

} // namespace mustardshift::proxy
