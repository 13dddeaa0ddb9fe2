#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ServerRecord.h"
#include "proxy/promotion/PromotionOrderResult.h"

#include <concepts>
#include <cstdint>
#include <functional>

namespace mustardshift::proxy {

/** An order to make a server the primary of its group. */
struct PromotionOrder
{
  DatabaseName group;
  ServerId candidate;
  VmId holder;
  std::uint64_t fencingToken = 0;
};

/** Sends promotion orders to the platform. The handler is called exactly once, and never before
    Send() has returned. */
template<class Orders>
concept PromotionOrderSender = requires(Orders aOrders,
                                        const PromotionOrder& aOrder,
                                        std::function<void(Instant, PromotionOrderResult)> aHandler)
{
  aOrders.Send(aOrder, aHandler);
};

} // namespace mustardshift::proxy
