#include "e2e/fixture/Await.h"
#include "e2e/fixture/Cluster.h"
#include "e2e/fixture/FinalState.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mustardshift::test {

namespace {

constexpr long long kAmount = 7;

/** What the attempts of one request id were answered. */
struct Attempts
{
  int run = 0;
  int notRun = 0;
  int unknown = 0;
};

/** Compares the amounts found with the answers: one acknowledged deposit is there once, one that
    was always answered not-run is absent, and none is there twice. */
std::vector<std::string> Deviations(const std::map<std::string, Attempts>& aAttempts,
                                    const std::map<std::string, long long>& aFound)
{
  std::vector<std::string> deviations;
  for (const auto& [key, attempts] : aAttempts) {
    const auto found = aFound.find(key);
    const long long amount = found == aFound.end() ? 0 : found->second;
    const bool mustBeThere = attempts.run > 0;
    const bool mustBeAbsent = attempts.run == 0 && attempts.unknown == 0;
    if ((amount != 0 && amount != kAmount) || (mustBeThere && amount == 0) ||
        (mustBeAbsent && amount != 0)) {
      deviations.push_back(key + " holds " + std::to_string(amount) + " after " +
                           std::to_string(attempts.run) + " run, " +
                           std::to_string(attempts.notRun) + " not-run and " +
                           std::to_string(attempts.unknown) + " unknown answers");
    }
  }
  return deviations;
}

/** Threads that add once per request id, each to a key of its own, and repeat an unanswered request
    through the next VM with the same id. Every fourth request is sent through two VMs at once. */
class Depositors
{
public:
  Depositors(const Cluster& aCluster, std::size_t aCount)
  {
    for (std::size_t vm = 0; vm < aCluster.VmCount(); ++vm) {
      this->callers.push_back(aCluster.Caller(vm));
    }
    for (std::size_t depositor = 0; depositor < aCount; ++depositor) {
      this->threads.emplace_back([this, depositor] { this->Run(depositor); });
    }
  }

  void AwaitMore(std::size_t aCount) const
  {
    const std::size_t target = this->acknowledged + aCount;
    Await("more deposits", [&] { return this->acknowledged >= target; });
  }

  std::map<std::string, Attempts> Stop()
  {
    this->isStopping = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
    return this->attempts;
  }

  ~Depositors() { this->Stop(); }

private:
  void Run(std::size_t aDepositor)
  {
    for (int number = 0; number < 2000 && !this->isStopping; ++number) {
      const std::string key =
        "deposit-" + std::to_string(aDepositor) + "-" + std::to_string(number);
      std::size_t vm = aDepositor + static_cast<std::size_t>(number);
      if (number % 4 == 3) {
        std::thread other([&] { this->Send(vm + 1, key); });
        this->Send(vm, key);
        other.join();
        continue;
      }
      for (int attempt = 0; attempt < 5 && this->Send(vm++, key).MayHaveRun(); ++attempt) {
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(3));
    }
  }

  CallAnswer Send(std::size_t aVm, const std::string& aKey)
  {
    CallOptions options;
    options.timeout = std::chrono::milliseconds(1500);
    CallAnswer answer = this->callers[aVm % this->callers.size()].Execute(
      "bookings", "id-" + aKey, "ADD " + aKey + " " + std::to_string(kAmount), options);
    const std::lock_guard lock(this->mutex);
    Attempts& known = this->attempts[aKey];
    known.run += answer.HasRun() ? 1 : 0;
    known.notRun += answer.HasNotRun() ? 1 : 0;
    known.unknown += answer.MayHaveRun() ? 1 : 0;
    this->acknowledged += answer.HasRun() ? 1 : 0;
    return answer;
  }

  std::vector<CallerClient> callers;
  std::mutex mutex;
  std::map<std::string, Attempts> attempts;
  std::atomic<std::size_t> acknowledged = 0;
  std::atomic<bool> isStopping = false;
  std::vector<std::thread> threads;
};

void LoseAnswers(const Cluster& aCluster, const Depositors& aDepositors)
{
  standin::v1::OneTimeFaults faults;
  faults.set_drop_answers(2);
  faults.set_cut_after_running(3);
  faults.set_cut_before_running(3);
  faults.set_cross_answers(1);
  faults.set_late_answers(3);
  faults.set_late_ms(400);
  for (int round = 0; round < 4; ++round) {
    aCluster.InjectOnce(aCluster.Primary(1), faults);
    aDepositors.AwaitMore(40);
    aCluster.CutConnections(aCluster.Primary(1));
    aDepositors.AwaitMore(40);
  }
}

} // namespace

/** Guards against a deposit that is booked twice because its answer was lost and it was sent again,
    by a VM or by its caller, and against a not-run answer for a deposit that was booked. */
class AtMostOnceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(CheckerFindsDeviations);
  CPPUNIT_TEST(RunsAtMostOnceWhenAnswersAreLost);
  CPPUNIT_TEST(SaysNotRunOnlyOnceAPromotionIsSettled);
  CPPUNIT_TEST_SUITE_END();

