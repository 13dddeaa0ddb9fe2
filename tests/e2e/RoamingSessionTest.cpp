#include "e2e/fixture/Await.h"
#include "e2e/fixture/Cluster.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace mustardshift::test {

namespace {

/** Values that only grow, as one session has seen them. */
class GrowingValue
{
public:
  /** Notes what the session read or was told about its own write. Returns false when it had seen a
      higher value before. */
  bool Observe(long long aValue)
  {
    const bool isMonotonic = aValue >= this->highest;
    this->highest = std::max(this->highest, aValue);
    return isMonotonic;
  }

private:
  long long highest = 0;
};

/** Sessions that add to a row of their own and to a row shared by all, and read both, each call
    through another VM. */
class Sessions
{
public:
  Sessions(const Cluster& aCluster, std::size_t aCount)
  {
    for (std::size_t vm = 0; vm < aCluster.VmCount(); ++vm) {
      this->callers.push_back(aCluster.Caller(vm));
    }
    for (std::size_t session = 0; session < aCount; ++session) {
      this->threads.emplace_back([this, session] { this->Run(session); });
    }
  }

  ~Sessions() { this->Stop(); }

  void Stop()
  {
    this->isStopping = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

  void AwaitMore(std::size_t aReads, std::size_t aWrites) const
  {
    const std::size_t reads = this->goodReads + aReads;
    const std::size_t writes = this->goodWrites + aWrites;
    Await("more reads and writes of sessions",
          [&] { return this->goodReads >= reads && this->goodWrites >= writes; });
  }

  std::vector<std::string> Deviations()
  {
    const std::lock_guard lock(this->mutex);
    return this->deviations;
  }

  std::size_t ReplicaReads() const { return this->replicaReads; }

private:
  void Run(std::size_t aSession)
  {
    std::mt19937_64 generator(aSession + 1);
    const std::string own = "own-" + std::to_string(aSession);
    GrowingValue ownValue;
    GrowingValue sharedValue;
    std::string token;
    for (int number = 0; number < 5000 && !this->isStopping; ++number) {
      const bool isShared = generator() % 2 == 0;
      const bool isRead = generator() % 4 != 0;
      const std::string key = isShared ? "shared" : own;
      const CallerClient& caller = this->callers[generator() % this->callers.size()];
      CallOptions options = isRead ? Reading(token) : CallOptions();
      options.sessionToken = token;
      options.timeout = std::chrono::milliseconds(2500);
      const CallAnswer answer = caller.Execute("bookings",
                                               own + "-" + std::to_string(number),
                                               isRead ? "GET " + key : "ADD " + key + " 1",
                                               options);
      if (!answer.HasRun()) {
        continue;
      }
      token = answer.sessionToken;
      (isRead ? this->goodReads : this->goodWrites) += 1;
      this->replicaReads += answer.servedByReplica ? 1 : 0;
      const long long value = answer.rows.empty() ? 0 : std::stoll(answer.rows.front());
      if (!(isShared ? sharedValue : ownValue).Observe(value)) {
        const std::lock_guard lock(this->mutex);
        this->deviations.push_back(key + " went back to " + std::to_string(value) + " at step " +
                                   std::to_string(number) +
                                   (answer.servedByReplica ? " (replica)" : " (primary)"));
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  std::vector<CallerClient> callers;
  std::mutex mutex;
  std::vector<std::string> deviations;
  std::atomic<std::size_t> goodReads = 0;
  std::atomic<std::size_t> goodWrites = 0;
  std::atomic<std::size_t> replicaReads = 0;
  std::atomic<bool> isStopping = false;
  std::vector<std::thread> threads;
};

} // namespace

/** Guards against a session that misses its own write, or sees data go back, after it moved to
    another VM, to a replica that is behind, or to a new primary. */
class RoamingSessionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoamingSessionTest);
  CPPUNIT_TEST(CheckerFindsAStepBack);
  CPPUNIT_TEST(ReadsItsWritesThroughAPromotion);
  CPPUNIT_TEST_SUITE_END();

public:
  void CheckerFindsAStepBack()
  {
    GrowingValue value;
    CPPUNIT_ASSERT(value.Observe(1));
    CPPUNIT_ASSERT(value.Observe(1));
    CPPUNIT_ASSERT(value.Observe(3));
    CPPUNIT_ASSERT(!value.Observe(2));
    CPPUNIT_ASSERT(!value.Observe(0));
    CPPUNIT_ASSERT(value.Observe(3));
  }

  void ReadsItsWritesThroughAPromotion()
  {
    ClusterOptions options;
    options.network = 103;
    options.lagMilliseconds = 15;
    Cluster cluster(options);
    const std::size_t old = cluster.Primary(0);
    const std::size_t behind = (old + 1) % Cluster::kServers;
    const std::uint64_t term = cluster.Term(0);
    Sessions sessions(cluster, 9);
    Section("a replica falls far behind", [&] {
      sessions.AwaitMore(200, 60);
      standin::v1::DatabaseFaults faults;
      faults.set_hold_replication(true);
      cluster.SetFaults(behind, faults);
      sessions.AwaitMore(400, 120);
    });
    Section("the primary freezes and another takes over", [&] {
      cluster.Server(old).Freeze();
      for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
        cluster.AwaitTermAbove(vm, term);
      }
      // The new primary needs this replica for its majority.
      cluster.SetFaults(behind, {});
      sessions.AwaitMore(200, 60);
    });
    Section("the old primary comes back", [&] {
      cluster.Server(old).Resume();
      sessions.AwaitMore(300, 90);
    });
    sessions.Stop();
    const std::vector<std::string> deviations = sessions.Deviations();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(deviations.size()) + " deviations, first " +
                             (deviations.empty() ? "" : deviations.front()),
                           deviations.empty());
    CPPUNIT_ASSERT_MESSAGE("replicas served no read", sessions.ReplicaReads() > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoamingSessionTest);

} // namespace mustardshift::test
