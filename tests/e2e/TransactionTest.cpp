#include "e2e/fixture/Await.h"
#include "e2e/fixture/BookingLedger.h"
#include "e2e/fixture/Cluster.h"
#include "e2e/fixture/FinalState.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mustardshift::test {

namespace {

constexpr int kRowsPerGroup = 4;

/** Returns what is wrong with a scan of one group: all its rows carry the same value, and that
   value is one of this group's. Empty if nothing is. */
std::string GroupDeviation(const std::string& aGroup, const std::vector<std::string>& aRows)
{
  std::set<std::string> values;
  for (const std::string& row : aRows) {
    values.insert(row.substr(row.find(' ') + 1));
  }
  if (aRows.empty()) {
    return "";
  }
  if (aRows.size() != kRowsPerGroup || values.size() != 1) {
    return aGroup + " has " + std::to_string(aRows.size()) + " rows and " +
           std::to_string(values.size()) + " values";
  }
  return values.begin()->starts_with(aGroup + "=") ? "" : aGroup + " holds " + *values.begin();
}

/** Clients that write one value to all rows of their own group and insert a marker, all in one
    transaction, and clients that read the groups through any VM. */
class Bookers
{
public:
  Bookers(const Cluster& aCluster, std::size_t aCount)
  {
    for (std::size_t vm = 0; vm < aCluster.VmCount(); ++vm) {
      this->callers.push_back(aCluster.Caller(vm));
    }
    for (std::size_t booker = 0; booker < aCount; ++booker) {
      this->threads.emplace_back([this, booker] { this->Write(booker); });
      this->threads.emplace_back([this, booker] { this->Read(booker); });
    }
  }

  ~Bookers() { this->Stop(); }

