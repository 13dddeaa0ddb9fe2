#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/rate/OrganisationBuckets.h"
#include "proxy/schedule/Scheduler.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace mustardshift::proxy {

/** Admits operations in order of arrival, by the tokens of their organisation. Answers the pattern
    of clients that are spread unevenly over the VMs: a short wait, in which tokens are fetched from
    other VMs, replaces a refusal.

    Thread safety: none; one thread owns the object. */
class TokenGate
{
public:
  /** Gets whether the operation is admitted. */
  using Handler = std::function<void(Instant, bool)>;
  /** Names a waiting operation; zero for one that doesn't wait. */
  using Ticket = std::uint64_t;
  /** Told that operations wait, and how many; fetches tokens and calls Serve() when some came.
      Returns whether that may help. */
  using ShortageHandler = std::function<bool(Instant, const OrganisationName&, std::size_t)>;

  /** Longest wait. */
  static constexpr Duration kLongestWait = std::chrono::milliseconds(100);
  /** Longest wait in the time after the start. */
  static constexpr Duration kLongestWaitAtStart = std::chrono::milliseconds(400);
  /** Buckets start empty, and after an outage the clients of many VMs come at once; their backlog
     is served within about this time. */
  static constexpr Duration kStartTime = std::chrono::seconds(2);

  /** The references have to outlive the gate. */
  TokenGate(OrganisationBuckets& aBuckets, Scheduler& aScheduler)
    : buckets(aBuckets)
    , scheduler(aScheduler)
  {
  }
  TokenGate(const TokenGate&) = delete;
  TokenGate& operator=(const TokenGate&) = delete;
  ~TokenGate() = default;

  /** Tells when the process has started. Without it, there is no time after the start. */
  void SetStart(Instant aNow) { this->patientUntil = aNow + kStartTime; }

  void SetShortageHandler(ShortageHandler aHandler) { this->onShortage = std::move(aHandler); }

  /** Asks for a token. The handler is called once, at once or within the longest wait; the ticket
     is zero when it was called already. */
  Ticket Admit(Instant aNow, const OrganisationName& aOrganisation, Handler aHandler);

  /** Drops a waiting operation without calling its handler. */
  void Cancel(Ticket aTicket);

  /** Admits waiting operations; call it when an organisation has got tokens. */
  void Serve(Instant aNow, const OrganisationName& aOrganisation);

private:
  struct Waiter
  {
    Ticket ticket = 0;
    Instant until{};
    Handler handler;
  };
  struct Line
  {
    std::deque<Waiter> waiters;
    std::optional<Scheduler::TaskId> timer;
  };

  Duration LongestWait(Instant aNow) const
  {
    return aNow < this->patientUntil ? kLongestWaitAtStart : kLongestWait;
  }

  void ArmTimer(Instant aNow, const OrganisationName& aOrganisation);

  OrganisationBuckets& buckets;
  Scheduler& scheduler;
  ShortageHandler onShortage;
  Instant patientUntil{};
  std::map<OrganisationName, Line> lines;
  Ticket lastTicket = 0;
};

} // namespace mustardshift::proxy
