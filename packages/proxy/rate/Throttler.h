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

/** Admits operations in order of arrival, as tokens of their organisation become available. If
    clients are spread unevenly over the VMs, an operation waits briefly while tokens are fetched
    from other VMs, instead of being refused.

    Thread safety: none; one thread owns the object. */
class Throttler
{
public:
  /** Called with the present time and whether the operation is admitted. */
  using Handler = std::function<void(Instant, bool)>;
  /** Identifies a waiting operation; zero if the operation does not wait. */
  using Ticket = std::uint64_t;
  /** Called with the number of waiting operations when tokens are short. Requests tokens and calls
      AdmitWaiters() when some have arrived. Returns whether tokens may arrive. */
  using ShortageHandler = std::function<bool(Instant, const OrganisationName&, std::size_t)>;

  static constexpr Duration kMaxWait = std::chrono::milliseconds(100);
  /** Longest wait during kStartupDuration. */
  static constexpr Duration kMaxWaitDuringStartup = std::chrono::milliseconds(400);
  /** Time after the process start in which operations may wait longer. Buckets start empty, and
      after an outage the clients of many VMs reconnect at once; their backlog is served within
      about this time. */
  static constexpr Duration kStartupDuration = std::chrono::seconds(2);

  /** The references must outlive the throttler. */
  Throttler(OrganisationBuckets& aBuckets, Scheduler& aScheduler)
    : buckets(aBuckets)
    , scheduler(aScheduler)
  {
  }
  Throttler(const Throttler&) = delete;
  Throttler& operator=(const Throttler&) = delete;
  ~Throttler() = default;

  /** Sets the start time of the process. Without this call, the longer wait during startup does not
      apply. */
  void SetProcessStart(Instant aNow) { this->startupEndsAt = aNow + kStartupDuration; }

  void SetShortageHandler(ShortageHandler aHandler) { this->onShortage = std::move(aHandler); }

  /** Requests a token. The handler is called exactly once unless the operation is cancelled: before
      this returns, or within the longest wait. Returns a ticket for Cancel(), or zero if the
      handler was already called. */
  Ticket Admit(Instant aNow, const OrganisationName& aOrganisation, Handler aHandler);

  /** Removes a waiting operation without calling its handler. */
  void Cancel(Ticket aTicket);

  /** Admits waiting operations. Call it when an organisation has received tokens. */
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

  Duration MaxWait(Instant aNow) const
  {
    return aNow < this->startupEndsAt ? kMaxWaitDuringStartup : kMaxWait;
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
