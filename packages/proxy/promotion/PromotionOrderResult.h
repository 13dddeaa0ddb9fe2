#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** How the platform answered an order to promote a server. */
enum class PromotionOrderResult
{
  Accepted,
  /** The fence is older than one that the platform has seen, or the server doesn't run. */
  Rejected,
  /** The platform refused the call; nothing was done. */
  NotDone,
  /** No answer: the order may have been carried out, or may yet be. */
  NoAnswer,
};

inline constexpr std::array<std::pair<PromotionOrderResult, std::string_view>, 4>
  kPromotionOrderResultNames{ {
    { PromotionOrderResult::Accepted, "accepted" },
    { PromotionOrderResult::Rejected, "rejected" },
    { PromotionOrderResult::NotDone, "not-done" },
    { PromotionOrderResult::NoAnswer, "no-answer" },
  } };

} // namespace mustardshift::proxy
