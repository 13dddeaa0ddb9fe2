#pragma once

#include "core/base/NameTable.h"
#include "proxy/coordination/TableStore.h"
#include "proxy/log/EventLog.h"
#include "proxy/schedule/Scheduler.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** Keeps a local copy of a table up to date: reads the whole table, then watches it for changes.
    Reads the whole table again if the store no longer has the history of changes.

    Thread safety: none; one thread owns the object. */
template<TableStore Store>
class TableFollower
{
public:
  struct Handlers
  {
    /** Receives all rows of the table. */
    std::function<void(Instant, const std::vector<StoredRow>&)> snapshot;
    /** Receives the rows that changed since the previous call of either handler; may be empty. */
    std::function<void(Instant, const std::vector<StoredRow>&)> changes;
    /** Reports that the copy contains every change that the store accepted before the given
        instant. Called after the rows of the same answer were passed to their handler. */
    std::function<void(Instant)> confirmed;
  };

  /** Delay before a retry: starts at kInitialBackoff and doubles with each further failure, up to
      kMaxBackoff. */
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(200);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(500);

  /** @param aWait  how long the store may delay its answer to a watch that has no changes to
                    report.
      aStore, aScheduler and aLog have to outlive the follower. */
  TableFollower(Store& aStore,
                Scheduler& aScheduler,
                EventLog& aLog,
                std::string aTable,
                Duration aWait,
                Handlers aHandlers)
    : store(aStore)
    , scheduler(aScheduler)
    , log(aLog)
    , table(std::move(aTable))
    , wait(aWait)
    , handlers(std::move(aHandlers))
  {
  }
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;
  ~TableFollower() = default;

  /** Starts by reading the whole table. Precondition: called once. */
  void Start(Instant aNow) { this->ReadTable(aNow); }

  /** Sets a predicate that tells whether the copy is known to be current by other means. While it
      returns true, the follower sends no watches. */
  void SetSkipWatch(std::function<bool(Instant)> aSkipWatch)
  {
    this->skipWatch = std::move(aSkipWatch);
  }

private:
  void ReadTable(Instant aNow)
  {
    this->hasSnapshot = false;
    this->store.Read(this->table, [this, aNow](Instant aThen, auto aRows) {
      this->OnAnswer(aThen, aNow, std::move(aRows), this->handlers.snapshot);
    });
  }

  void Watch(Instant aNow)
  {
    if (this->skipWatch && this->skipWatch(aNow)) {
      this->scheduler.Schedule(aNow + kResumeWatchCheckInterval,
                               [this](Instant aThen) { this->Watch(aThen); });
      return;
    }
    // After a failure the store should answer at once, because any answer confirms the copy.
    const Duration longest = this->failures > 0 ? Duration(0) : this->wait;
    this->store.Watch(this->table, this->version, longest, [this, aNow](Instant aThen, auto aRows) {
      this->OnAnswer(aThen, aNow, std::move(aRows), this->handlers.changes);
    });
  }

  template<class Handler>
  void OnAnswer(Instant aNow,
                Instant aSentAt,
                tl::expected<StoredRows, StoreFailure> aRows,
                const Handler& aHandler)
  {
    if (!aRows) {
      this->OnFailure(aNow, aRows.error());
      return;
    }
    if (this->failures > 0) {
      this->log.WriteAlways(aNow, "store", "regained", { { "table", this->table } });
    }
    this->failures = 0;
    this->hasSnapshot = true;
    aHandler(aNow, aRows->rows);
    // A read of the whole table can return an older version than one seen before. The watch then
    // delivers the changes since that version.
    this->version = aRows->version;
    if (this->version >= this->latestVersion) {
      this->latestVersion = this->version;
      this->handlers.confirmed(aSentAt);
    }
    this->Watch(aNow);
  }

  void OnFailure(Instant aNow, StoreFailure aFailure)
  {
    if (this->failures++ == 0 || aFailure == StoreFailure::HistoryLost) {
      this->log.WriteAlways(aNow,
                            "store",
                            "lost",
                            { { "table", this->table },
                              { "failure", std::string(NameOf(kStoreFailureNames, aFailure)) } });
    }
    if (aFailure == StoreFailure::HistoryLost) {
      this->hasSnapshot = false;
    }
    const Duration pause =
      std::min(kMaxBackoff, kInitialBackoff * (1 << std::min(this->failures - 1, kMaxDoublings)));
    this->scheduler.Schedule(aNow +
                               (aFailure == StoreFailure::HistoryLost ? kHistoryLostPause : pause),
                             [this](Instant aThen) {
                               if (this->hasSnapshot) {
                                 this->Watch(aThen);
                               } else {
                                 this->ReadTable(aThen);
                               }
                             });
  }

  /** While SetSkipWatch()'s predicate is true: interval between checks whether watches have to be
      resumed. */
  static constexpr Duration kResumeWatchCheckInterval = std::chrono::milliseconds(100);
  static constexpr int kMaxDoublings = 4;
  /** Delay before the whole table is read again because its history was lost. Limits the rate of
      reads if the store loses its history repeatedly. */
  static constexpr Duration kHistoryLostPause = std::chrono::milliseconds(20);

  Store& store;
  Scheduler& scheduler;
  EventLog& log;
  std::string table;
  Duration wait;
  Handlers handlers;
  std::function<bool(Instant)> skipWatch;
  /** Version of the store that the local copy of the table reflects. */
  std::uint64_t version = 0;
  /** Latest version that the store has reported. */
  std::uint64_t latestVersion = 0;
  bool hasSnapshot = false;
  int failures = 0;
};

} // namespace mustardshift::proxy
