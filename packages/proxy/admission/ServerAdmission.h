#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/admission/AdmissionDecisions.h"
#include "proxy/admission/AdmissionOutcome.h"
#include "proxy/admission/AdmissionRequest.h"
#include "proxy/admission/AdmissionTicket.h"
#include "proxy/admission/ConcurrencyLimit.h"
#include "proxy/admission/ServerLoad.h"
#include "proxy/admission/UtilisationAverage.h"
#include "proxy/admission/WaitingItem.h"
#include "proxy/admission/WaitingLevel.h"
#include "proxy/admission/WorkAhead.h"
#include "proxy/admission/WorkRate.h"
#include "proxy/admission/WorkTimeEstimate.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** Decides in which order work starts at one database server, and which work is refused because it
    can't start in time. The server's gateway holds one object for each server.

    Order: statements of open transactions, then by priority. Of eight starts, each level that
    waits gets at least one (levels: open transactions, and each priority). Within a level,
    organisations share the server's time by start-time fair queueing; the statements of one
    organisation start in the order of their target times, or of startBy where the target is
    missed.

    Refused at once: work that can't start by its startBy, given the work ahead of it and the
    measured times, or the rate at which its organisation's work has started lately; and work that
    new arrivals push beyond its startBy. Nothing is refused while a slot is free, except work
    whose startBy has passed.

    Usage: after each Add(), Remove() and Finish(), and at NextDue(), call Step() and carry out
    what it returns. Each admitted ticket ends with one Finish().

    Cost: Add(), Remove(), Finish() and each start take O(log n) for n waiting requests and a few
    levels. Step() compares the requests of a level with their time limits, O(n), only if all work
    of the level takes longer than the shortest time that is left there, and then once for each
    arrival or kCheckInterval.

    Thread safety: none; one thread owns the object. */
class ServerAdmission
{
public:
  /** Largest number of waiting requests. */
  static constexpr std::size_t kMaxWaiting = 512;
  /** Each level that waits gets at least one of this many starts. */
  static constexpr unsigned kStartsPerTurn = 8;
  /** Statements that may be at the server beyond its slots, so that a slot isn't empty during
      the round trip between server and gateway. */
  static constexpr unsigned kStartsBeyondSlots = 1;
  /** Without arrivals, waiting requests are compared with their time limits at most this often. */
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(20);

  /** @param aSlots  statements that the server runs at the same time. Precondition: > 0. */
  explicit ServerAdmission(unsigned aSlots);

  /** Applies a new number of slots. Precondition: > 0. */
  void SetSlots(unsigned aSlots);

  /** Adds a request; the next Step() admits it, refuses it, or lets it wait. */
  AdmissionTicket Add(Instant aNow, const AdmissionRequest& aRequest);

  /** Removes a request whose caller no longer wants it. Precondition: it waits, that is, Step()
      has neither admitted nor refused it. */
  void Remove(Instant aNow, AdmissionTicket aTicket);

  /** Ends admitted work. Precondition: it was admitted and not yet finished. */
  void Finish(Instant aNow, AdmissionTicket aTicket, const AdmissionOutcome& aOutcome);

  /** Returns the work that starts now and the work that is refused. */
  AdmissionDecisions Step(Instant aNow);

  /** Instant at which Step() has something to do without a further call; nothing if none waits. */
  std::optional<Instant> NextDue() const;

  /** Expected time from now until the server begins a new statement of a priority, whose
      organisation has as much waiting as the others. Grows while a server that has stopped ends
      nothing. */
  Duration ExpectedWait(Instant aNow, unsigned aPriority) const;

  /** Expected time of the server for a kind of work, without waits. */
  Duration ExpectedTime(WorkKind aKind) const { return this->estimate.Expected(aKind); }

  /** Load to report to other VMs. What OutlierDetector knows is left to the caller. */
  ServerLoad Load(Instant aNow) const;

  /** Waiting requests in the order in which they start if nothing else arrives. For status and
      tests; O(n log n). */
  std::vector<AdmissionTicket> StartOrder() const;

  std::size_t WaitingCount() const { return this->waiting.size(); }
  std::size_t InFlightCount() const { return this->inFlight.size(); }
  /** Statements that may be at the server now. */
  unsigned Limit() const { return this->limit.Current(); }

private:
  /** Levels in the order of service: 0 for open transactions, 1 + priority for new work. */
  using LevelNumber = unsigned;
  using Levels = std::map<LevelNumber, WaitingLevel>;

  struct Waiting
  {
    LevelNumber level = 0;
    WorkKind kind = WorkKind::Read;
    WaitingItem item;
  };
  struct InFlight
  {
    AdmissionTicket ticket = 0;
    WorkKind kind = WorkKind::Read;
    Duration cost{ 0 };
    /** When the server probably began it; nothing while work of ours is ahead of it. */
    std::optional<Instant> runningSince;
    /** Work of ours was ahead of it when it was sent. */
    bool hadWorkAhead = false;
  };

  static unsigned MayMiss(std::size_t aLevelCount);
  static LevelNumber LevelOf(const AdmissionRequest& aRequest);
  Duration CostOf(const AdmissionRequest& aRequest) const;
  void StartWork(Instant aNow, AdmissionDecisions& aDecisions);
  AdmissionTicket TakeNext(Instant aNow);
  Levels::iterator LevelToServe();
  void CountStart(LevelNumber aLevel);
  void Erase(AdmissionTicket aTicket);
  void Refuse(AdmissionTicket aTicket,
              AdmissionRefusalReason aReason,
              AdmissionDecisions& aDecisions);
  void RefuseExpired(Instant aNow, AdmissionDecisions& aDecisions);
  void RefuseLateStarts(Instant aNow, AdmissionDecisions& aDecisions);
  void RefuseSlowArrivals(Instant aNow, AdmissionDecisions& aDecisions);
  std::vector<AdmissionTicket> FindLateStarts(Instant aNow, LevelNumber aLevel) const;
  bool IsArrival(AdmissionTicket aTicket) const;
  void RefuseOverflow(AdmissionDecisions& aDecisions);
  void RecordTimes(Instant aNow, const InFlight& aWork, const AdmissionOutcome& aOutcome);
  void UpdateUtilisation(Instant aNow);
  WorkAhead WorkAheadOf(Instant aNow, LevelNumber aLevel) const;
  Duration UntilNextStart() const;
  Duration StalledFor(Instant aNow) const;
  unsigned BusySlots() const;
  /** Statements that the server can run for us at the same time. */
  unsigned Servers() const { return std::min(this->slots, this->limit.Current()); }
  bool IsFull() const { return this->inFlight.size() >= this->limit.Current(); }

  unsigned slots;
  ConcurrencyLimit limit;
  WorkTimeEstimate estimate;
  /** Follows slowly; tells whether answers have become slow. */
  WorkTimeEstimate usualTimes;
  UtilisationAverage utilisation;
  AdmissionTicket lastTicket = 0;
  unsigned lowestPriority = 0;
  /** Levels with waiting requests. */
  Levels levels;
  std::map<LevelNumber, WorkRate> startRates;
  std::unordered_map<AdmissionTicket, Waiting> waiting;
  /** Waiting requests by startBy. */
  std::set<std::pair<Instant, AdmissionTicket>> startTimes;
  /** In the order in which they were sent; at most slots + kStartsBeyondSlots. */
  std::vector<InFlight> inFlight;
  /** Requests that no Step() has seen. */
  std::vector<AdmissionTicket> arrivals;
  Instant nextCheckAt{};
  Instant lastEndAt{};
};

} // namespace mustardshift::proxy
