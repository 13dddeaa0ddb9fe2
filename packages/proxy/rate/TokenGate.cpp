#include "proxy/rate/TokenGate.h"

#include <algorithm>
#include <utility>

namespace mustardshift::proxy {

namespace {

/** Pause between looks at a bucket whose next token is not in sight. */
constexpr Duration kLookAgain = std::chrono::milliseconds(20);

} // namespace

TokenGate::Ticket TokenGate::Admit(Instant aNow,
                                   const OrganisationName& aOrganisation,
                                   Handler aHandler)
{
  Line& line = this->lines[aOrganisation];
  if (line.waiters.empty() && this->buckets.TryTake(aNow, aOrganisation)) {
    aHandler(aNow, true);
    return 0;
  }
  const bool mayGetTokens =
    this->onShortage && this->onShortage(aNow, aOrganisation, line.waiters.size() + 1);
  const auto next = this->buckets.TimeOfTokens(aNow, aOrganisation, line.waiters.size() + 1);
  const bool isStarting = aNow < this->patientUntil;
  if (!mayGetTokens && !isStarting && (!next || *next > aNow + this->LongestWait(aNow))) {
    aHandler(aNow, false);
    return 0;
  }
  const Ticket ticket = ++this->lastTicket;
  line.waiters.push_back({ ticket, aNow + this->LongestWait(aNow), std::move(aHandler) });
  this->ArmTimer(aNow, aOrganisation);
  return ticket;
}

void TokenGate::Cancel(Ticket aTicket)
{
  for (auto& [organisation, line] : this->lines) {
    const auto erased =
      std::erase_if(line.waiters, [&](const Waiter& aWaiter) { return aWaiter.ticket == aTicket; });
    if (erased > 0) {
      return;
    }
  }
}

void TokenGate::Serve(Instant aNow, const OrganisationName& aOrganisation)
{
  Line& line = this->lines[aOrganisation];
  while (!line.waiters.empty()) {
    const bool hasToken = this->buckets.TryTake(aNow, aOrganisation);
    if (!hasToken && aNow < line.waiters.front().until) {
      break;
    }
    const Handler handler = std::move(line.waiters.front().handler);
    line.waiters.pop_front();
    handler(aNow, hasToken);
  }
  if (!line.waiters.empty() && this->onShortage) {
    this->onShortage(aNow, aOrganisation, line.waiters.size());
  }
  this->ArmTimer(aNow, aOrganisation);
}

void TokenGate::ArmTimer(Instant aNow, const OrganisationName& aOrganisation)
{
  Line& line = this->lines[aOrganisation];
  if (line.timer || line.waiters.empty()) {
    return;
  }
  const auto next = this->buckets.NextToken(aNow, aOrganisation);
  const Instant due =
    std::min(std::max(next.value_or(aNow + kLookAgain), aNow + std::chrono::milliseconds(1)),
             line.waiters.front().until);
  line.timer = this->scheduler.Schedule(due, [this, aOrganisation](Instant aThen) {
    this->lines[aOrganisation].timer.reset();
    this->Serve(aThen, aOrganisation);
  });
}

} // namespace mustardshift::proxy
