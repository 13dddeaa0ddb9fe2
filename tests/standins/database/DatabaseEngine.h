#pragma once

#include "adapters/timer/DeadlineTimer.h"
#include "core/base/Instant.h"
#include "database.pb.h"
#include "standins/database/DatabaseOptions.h"
#include "standins/database/StateFile.h"
#include "standins/database/Statement.h"
#include "standins/database/Transaction.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardshift::standin {

/** Data, log and terms of one server, without connections. A log entry's offset is its place in
    the log, starting at 1. The first entry of each term is an empty one that its primary writes.

    Thread safety: all methods may be called from any thread, and each is one atomic step. Callbacks
    run outside of the engine's lock. */
class DatabaseEngine
{
public:
  using AnswerCallback = std::function<void(database::v1::Answer)>;
  /** Receives nothing when the server is cut off from the others. */
  using ReplicateCallback = std::function<void(std::optional<database::v1::ReplicateResponse>)>;

  /** What a replica asks its primary for. */
  struct Pull
  {
    /** Changes whenever the server's role changes; entries of an older one are not taken. */
    std::uint64_t generation = 0;
    std::string primary;
    database::v1::ReplicateRequest request;
  };

  /** Faults of replication and terms, set by the test control. */
  struct Faults
  {
    bool cutOff = false;
    bool holdReplication = false;
    bool ignoreTerms = false;
  };

  struct Counters
  {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t wrongTerms = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t logLength = 0;
    std::uint64_t cutLogEntries = 0;
  };

  /** @param aRoleChanged  called after each change of what NextPull() returns. */
  DatabaseEngine(const DatabaseOptions& aOptions,
                 std::string aAddress,
                 DeadlineTimer& aTimer,
                 std::function<void()> aRoleChanged);

  /** Returns whether a transaction may begin; aTransaction is filled in then. */
  bool Begin(const database::v1::Request& aRequest,
             Transaction& aTransaction,
             database::v1::Answer& aAnswer);

  /** Runs one statement.

      @param aTransaction  the connection's open transaction, or null. */
  void Execute(const database::v1::Request& aRequest,
               Transaction* aTransaction,
               database::v1::Answer& aAnswer);

  void Commit(const database::v1::Request& aRequest,
              const Transaction& aTransaction,
              database::v1::Answer& aAnswer);

  /** Fills in an answer that concerns no statement. */
  void FillAnswer(const database::v1::Request& aRequest,
                  database::v1::AnswerStatus aStatus,
                  database::v1::Answer& aAnswer);

  /** Answers when the log holds the position, the term changes or the time is over. */
  void Wait(const database::v1::Request& aRequest, AnswerCallback aCallback);

  database::v1::ServerReport Report();
  database::v1::ServerReport AcceptTerm(std::uint64_t aTerm);
  database::v1::ServerReport Promote(std::uint64_t aTerm);
  database::v1::ServerReport Follow(std::uint64_t aTerm, const std::string& aPrimary);
  database::v1::LookUpRequestResponse LookUpRequest(const std::string& aRequestId);

  /** Answers a replica; waits for new entries for up to kReplicationWait. */
  void Replicate(const database::v1::ReplicateRequest& aRequest, ReplicateCallback aCallback);

  /** Returns nothing while the server doesn't follow a primary. */
  std::optional<Pull> NextPull();
  /** Takes what the primary answered to aPull. */
  void TakeEntries(const Pull& aPull, const database::v1::ReplicateResponse& aResponse);

  void SetFaults(Faults aFaults);
  Counters ReadCounters();

  static constexpr Duration kReplicationWait = std::chrono::milliseconds(200);

private:
  using Clock = std::chrono::steady_clock;
  using Lock = std::unique_lock<std::mutex>;

  struct Waiter
  {
    database::v1::Request request;
    AnswerCallback callback;
    DeadlineTimer::Ticket ticket = 0;
  };

  struct ParkedReplica
  {
    database::v1::ReplicateRequest request;
    ReplicateCallback callback;
    DeadlineTimer::Ticket ticket = 0;
  };

  struct PendingEntry
  {
    Clock::time_point due;
    database::v1::LogEntry entry;
  };

  // All private methods require that the mutex is held, except where they take the lock.

  std::uint64_t TermAt(std::uint64_t aOffset) const;
  database::v1::Position EndPosition() const;
  database::v1::ServerReport MakeReport(bool aAccepted) const;
  void Fill(const database::v1::Request& aRequest,
            database::v1::AnswerStatus aStatus,
            database::v1::Answer& aAnswer);
  bool AcceptsTerm(std::uint64_t aTerm) const;
  bool LeadsFor(std::uint64_t aTerm) const;
  bool AnswerDuplicate(const std::string& aRequestId, database::v1::Answer& aAnswer);
  void RunRead(const Statement& aStatement,
               Transaction* aTransaction,
               database::v1::Answer& aAnswer);
  database::v1::AnswerStatus RunWrite(const Statement& aStatement,
                                      Transaction* aTransaction,
                                      std::map<std::string, std::string>& aWrites,
                                      std::vector<std::string>& aRows);
  std::optional<std::string> Value(const std::string& aKey, Transaction* aTransaction);
  bool HasConflict(const Transaction& aTransaction) const;
  void AppendOwn(const std::string& aRequestId,
                 const std::map<std::string, std::string>& aWrites,
                 const std::vector<std::string>& aRows);
  void Append(database::v1::LogEntry aEntry);
  void CutLog(std::uint64_t aLength);
  void StartTerm(std::uint64_t aTerm);
  /** Takes up the log, terms and role of an earlier process; returns false when there was none. */
  bool Restore();
  void StoreRole();
  void LoseRole();
  std::optional<database::v1::AnswerStatus> StatusOf(const database::v1::Request& aWait) const;
  database::v1::ReplicateResponse MakeReplicateResponse(
    const database::v1::ReplicateRequest& aRequest) const;
  void ApplyDue();
  void WaitTimedOut(std::uint64_t aId);
  void ParkTimedOut(std::uint64_t aId);
  /** Releases the lock and calls back whoever waited for the change. */
  void Notify(Lock& aLock, bool aRoleChanged = false);

  std::mutex mutex;
  const std::string address;
  const Duration lag;
  DeadlineTimer& timer;
  const std::function<void()> roleChanged;
  Faults faults;
  StateFile stateFile;
  /** True while records of the state file are applied, which must not be stored again. */
  bool restoring = false;

  std::uint64_t acceptedTerm = 1;
  bool leads = false;
  std::uint64_t ledTerm = 0;
  /** Empty while the server follows nobody. */
  std::string primary;
  std::uint64_t followedTerm = 0;
  std::uint64_t generation = 1;

  std::vector<database::v1::LogEntry> log;
  std::vector<database::v1::TermStart> history;
  std::map<std::string, std::string> data;
  /** Offset of the last write of each key. */
  std::map<std::string, std::uint64_t> versions;
  std::unordered_map<std::string, std::uint64_t> requests;
  std::deque<PendingEntry> pending;

  std::uint64_t lastWaiter = 0;
  std::map<std::uint64_t, Waiter> waiters;
  std::map<std::uint64_t, ParkedReplica> parked;
  Counters counters;
};

} // namespace mustardshift::standin
