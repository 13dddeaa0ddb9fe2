#include "proxy/rate/Throttler.h"

#include <algorithm>
#include <utility>

namespace mustardshift::proxy {

namespace {

/** Interval between checks of a bucket whose next token has no known time. */
constexpr Duration kPollDelay = std::chrono::milliseconds(20);

} // namespace

Throttler::Ticket Throttler::Admit(Instant aNow,
                                   const OrganisationName& aOrganisation,
                                   Handler aHandler)
{
  Queue& queue = this->queues[aOrganisation];
  if (queue.waiters.empty() && this->buckets.TryTake(aNow, aOrganisation)) {
    aHandler(aNow, true);
    return 0;
  }
  const bool mayGetTokens =
    this->onShortage && this->onShortage(aNow, aOrganisation, queue.waiters.size() + 1);
  const auto next = this->buckets.TokensAvailableAt(aNow, aOrganisation, queue.waiters.size() + 1);
  const bool isStarting = aNow < this->startupEndsAt;
  if (!mayGetTokens && !isStarting && (!next || *next > aNow + this->MaxWait(aNow))) {
    aHandler(aNow, false);
    return 0;
  }
  const Ticket ticket = ++this->lastTicket;
  queue.waiters.push_back({ ticket, aNow + this->MaxWait(aNow), std::move(aHandler) });
  this->ArmTimer(aNow, aOrganisation);
  return ticket;
}

void Throttler::Cancel(Ticket aTicket)
{
  for (auto& [organisation, queue] : this->queues) {
    const auto erased = std::erase_if(
      queue.waiters, [&](const Waiter& aWaiter) { return aWaiter.ticket == aTicket; });
    if (erased > 0) {
      return;
    }
  }
}

void Throttler::AdmitWaiters(Instant aNow, const OrganisationName& aOrganisation)
{
  Queue& queue = this->queues[aOrganisation];
  while (!queue.waiters.empty()) {
    const bool hasToken = this->buckets.TryTake(aNow, aOrganisation);
    if (!hasToken && aNow < queue.waiters.front().deadline) {
      break;
    }
    const Handler handler = std::move(queue.waiters.front().handler);
    queue.waiters.pop_front();
    handler(aNow, hasToken);
  }
  if (!queue.waiters.empty() && this->onShortage) {
    this->onShortage(aNow, aOrganisation, queue.waiters.size());
  }
  this->ArmTimer(aNow, aOrganisation);
}

void Throttler::ArmTimer(Instant aNow, const OrganisationName& aOrganisation)
{
  Queue& queue = this->queues[aOrganisation];
  if (queue.timer || queue.waiters.empty()) {
    return;
  }
  const auto next = this->buckets.NextTokenAt(aNow, aOrganisation);
  const Instant due =
    std::min(std::max(next.value_or(aNow + kPollDelay), aNow + std::chrono::milliseconds(1)),
             queue.waiters.front().deadline);
  queue.timer = this->scheduler.Schedule(due, [this, aOrganisation](Instant aThen) {
    this->queues[aOrganisation].timer.reset();
    this->AdmitWaiters(aThen, aOrganisation);
  });
}

} // namespace mustardshift::proxy
