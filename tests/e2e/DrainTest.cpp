#include "e2e/fixture/Await.h"
#include "e2e/fixture/Cluster.h"
#include "e2e/fixture/FinalState.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace mustardshift::test {

namespace {

ClusterOptions Options()
{
  ClusterOptions options;
  options.network = 110;
  return options;
}

std::string Begin(const Cluster& aCluster, std::size_t aVm, const std::string& aId)
{
  CallAnswer answer;
  Await("a transaction to open", [&] {
    answer = aCluster.Caller(aVm).Begin("bookings", aId);
    return answer.HasRun();
  });
  return answer.transactionId;
}

void CheckNotRun(const CallAnswer& aAnswer, const std::string& aReason)
{
  CPPUNIT_ASSERT_MESSAGE(aAnswer.Text(), aAnswer.HasNotRun());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aAnswer.Text(), aReason, aAnswer.reason);
}

/** Finishes an open transaction that has to go on undisturbed. */
void Finish(const Cluster& aCluster,
            std::size_t aVm,
            const std::string& aId,
            const std::string& aRow)
{
  const CallerClient caller = aCluster.Caller(aVm);
  CallAnswer answer = caller.ExecuteInTransaction(aId, "PUT " + aRow + " 1");
  CPPUNIT_ASSERT_MESSAGE(answer.Text(), answer.HasRun());
  answer = caller.Commit(aId, "commit-" + aRow);
  CPPUNIT_ASSERT_MESSAGE(answer.Text(), answer.HasRun());
  CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ReadFinalState(aCluster, 0, aRow).size());
}

} // namespace

/** Guards against work that is cut by a drain, against new work that a drained part still accepts,
    and against a drain that disturbs the other VMs. */
class DrainTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(DrainsAFailureDomain);
  CPPUNIT_TEST(DrainsADatabase);
  CPPUNIT_TEST(DrainsADaemonThatIsStopped);
  CPPUNIT_TEST_SUITE_END();

