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

/** Keeps a copy of a table up to date: reads it whole, then watches for changes, and reads it whole
    again when the store has dropped its history.

    Thread safety: none; one thread owns the object. */
template<TableStore Store>
class TableFollower
{
public:
  struct Handlers
  {
    /** Gets the whole table. */
    std::function<void(Instant, const std::vector<StoredRow>&)> snapshot;
    /** Gets what has changed since, perhaps nothing. */
    std::function<void(Instant, const std::vector<StoredRow>&)> changes;
    /** The copy held every change that was accepted before this instant. Called after the rows of
        the same answer were handed over. */
    std::function<void(Instant)> confirmed;
  };

  /** Pauses after failures: doubled from the first to the last. */
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(200);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(500);

  /** @param aWait  how long the store may hold a watch that has nothing to report.
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

  /** Starts with a read of the whole table. Precondition: called once. */
  void Start(Instant aNow) { this->ReadTable(aNow); }

  /** Sets what tells whether the copy is known to be current by other means. No watch is sent then.
   */
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
      this->scheduler.Schedule(aNow + kSkipWatchCheckPeriod,
                               [this](Instant aThen) { this->Watch(aThen); });
      return;
    }
    // After a failure the answer is wanted at once: it confirms the copy.
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
    // A whole read can be behind what was seen before; the watch then brings the changes since.
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

  /** Period at which a follower that sends no watch looks whether it has to. */
  static constexpr Duration kSkipWatchCheckPeriod = std::chrono::milliseconds(100);
  static constexpr int kMaxDoublings = 4;
  /** Pause before the whole read after a lost history; keeps a store that loses it again and again
      from being asked without end. */
  static constexpr Duration kHistoryLostPause = std::chrono::milliseconds(20);

  Store& store;
  Scheduler& scheduler;
  EventLog& log;
  std::string table;
  Duration wait;
  Handlers handlers;
  std::function<bool(Instant)> skipWatch;
  /** Version of the copy. */
  std::uint64_t version = 0;
  /** Latest version that the store has shown. */
  std::uint64_t latestVersion = 0;
  bool hasSnapshot = false;
  int failures = 0;
};

} // namespace mustardshift::proxy
