#pragma once

#include "core/base/NameTable.h"
#include "proxy/coordination/PeerTableReader.h"
#include "proxy/coordination/TableCopy.h"
#include "proxy/coordination/TableStore.h"
#include "proxy/log/EventLog.h"
#include "proxy/schedule/Scheduler.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** Keeps a local copy of a table up to date: reads the whole table, then watches it for changes.
    Reads the whole table again if the store no longer has the history of changes, or has returned
    from an older copy. While other VMs
    keep the copy current (see SetSkipStore()), makes no calls to the store.

    Thread safety: none; one thread owns the object. */
template<TableStore Store, PeerTableReader Peers>
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
  /** The same if the store is only a fallback, which many VMs then call at the same time. */
  static constexpr Duration kInitialFallbackBackoff = std::chrono::milliseconds(1000);
  static constexpr Duration kMaxFallbackBackoff = std::chrono::milliseconds(4000);

  /** @param aCopy  receives the rows before the handlers do.
      @param aWait  how long the store may delay its answer to a watch that has no changes to
                    report.
      All references have to outlive the follower. */
  TableFollower(Store& aStore,
                Peers& aPeers,
                Scheduler& aScheduler,
                EventLog& aLog,
                std::string aTable,
                TableCopy& aCopy,
                Duration aWait,
                Handlers aHandlers)
    : store(aStore)
    , peers(aPeers)
    , scheduler(aScheduler)
    , log(aLog)
    , table(std::move(aTable))
    , copy(aCopy)
    , wait(aWait)
    , handlers(std::move(aHandlers))
  {
  }
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;
  ~TableFollower() = default;

  /** Starts by reading the whole table. Precondition: called once. */
  void Start(Instant aNow)
  {
    this->isStarted = true;
    this->CallStore(aNow);
  }

  /** Reads the whole table again, without waiting for the answer to a call that is under way. Does
      nothing before Start(). */
  void Refresh(Instant aNow)
  {
    if (this->isStarted) {
      ++this->callLoop;
      this->hasSnapshot = false;
      this->CallStore(aNow);
    }
  }

  /** Sets a predicate that tells whether the copy is current, or soon will be, by other means.
      While it returns true, the follower makes no calls to the store. */
  void SetSkipStore(std::function<bool(Instant)> aSkipStore)
  {
    this->skipStore = std::move(aSkipStore);
  }

  /** Sets whether other VMs are the usual source of the copy, so that calls to the store are only a
      fallback. */
  void SetStoreIsFallback(bool aIsFallback) { this->isStoreFallback = aIsFallback; }

  /** Sets a function that returns the time between the answers to two watches, when both have
      changes; zero to watch again at once. */
  void SetBurstPause(std::function<Duration()> aBurstPause)
  {
    this->burstPause = std::move(aBurstPause);
  }

  /** Replaces the copy by that of another VM, unless that one is older. Does nothing while an
      earlier call is unanswered. */
  void ReadFromPeer(Instant /*aNow*/, const std::string& aAddress)
  {
    if (this->isReadingPeer) {
      return;
    }
    this->isReadingPeer = true;
    this->peers.ReadTable(aAddress, this->table, [this](Instant aThen, const auto& aRows) {
      this->isReadingPeer = false;
      this->OnPeerRows(aThen, aRows);
    });
  }

