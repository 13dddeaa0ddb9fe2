#pragma once

#include "load/CallerChannels.h"
#include "load/LoadOptions.h"
#include "load/LoadResult.h"
#include "load/SessionLedger.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace mustardshift::bench {

/** Sends an open-loop load: requests arrive at random instants whether or not earlier ones are
    answered, and each time counts from the arrival. A session sends one request at a time, each to
    a daemon drawn at random. Checks on the way that sessions read their own writes and never read
    backwards, and at the end that acknowledged writes are there once.

    Thread safety: Run() may be called once. */
class LoadRun
{
public:
  explicit LoadRun(LoadOptions aOptions);

  /** Returns when the length or the number of requests is reached and the last answers came. */
  LoadResult Run();

private:
  using Clock = std::chrono::steady_clock;
  enum class Kind
  {
    Read,
    Booking,
    Deposit,
    Transaction,
  };
  struct Arrival
  {
    Kind kind = Kind::Read;
    Clock::time_point at;
  };
  struct Session
  {
    std::size_t organisation = 0;
    std::size_t number = 0;
    std::string token;
    std::deque<Arrival> arrivals;
    bool isBusy = false;
    std::uint64_t lastRequest = 0;
    /** Key of the last acknowledged booking. */
    std::string booking;
    /** Highest balance that the session has seen. */
    std::int64_t balance = 0;
    std::uint64_t transactions = 0;
    std::uint64_t unknownTransactions = 0;
  };
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  void Start(Session& aSession);
  void SendStatement(const CallPointer& aCall);
  void SendTransaction(const CallPointer& aCall);
  void SendTransactionStatement(const CallPointer& aCall);
  void SendCommit(const CallPointer& aCall);
  void Finish(const CallPointer& aCall, bool aHasAnswer);
  void CheckAnswer(const Call& aCall, WriteFate aFate, bool aIsRun);
  void CheckAtEnd();
  void CheckOrganisation(std::size_t aOrganisation);
  bool ExecuteNow(Session& aSession,
                  const std::string& aStatement,
                  bool aIsRead,
                  std::vector<std::string>& aRows);
  void Violate(const std::string& aText);
  std::string AccountOf(std::size_t aOrganisation) const;
  std::string BookingPrefixOf(std::size_t aOrganisation) const;

  LoadOptions options;
  CallerChannels channels;
  std::mutex mutex;
  std::condition_variable idle;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<Session>> sessions;
  std::vector<std::vector<Session*>> sessionsByOrganisation;
  std::vector<SessionLedger> ledgers;
  std::size_t inFlight = 0;
  LoadResult result;
};

} // namespace mustardshift::bench
