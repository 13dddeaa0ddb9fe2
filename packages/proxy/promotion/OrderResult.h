#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** How the platform answered an order to promote a server. */
enum class OrderResult
{
  Accepted,
  /** The fence is older than one that the platform has seen, or the server doesn't run. */
  Rejected,
  /** The platform refused the call; nothing was done. */
  NotDone,
  /** No answer: the order may have been carried out, or may yet be. */
  NoAnswer,
};

inline constexpr std::array<std::pair<OrderResult, std::string_view>, 4> kOrderResultNames{ {
  { OrderResult::Accepted, "accepted" },
  { OrderResult::Rejected, "rejected" },
  { OrderResult::NotDone, "not-done" },
  { OrderResult::NoAnswer, "no-answer" },
} };

} // namespace mustardshift::proxy