private:
  /** Reads or watches the table, once the copy is no longer current by other means. */
  void CallStore(Instant aNow)
  {
    if (this->skipStore && this->skipStore(aNow)) {
      this->hasSkippedStore = true;
      this->CallStoreAt(aNow + kSkipCheckInterval);
    } else if (this->hasSnapshot) {
      this->Watch(aNow);
    } else {
      this->ReadTable(aNow);
    }
  }

  /** Calls the store later, unless the table is read again before that. */
  void CallStoreAt(Instant aWhen)
  {
    this->scheduler.Schedule(aWhen, [this, loop = this->callLoop](Instant aNow) {
      if (loop == this->callLoop) {
        this->CallStore(aNow);
      }
    });
  }

  void ReadTable(Instant aNow)
  {
    this->store.Read(
      this->table,
      [this, aNow, replaced = this->peerCopies, loop = this->callLoop](Instant aThen, auto aRows) {
        if (loop == this->callLoop) {
          this->OnAnswer(aThen, aNow, replaced, true, std::move(aRows));
        }
      });
  }

  void Watch(Instant aNow)
  {
    // After a failure, or after a time without calls, the store should answer at once, because any
    // answer confirms the copy.
    const bool isUrgent = std::exchange(this->hasSkippedStore, false) || this->failures > 0;
    const Duration longest = isUrgent ? Duration(0) : this->wait;
    this->store.Watch(
      this->table,
      this->copy.Version(),
      longest,
      [this, aNow, replaced = this->peerCopies, loop = this->callLoop](Instant aThen, auto aRows) {
        if (loop == this->callLoop) {
          this->OnAnswer(aThen, aNow, replaced, false, std::move(aRows));
        }
      });
  }

  void OnPeerRows(Instant aNow, const tl::expected<StoredRows, StoreFailure>& aRows)
  {
    if (!aRows) {
      this->log.Write(aNow,
                      "peer",
                      "table-not-read",
                      { { "table", this->table },
                        { "failure", std::string(NameOf(kStoreFailureNames, aRows.error())) } });
      return;
    }
    if (aRows->version < this->latestVersion) {
      return;
    }
    ++this->peerCopies;
    this->hasSnapshot = true;
    this->latestVersion = aRows->version;
    this->copy.ReplaceRows(*aRows);
    this->handlers.snapshot(aNow, aRows->rows);
  }

  /** @param aPeerCopies  number of copies that had been received from other VMs when the call was
                          sent. */
  void OnAnswer(Instant aNow,
                Instant aSentAt,
                std::uint64_t aPeerCopies,
                bool aIsSnapshot,
                tl::expected<StoredRows, StoreFailure> aRows)
  {
    if (!aRows) {
      this->OnFailure(aNow, aRows.error());
      return;
    }
    if (this->failures > 0) {
      this->log.WriteAlways(aNow, "store", "regained", { { "table", this->table } });
    }
    this->failures = 0;
    if (aPeerCopies != this->peerCopies && aRows->version < this->latestVersion) {
      // The rows are older than those that another VM has sent meanwhile.
      this->CallStore(aNow);
      return;
    }
    this->hasSnapshot = true;
    const bool hasChanges = !aIsSnapshot && !aRows->rows.empty();
    try {
      this->Apply(aNow, aIsSnapshot, *aRows);
      if (aRows->version >= this->latestVersion) {
        this->latestVersion = aRows->version;
        this->handlers.confirmed(aSentAt);
      }
    } catch (const std::exception& error) {
      // The copy must not stop following the table because of one row.
      this->log.Write(
        aNow, "store", "rows-not-applied", { { "table", this->table }, { "why", error.what() } });
    }
    if (hasChanges && this->DelayWatch(aNow)) {
      return;
    }
    this->CallStore(aNow);
  }

  /** Delays the next watch if changes have come in quick succession, so that it returns those that
      are still to come together. Returns whether it did. */
  bool DelayWatch(Instant aNow)
  {
    const Duration pause = this->burstPause ? this->burstPause() : Duration(0);
    const Instant previous = std::exchange(this->changedAt, aNow);
    if (aNow - previous >= pause) {
      return false;
    }
    this->CallStoreAt(aNow + pause);
    return true;
  }

  /** A read of the whole table can return an older version than one seen before. The watch then
      delivers the changes since that version. */
  void Apply(Instant aNow, bool aIsSnapshot, const StoredRows& aRows)
  {
    if (aIsSnapshot) {
      this->copy.ReplaceRows(aRows);
      this->handlers.snapshot(aNow, aRows.rows);
    } else {
      this->copy.ApplyRowChanges(aRows);
      this->handlers.changes(aNow, aRows.rows);
    }
  }

  void OnFailure(Instant aNow, StoreFailure aFailure)
  {
    const bool mustReadAgain =
      aFailure == StoreFailure::HistoryLost || aFailure == StoreFailure::EraChanged;
    if (this->failures++ == 0 || mustReadAgain) {
      this->log.WriteAlways(aNow,
                            "store",
                            "lost",
                            { { "table", this->table },
                              { "failure", std::string(NameOf(kStoreFailureNames, aFailure)) } });
    }
    if (mustReadAgain) {
      this->hasSnapshot = false;
    }
    const int doublings = std::min(this->failures - 1, kMaxDoublings);
    const Duration pause =
      this->isStoreFallback
        ? std::min(kMaxFallbackBackoff, kInitialFallbackBackoff * (1 << doublings))
        : std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
    this->CallStoreAt(aNow + (mustReadAgain ? kHistoryLostPause : pause));
  }

  /** Interval between checks whether calls to the store have to be resumed. */
  static constexpr Duration kSkipCheckInterval = std::chrono::milliseconds(200);
  static constexpr int kMaxDoublings = 4;
  /** Delay before the whole table is read again because its history was lost. Limits the rate of
      reads if the store loses its history repeatedly. */
  static constexpr Duration kHistoryLostPause = std::chrono::milliseconds(20);

  Store& store;
  Peers& peers;
  Scheduler& scheduler;
  EventLog& log;
  std::string table;
  TableCopy& copy;
  Duration wait;
  Handlers handlers;
  std::function<bool(Instant)> skipStore;
  std::function<Duration()> burstPause;
  /** Time of the latest answer to a watch that had changes. */
  Instant changedAt{};
  bool isStoreFallback = false;
  /** Whether SetSkipStore()'s predicate has been true since the latest call to the store. */
  bool hasSkippedStore = false;
  bool isReadingPeer = false;
  /** Number of copies that were received from other VMs. */
  std::uint64_t peerCopies = 0;
  /** Latest version that the store has reported. */
  StoreVersion latestVersion;
  bool isStarted = false;
  /** Number of the current sequence of calls; answers to calls of an earlier one are ignored. */
  std::uint64_t callLoop = 0;
  bool hasSnapshot = false;
  int failures = 0;
};

} // namespace mustardshift::proxy
