#pragma once

#include "proxy/coordination/TableStore.h"
#include "proxy/schedule/Scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::proxy::test {

/** What a fake store does with a call. */
enum class StoreBehaviour
{
  Answer,
  Refuse,
  /** Does nothing and gives no answer. */
  Ignore,
  /** Does it and gives no answer. */
  LoseAnswer,
};

/** A table store in memory, in virtual time; satisfies TableStore. */
class FakeStore
{
public:
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(4);
  static constexpr Duration kNoAnswerTime = std::chrono::milliseconds(1500);

  explicit FakeStore(Scheduler& aScheduler)
    : scheduler(aScheduler)
  {
  }

  /** See TableStore. */
  void Read(const std::string& aTable, const RowsHandler& aHandler);
  void Watch(const std::string& aTable, std::uint64_t aAfter, Duration aWait, RowsHandler aHandler);
  void Write(const RowChange& aChange, const ChangeHandler& aHandler);

  /** Writes from outside the system, at once. */
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  /** Forgets the history: watches from a version before the present one fail. */
  void Compact() { this->historyStart = this->version; }
  using Table = std::map<std::string, StoredRow>;
  /** All tables as of one version, and the version. */
  using Snapshot = std::pair<std::map<std::string, Table>, std::uint64_t>;
  Snapshot TakeSnapshot() const { return { this->tables, this->version }; }
  /** Whole reads answer with the tables of a snapshot, until ServeCurrentReads(). */
  void ServeStaleReads(Snapshot aSnapshot) { this->staleTables = std::move(aSnapshot); }
  /** Whole reads answer with the tables as they are now, until ServeCurrentReads(). */
  void ServeStaleReads() { this->ServeStaleReads(this->TakeSnapshot()); }
  void ServeCurrentReads() { this->staleTables.reset(); }

  /** Decides about each call by its name: "read", "watch", "write". */
  std::function<StoreBehaviour(const std::string&)> behaviour;
  /** The next watch fails because its history is lost. */
  bool failsNextWatch = false;
  Instant now{};
  std::uint64_t version = 0;
  std::size_t calls = 0;
  /** Versions that watches asked to continue from. */
  std::vector<std::uint64_t> watchedAfter;

private:
  struct PendingWatch
  {
    std::string table;
    std::uint64_t after = 0;
    Instant until{};
    RowsHandler handler;
  };

  /** The store's own clock, which shares no origin with the VMs'. */
  std::chrono::milliseconds Time() const
  {
    return std::chrono::floor<std::chrono::milliseconds>(this->now.time_since_epoch()) +
           std::chrono::hours(7);
  }
  StoreBehaviour BehaviourFor(const std::string& aCall);
  template<class Handler, class Value>
  void AnswerLater(Duration aTime, const Handler& aHandler, Value aValue);
  void Change(const std::string& aTable, StoredRow aRow);
  StoredRows ChangesSince(const std::string& aTable, std::uint64_t aAfter) const;
  void ServeWatches();

  Scheduler& scheduler;
  std::map<std::string, Table> tables;
  std::optional<Snapshot> staleTables;
  std::uint64_t historyStart = 0;
  std::vector<PendingWatch> watches;
};

} // namespace mustardshift::proxy::test