public:
  void CheckerFindsDeviations()
  {
    CPPUNIT_ASSERT(Deviations({ { "a", { 1, 0, 1 } } }, { { "a", 7 } }).empty());
    CPPUNIT_ASSERT(Deviations({ { "a", { 0, 1, 1 } } }, { { "a", 7 } }).empty());
    CPPUNIT_ASSERT(Deviations({ { "a", { 0, 0, 1 } } }, {}).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         Deviations({ { "a", { 1, 0, 0 } } }, { { "a", 14 } }).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         Deviations({ { "a", { 0, 0, 2 } } }, { { "a", 14 } }).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Deviations({ { "a", { 1, 0, 0 } } }, {}).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         Deviations({ { "a", { 0, 2, 0 } } }, { { "a", 7 } }).size());
  }

  void RunsAtMostOnceWhenAnswersAreLost()
  {
    ClusterOptions options;
    options.network = 102;
    Cluster cluster(options);
    Depositors depositors(cluster, 9);
    Section("answers are dropped and late, connections are cut",
            [&] { LoseAnswers(cluster, depositors); });
    Section("a promotion comes in between", [&] {
      const std::size_t old = cluster.Primary(0);
      const std::uint64_t term = cluster.Term(0);
      cluster.Server(old).Freeze();
      for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
        cluster.AwaitTermAbove(vm, term);
      }
      depositors.AwaitMore(40);
      cluster.Server(old).Resume();
      LoseAnswers(cluster, depositors);
    });
    Section("each deposit is there once, or not at all if it was answered not-run", [&] {
      const std::map<std::string, Attempts> attempts = depositors.Stop();
      std::map<std::string, long long> found;
      long long total = 0;
      for (const std::string& row : ReadFinalState(cluster, 0, "deposit-")) {
        const std::size_t space = row.find(' ');
        found[row.substr(0, space)] = std::stoll(row.substr(space + 1));
        total += found[row.substr(0, space)];
      }
      const std::vector<std::string> deviations = Deviations(attempts, found);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(deviations.size()) + " deviations, first " +
                               (deviations.empty() ? "" : deviations.front()),
                             deviations.empty());
      long long least = 0;
      long long most = 0;
      for (const auto& [key, known] : attempts) {
        least += known.run > 0 ? kAmount : 0;
        most += known.run > 0 || known.unknown > 0 ? kAmount : 0;
      }
      CPPUNIT_ASSERT(least <= total && total <= most);
    });
  }

  /** A new primary whose first entry is on no other server may itself be replaced by a server that
      holds the request after all. */
  void SaysNotRunOnlyOnceAPromotionIsSettled()
  {
    ClusterOptions options;
    options.network = 102;
    Cluster cluster(options);
    const std::size_t first = cluster.Primary(0);
    const std::uint64_t term = cluster.Term(0);
    const auto awaitTermAbove = [&](std::uint64_t aTerm) {
      for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
        cluster.AwaitTermAbove(vm, aTerm);
      }
    };
    standin::v1::DatabaseFaults hold;
    hold.set_hold_replication(true);
    CallAnswer answer;
    std::atomic<bool> isAnswered = false;
    std::jthread deposit;
    Section("the primary runs a deposit that reaches no replica, and freezes", [&] {
      for (std::size_t server = 0; server < Cluster::kServers; ++server) {
        cluster.SetFaults(server, hold);
      }
      const std::uint64_t writes = cluster.Counters(first).writes();
      deposit = std::jthread([&] {
        CallOptions call;
        call.timeout = std::chrono::seconds(25);
        answer = cluster.Caller(0).Execute("bookings", "deposit", "ADD deposit 7", call);
        isAnswered = true;
      });
      Await("the deposit to run", [&] { return cluster.Counters(first).writes() > writes; });
      cluster.Server(first).Freeze();
    });
    Section("the next primary's first entry reaches no other server before it is killed", [&] {
      awaitTermAbove(term);
      const std::size_t second = cluster.Primary(0);
      CPPUNIT_ASSERT(second != first);
      const std::uint64_t calls = cluster.Counters(second).unary_calls();
      Await("look-ups at the second primary",
            [&] { return isAnswered || cluster.Counters(second).unary_calls() >= calls + 100; });
      cluster.Server(second).Kill();
      cluster.Server(first).Resume();
      for (std::size_t server = 0; server < Cluster::kServers; ++server) {
        if (server != second) {
          cluster.SetFaults(server, {});
        }
      }
      awaitTermAbove(term + 1);
      deposit.join();
    });
    const long long found = ReadFinalNumber(cluster, 0, "deposit");
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the first primary did not return", kAmount, found);
    CPPUNIT_ASSERT_MESSAGE("the deposit is there, but was answered " + answer.Text(),
                           !answer.HasNotRun());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

} // namespace mustardshift::test