public:
  void DrainsAFailureDomain()
  {
    Cluster cluster(Options());
    const std::string open = Begin(cluster, 2, "begin");
    const operators::v1::ChangeResponse out = cluster.SetFailureDomain(0, "fd-3", false);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      out.message(), operators::v1::CHANGE_RESULT_ACCEPTED, out.result());
    Section("its VM takes no new work and names another VM", [&] {
      Await("vm-3 to refuse",
            [&] { return cluster.Caller(2).Execute("bookings", "a", "PUT row 1").HasNotRun(); });
      const CallAnswer refused = cluster.Caller(2).Execute("bookings", "b", "PUT row 1");
      CheckNotRun(refused, "failure-domain-drained");
      CPPUNIT_ASSERT(refused.alternativeAddress == cluster.CallerAddress(0) ||
                     refused.alternativeAddress == cluster.CallerAddress(1));
      CheckNotRun(cluster.Caller(2).Begin("bookings", "c"), "failure-domain-drained");
      CheckNotRun(cluster.Caller(2, "").Execute("hours", "d", "GET row", Reading()),
                  "failure-domain-drained");
    });
    Section("its database server serves no more reads", [&] {
      const std::uint64_t before = cluster.Counters(2).reads();
      for (int number = 0; number < 60; ++number) {
        const CallAnswer answer =
          cluster.Caller(static_cast<std::size_t>(number % 2))
            .Execute("bookings", "read-" + std::to_string(number), "GET row", Reading());
        CPPUNIT_ASSERT_MESSAGE(answer.Text(), answer.HasRun());
      }
      CPPUNIT_ASSERT_EQUAL(before, cluster.Counters(2).reads());
    });
    Section("the open transaction finishes", [&] { Finish(cluster, 2, open, "kept"); });
    Section("back in service, it takes work again", [&] {
      CPPUNIT_ASSERT_EQUAL(operators::v1::CHANGE_RESULT_ACCEPTED,
                           cluster.SetFailureDomain(0, "fd-3", true).result());
      cluster.AwaitServing(2);
    });
  }

  void DrainsADatabase()
  {
    Cluster cluster(Options());
    const std::string open = Begin(cluster, 1, "begin");
    const operators::v1::ChangeResponse out = cluster.SetDatabase(0, false);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      out.message(), operators::v1::CHANGE_RESULT_ACCEPTED, out.result());
    Section("no VM sends it new work", [&] {
      for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
        Await("a VM to refuse",
              [&] { return cluster.Caller(vm).Execute("bookings", "a", "PUT row 1").HasNotRun(); });
        CheckNotRun(cluster.Caller(vm).Execute("bookings", "b", "PUT row 1"), "database-drained");
        CheckNotRun(cluster.Caller(vm).Execute("bookings", "c", "GET row", Reading()),
                    "database-drained");
        CheckNotRun(cluster.Caller(vm).Begin("bookings", "d"), "database-drained");
      }
    });
    Section("the open transaction finishes", [&] {
      const CallerClient caller = cluster.Caller(1);
      CPPUNIT_ASSERT(caller.ExecuteInTransaction(open, "PUT kept 1").HasRun());
      CPPUNIT_ASSERT(caller.Commit(open, "commit").HasRun());
    });
    Section("back in service, it takes work again", [&] {
      CPPUNIT_ASSERT_EQUAL(operators::v1::CHANGE_RESULT_ACCEPTED,
                           cluster.SetDatabase(0, true).result());
      for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
        cluster.AwaitServing(vm);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ReadFinalState(cluster, 0, "kept").size());
    });
  }

  void DrainsADaemonThatIsStopped()
  {
    Cluster cluster(Options());
    std::vector<std::string> open(3);
    for (std::size_t number = 0; number < open.size(); ++number) {
      open[number] = Begin(cluster, 2, "begin-" + std::to_string(number));
    }
    std::vector<CallAnswer> running(4);
    std::vector<std::jthread> threads;
    Section("SIGTERM comes while requests wait for their majority", [&] {
      // Without replication no write is acknowledged until the fault is lifted.
      standin::v1::DatabaseFaults hold;
      hold.set_hold_replication(true);
      cluster.SetFaults(1, hold);
      cluster.SetFaults(2, hold);
      const std::uint64_t writes = cluster.Counters(0).writes();
      for (std::size_t number = 0; number < running.size(); ++number) {
        threads.emplace_back([&, number] {
          running[number] =
            cluster.Caller(2).Execute("bookings",
                                      "running-" + std::to_string(number),
                                      "PUT running-" + std::to_string(number) + " 1");
        });
      }
      Await("the writes to reach the primary",
            [&] { return cluster.Counters(0).writes() >= writes + running.size(); });
      cluster.Vm(2).Terminate();
      Await("vm-3 to drain", [&] {
        const operators::v1::StatusResponse status = cluster.Status(2);
        return std::any_of(status.vms().begin(), status.vms().end(), [](const auto& aVm) {
          return aVm.id() == Cluster::VmName(2) && aVm.draining();
        });
      });
      cluster.SetFaults(1, {});
      cluster.SetFaults(2, {});
    });
    Section("new work is refused with another VM's address", [&] {
      const CallAnswer refused = cluster.Caller(2).Execute("bookings", "new", "PUT refused 1");
      CheckNotRun(refused, "vm-draining");
      CPPUNIT_ASSERT(refused.alternativeAddress == cluster.CallerAddress(0) ||
                     refused.alternativeAddress == cluster.CallerAddress(1));
      CheckNotRun(cluster.Caller(2).Begin("bookings", "new-begin"), "vm-draining");
    });
    Section("running requests and open transactions finish", [&] {
      for (std::jthread& thread : threads) {
        thread.join();
      }
      for (const CallAnswer& answer : running) {
        CPPUNIT_ASSERT_MESSAGE(answer.Text(), answer.HasRun());
      }
      for (std::size_t number = 0; number < open.size(); ++number) {
        Finish(cluster, 2, open[number], "kept-" + std::to_string(number));
      }
    });
    Section("the daemon ends in order, and the other VMs go on", [&] {
      CPPUNIT_ASSERT_EQUAL(0, cluster.Vm(2).AwaitExit());
      for (const std::size_t vm : { 0U, 1U }) {
        const CallAnswer answer = cluster.Caller(vm).Execute("bookings", "after", "PUT after 1");
        CPPUNIT_ASSERT_MESSAGE(answer.Text(), answer.HasRun());
      }
      CPPUNIT_ASSERT(ReadFinalState(cluster, 0, "refused").empty());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

} // namespace mustardshift::test
