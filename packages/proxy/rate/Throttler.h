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
class Throttler
{
public:
  /** Gets whether the operation is admitted. */
  using Handler = std::function<void(Instant, bool)>;
  /** Names a waiting operation; zero for one that doesn't wait. */
  using Ticket = std::uint64_t;
  /** Told that operations wait, and how many; fetches tokens and calls AdmitWaiters() when some
     came. Returns whether that may help. */
  using ShortageHandler = std::function<bool(Instant, const OrganisationName&, std::size_t)>;

  /** Longest wait. */
  static constexpr Duration kLongestWait = std::chrono::milliseconds(100);
  /** Longest wait in the time after the start. */
  static constexpr Duration kLongestWaitDuringStartup = std::chrono::milliseconds(400);
  /** Buckets start empty, and after an outage the clients of many VMs come at once; their backlog
     is served within about this time. */
  static constexpr Duration kStartupDuration = std::chrono::seconds(2);

  /** The references have to outlive the gate. */
  Throttler(OrganisationBuckets& aBuckets, Scheduler& aScheduler)
    : buckets(aBuckets)
    , scheduler(aScheduler)
  {
  }
  Throttler(const Throttler&) = delete;
  Throttler& operator=(const Throttler&) = delete;
  ~Throttler() = default;

  /** Tells when the process has started. Without it, there is no time after the start. */
  void SetProcessStart(Instant aNow) { this->startupEndsAt = aNow + kStartupDuration; }

  void SetShortageHandler(ShortageHandler aHandler) { this->onShortage = std::move(aHandler); }

  /** Asks for a token. The handler is called once, at once or within the longest wait; the ticket
     is zero when it was called already. */
  Ticket Admit(Instant aNow, const OrganisationName& aOrganisation, Handler aHandler);

  /** Drops a waiting operation without calling its handler. */
  void Cancel(Ticket aTicket);

  /** Admits waiting operations; call it when an organisation has got tokens. */
  void AdmitWaiters(Instant aNow, const OrganisationName& aOrganisation);

private:
  struct Waiter
  {
    Ticket ticket = 0;
    Instant deadline{};
    Handler handler;
  };
  struct Queue
  {
    std::deque<Waiter> waiters;
    std::optional<Scheduler::TaskId> timer;
  };

  Duration LongestWait(Instant aNow) const
  {
    return aNow < this->startupEndsAt ? kLongestWaitDuringStartup : kLongestWait;
  }

  void ArmTimer(Instant aNow, const OrganisationName& aOrganisation);

  OrganisationBuckets& buckets;
  Scheduler& scheduler;
  ShortageHandler onShortage;
  Instant startupEndsAt{};
  std::map<OrganisationName, Queue> queues;
  Ticket lastTicket = 0;
};

} // namespace mustardshift::proxy
