#include "e2e/fixture/Await.h"
#include "e2e/fixture/Cluster.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mustardshift::test {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint32_t kRate = 120;
constexpr std::size_t kTwoSeconds = std::size_t{ 2 } * kRate;
constexpr std::uint32_t kBurst = 60;

/** A request that was admitted at some moment between these two. */
struct Admitted
{
  Clock::time_point sent;
  Clock::time_point answered;
};

/** Returns by how many requests the worst span exceeds rate * span + burst; zero or less if none
    does. A request counts in a span only if it was sent and answered within it. */
double WorstExcess(std::vector<Admitted> aRequests, double aRate, double aBurst)
{
  std::sort(aRequests.begin(), aRequests.end(), [](const Admitted& aLeft, const Admitted& aRight) {
    return aLeft.answered < aRight.answered;
  });
  double worst = -aBurst;
  for (const Admitted& first : aRequests) {
    double count = 0;
    for (const Admitted& last : aRequests) {
      if (last.sent < first.sent) {
        continue;
      }
      ++count;
      const std::chrono::duration<double> span = last.answered - first.sent;
      worst = std::max(worst, count - aRate * span.count() - aBurst);
    }
  }
  return worst;
}

/** Threads that send reads through the VMs that are active as fast as they are answered. */
class Crowd
{
public:
  Crowd(const Cluster& aCluster, std::size_t aThreadsPerVm)
  {
    for (std::size_t thread = 0; thread < aCluster.VmCount() * aThreadsPerVm; ++thread) {
      this->threads.emplace_back(
        [this,
         thread,
         vm = thread % aCluster.VmCount(),
         caller = aCluster.Caller(thread % aCluster.VmCount())] { this->Run(caller, vm, thread); });
    }
  }

  ~Crowd() { this->Stop(); }

  void Stop()
  {
    this->isStopping = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

  /** Sends through one VM only, which then has to borrow from the others. */
  void UseOnly(std::size_t aVm) { this->onlyVm = static_cast<int>(aVm); }
  void UseAll() { this->onlyVm = kAllVms; }

  void AwaitMore(std::size_t aCount)
  {
    const std::size_t target = this->Requests().size() + aCount;
    Await("more admitted requests", [&] { return this->Requests().size() >= target; });
  }

  std::vector<Admitted> Requests()
  {
    const std::lock_guard lock(this->mutex);
    return this->admitted;
  }

  std::size_t Refused() const { return this->refused; }

private:
  void Run(const CallerClient& aCaller, std::size_t aVm, std::size_t aThread)
  {
    CallOptions options = Reading();
    options.timeout = std::chrono::seconds(2);
    for (int number = 0; number < 20'000 && !this->isStopping; ++number) {
      if (this->onlyVm != kAllVms && this->onlyVm != static_cast<int>(aVm)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        continue;
      }
      const Clock::time_point sent = Clock::now();
      const CallAnswer answer = aCaller.Execute(
        "bookings", std::to_string(aThread) + "-" + std::to_string(number), "GET nothing", options);
      const Clock::time_point answered = Clock::now();
      if (answer.HasRun()) {
        const std::lock_guard lock(this->mutex);
        this->admitted.push_back({ sent, answered });
        continue;
      }
      this->refused += answer.reason == "rate-exceeded" ? 1 : 0;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  std::mutex mutex;
  std::vector<Admitted> admitted;
  static constexpr int kAllVms = -1;
  std::atomic<int> onlyVm = kAllVms;
  std::atomic<std::size_t> refused = 0;
  std::atomic<bool> isStopping = false;
  std::vector<std::thread> threads;
};

} // namespace

/** Guards against an organisation that gets more than its rate and burst, because several VMs count
    the same tokens, a restarted VM starts with new ones, or a paused one uses loans that ended. */
class RateLimitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RateLimitTest);
  CPPUNIT_TEST(CheckerFindsAnExcess);
  CPPUNIT_TEST(KeepsTheRateThroughRestartsAndPauses);
  CPPUNIT_TEST_SUITE_END();

public:
  void CheckerFindsAnExcess()
  {
    const Clock::time_point start{};
    std::vector<Admitted> requests;
    for (int number = 0; number < 100; ++number) {
      const Clock::time_point at = start + std::chrono::milliseconds(10 * number);
      requests.push_back({ at, at });
    }
    CPPUNIT_ASSERT(WorstExcess(requests, 100, 1) <= 0.001);
    CPPUNIT_ASSERT(WorstExcess(requests, 90, 1) > 5);
    CPPUNIT_ASSERT(WorstExcess(requests, 90, 20) <= 0);
    for (int number = 0; number < 30; ++number) {
      requests.push_back(requests[50]);
    }
    CPPUNIT_ASSERT(WorstExcess(requests, 100, 20) > 9);
  }

  void KeepsTheRateThroughRestartsAndPauses()
  {
    ClusterOptions options;
    options.network = 106;
    options.rate = kRate;
    options.burst = kBurst;
    Cluster cluster(options);
    Crowd crowd(cluster, 4);
    Section("one VM is asked for several times the rate and borrows, then all are", [&] {
      crowd.UseOnly(0);
      crowd.AwaitMore(kTwoSeconds);
      crowd.UseAll();
      crowd.AwaitMore(kRate);
    });
    Section("a VM is killed and restarted", [&] {
      cluster.Vm(1).Kill();
      cluster.StartVm(1);
      crowd.AwaitMore(kRate);
    });
    Section("a VM that has borrowed is paused for longer than a loan lasts", [&] {
      crowd.UseOnly(2);
      crowd.AwaitMore(kRate);
      cluster.Vm(2).Freeze();
      crowd.UseAll();
      std::this_thread::sleep_for(std::chrono::seconds(6));
      cluster.Vm(2).Resume();
      crowd.AwaitMore(kTwoSeconds);
    });
    crowd.Stop();
    const std::vector<Admitted> requests = crowd.Requests();
    const double excess = WorstExcess(requests, kRate, kBurst);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(excess) + " requests of " +
                             std::to_string(requests.size()) + " too many",
                           excess <= 0);
    CPPUNIT_ASSERT_MESSAGE("the rate was never exceeded", crowd.Refused() > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTest);

} // namespace mustardshift::test