  void Stop()
  {
    this->isStopping = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

  void AwaitMore(std::size_t aCommits, std::size_t aReads) const
  {
    const std::size_t commits = this->ledger.Acknowledged() + aCommits;
    const std::size_t goodReads = this->reads + aReads;
    Await("more commits and reads",
          [&] { return this->ledger.Acknowledged() >= commits && this->reads >= goodReads; });
  }

  const BookingLedger& Ledger() const { return this->ledger; }

  std::vector<std::string> Deviations()
  {
    const std::lock_guard lock(this->mutex);
    return this->deviations;
  }

private:
  void Report(const std::string& aDeviation)
  {
    if (!aDeviation.empty()) {
      const std::lock_guard lock(this->mutex);
      this->deviations.push_back(aDeviation);
    }
  }

  void Write(std::size_t aBooker)
  {
    const std::string group = "group-" + std::to_string(aBooker);
    for (int number = 0; number < 1000 && !this->isStopping; ++number) {
      const CallerClient& caller =
        this->callers[(aBooker + static_cast<std::size_t>(number)) % this->callers.size()];
      const std::string marker = "marker-" + std::to_string(aBooker) + "-" + std::to_string(number);
      const std::string value = group + "=" + std::to_string(number);
      switch (number % 4) {
        case 1:
          this->Abandon(caller, group, marker);
          break;
        case 2:
          // A single statement must not end up in a transaction that someone left open.
          this->ledger.Record(marker, value, Insert(caller, marker, value));
          break;
        default:
          this->ledger.Record(marker, value, this->Transact(caller, group, marker, value));
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  static CallAnswer Insert(const CallerClient& aCaller,
                           const std::string& aMarker,
                           const std::string& aValue)
  {
    std::string statement = "INSERT ";
    statement.append(aMarker).append(" ").append(aValue);
    return aCaller.Execute("bookings", "single-" + aMarker, statement);
  }

  /** Leaves a transaction open that has written to a group; nothing of it may show. */
  void Abandon(const CallerClient& aCaller, const std::string& aGroup, const std::string& aMarker)
  {
    CallAnswer notRun;
    notRun.verdict = caller::v1::VERDICT_NOT_RUN;
    this->ledger.Record(aMarker, "abandoned", notRun);
    const CallAnswer begun = aCaller.Begin("bookings", "begin-" + aMarker);
    if (begun.HasRun()) {
      aCaller.ExecuteInTransaction(begun.transactionId, "INSERT " + aMarker + " abandoned");
      aCaller.ExecuteInTransaction(begun.transactionId, "PUT " + aGroup + "-0 abandoned");
    }
  }

  /** Returns the answer that decides whether the transaction took effect. */
  CallAnswer Transact(const CallerClient& aCaller,
                      const std::string& aGroup,
                      const std::string& aMarker,
                      const std::string& aValue)
  {
    CallAnswer aborted;
    aborted.verdict = caller::v1::VERDICT_NOT_RUN;
    const CallAnswer begun = aCaller.Begin("bookings", "begin-" + aMarker);
    if (!begun.HasRun()) {
      return aborted;
    }
    std::vector<std::string> statements{ "INSERT " + aMarker + " " + aValue };
    for (int row = 0; row < kRowsPerGroup; ++row) {
      std::string statement = "PUT ";
      statement.append(aGroup).append("-").append(std::to_string(row));
      statements.push_back(statement.append(" ").append(aValue));
    }
    for (const std::string& statement : statements) {
      // Without a commit nothing of the transaction may show, whatever became of the statement.
      if (!aCaller.ExecuteInTransaction(begun.transactionId, statement).HasRun()) {
        return aborted;
      }
    }
    const CallAnswer own =
      aCaller.ExecuteInTransaction(begun.transactionId, "GET " + aGroup + "-0");
    if (!own.HasRun()) {
      return aborted;
    }
    if (own.rows != std::vector<std::string>{ aValue }) {
      this->Report("a transaction of " + aGroup + " did not see its own write");
    }
    return aCaller.Commit(begun.transactionId, "commit-" + aMarker);
  }

  void Read(std::size_t aBooker)
  {
    const std::string group = "group-" + std::to_string(aBooker);
    for (int number = 0; number < 5000 && !this->isStopping; ++number) {
      const CallerClient& caller =
        this->callers[static_cast<std::size_t>(number) % this->callers.size()];
      CallOptions options = Reading();
      options.timeout = std::chrono::milliseconds(2500);
      const CallAnswer answer = caller.Execute(
        "bookings", "read-" + group + "-" + std::to_string(number), "SCAN " + group + "-", options);
      if (answer.HasRun()) {
        ++this->reads;
        this->Report(GroupDeviation(group, answer.rows));
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(3));
    }
  }

  std::vector<CallerClient> callers;
  BookingLedger ledger;
  std::mutex mutex;
  std::vector<std::string> deviations;
  std::atomic<std::size_t> reads = 0;
  std::atomic<bool> isStopping = false;
  std::vector<std::thread> threads;
};

} // namespace

/** Guards against statements of one client that end up in another client's transaction, against a
    transaction that takes effect in part, and against a wrong answer to a commit. */
class TransactionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TransactionTest);
  CPPUNIT_TEST(CheckerFindsMixedRows);
  CPPUNIT_TEST(NeverMixesTransactions);
  CPPUNIT_TEST_SUITE_END();

public:
  void CheckerFindsMixedRows()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), GroupDeviation("g", {}));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         GroupDeviation("g", { "g-0 g=1", "g-1 g=1", "g-2 g=1", "g-3 g=1" }));
    CPPUNIT_ASSERT(!GroupDeviation("g", { "g-0 g=1", "g-1 g=1", "g-2 g=1" }).empty());
    CPPUNIT_ASSERT(!GroupDeviation("g", { "g-0 g=1", "g-1 g=1", "g-2 g=1", "g-3 g=2" }).empty());
    CPPUNIT_ASSERT(!GroupDeviation("g", { "g-0 h=1", "g-1 h=1", "g-2 h=1", "g-3 h=1" }).empty());
  }

  void NeverMixesTransactions()
  {
    ClusterOptions options;
    options.network = 107;
    options.transactionTimeoutMilliseconds = 1000;
    Cluster cluster(options);
    Bookers bookers(cluster, 8);
    Section("connections are reused and answers go astray", [&] {
      standin::v1::OneTimeFaults faults;
      faults.set_cut_after_running(4);
      faults.set_cut_before_running(2);
      faults.set_cross_answers(2);
      faults.set_late_answers(4);
      faults.set_late_ms(300);
      for (int round = 0; round < 4; ++round) {
        cluster.InjectOnce(cluster.Primary(0), faults);
        bookers.AwaitMore(30, 30);
      }
    });
    Section("a daemon is killed inside of transactions", [&] {
      cluster.Vm(2).Kill();
      bookers.AwaitMore(30, 30);
      cluster.StartVm(2);
      cluster.AwaitServing(2);
      bookers.AwaitMore(30, 30);
    });
    Section("the primary is replaced inside of transactions", [&] {
      const std::size_t old = cluster.Primary(0);
      const std::uint64_t term = cluster.Term(0);
      cluster.Server(old).Freeze();
      for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
        cluster.AwaitTermAbove(vm, term);
      }
      bookers.AwaitMore(30, 30);
      cluster.Server(old).Resume();
      bookers.AwaitMore(30, 30);
    });
    bookers.Stop();
    std::vector<std::string> deviations = bookers.Deviations();
    for (std::string& deviation :
         bookers.Ledger().Deviations(ReadFinalState(cluster, 1, "marker-"))) {
      deviations.push_back(std::move(deviation));
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(deviations.size()) + " deviations, first " +
                             (deviations.empty() ? "" : deviations.front()),
                           deviations.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransactionTest);

} // namespace mustardshift::test
