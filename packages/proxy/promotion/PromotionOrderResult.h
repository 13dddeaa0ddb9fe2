#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Answer of the platform to an order to promote a server. */
enum class PromotionOrderResult
{
  Accepted,
  /** The fencing token is older than one that the platform has seen, or the server is not
      running. */
  Rejected,
  /** The platform refused the call and did nothing. */
  NotDone,
  /** No answer arrived in time. The order may have been carried out, or may still be carried out
      later. */
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
