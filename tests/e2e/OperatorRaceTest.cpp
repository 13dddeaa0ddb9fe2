#include "e2e/fixture/Await.h"
#include "e2e/fixture/Cluster.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>

namespace mustardshift::test {

namespace {

constexpr int kRounds = 8;

ClusterOptions Options()
{
  ClusterOptions options;
  options.network = 105;
  return options;
}

std::string KeyOf(const std::string& aName)
{
  return "north-" + aName + "-key";
}

/** Gives a key from a base version; a change whose answer was lost is asked for again with the same
    operation id, as operators do. */
operators::v1::ChangeResponse Give(const Cluster& aCluster,
                                   std::size_t aVm,
                                   const std::string& aName,
                                   std::uint64_t aBase)
{
  operators::v1::ChangeResponse response;
  Await("an answer to a change", [&] {
    response = aCluster.GiveKey(aVm, "north", aName, KeyOf(aName), aBase, "give-" + aName);
    return response.result() != operators::v1::CHANGE_RESULT_UNKNOWN &&
           response.result() != operators::v1::CHANGE_RESULT_UNAVAILABLE;
  });
  return response;
}

CallAnswer Read(const Cluster& aCluster, std::size_t aVm, const std::string& aKey)
{
  CallOptions options = Reading();
  options.timeout = std::chrono::seconds(2);
  return aCluster.Caller(aVm, aKey).Execute("bookings", "read", "GET nothing", options);
}

} // namespace

/** Guards against two operators who both believe that their change of the same version was
   accepted, against a change that ran although its operator was told otherwise, and against a VM
   that goes back to an older configuration. */
class OperatorRaceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OperatorRaceTest);
  CPPUNIT_TEST(AcceptsOneOfTwoChanges);
  CPPUNIT_TEST(NeverGoesBackAfterAnOutage);
  CPPUNIT_TEST_SUITE_END();

public:
  void AcceptsOneOfTwoChanges()
  {
    Cluster cluster(Options());
    for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
      const std::string name = "warm-up-" + std::to_string(vm);
      CPPUNIT_ASSERT_EQUAL(operators::v1::CHANGE_RESULT_ACCEPTED,
                           Give(cluster, vm, name, 0).result());
    }
    for (int round = 0; round < kRounds; ++round) {
      const bool losesAnswers = round % 2 == 1;
      const std::uint64_t base = cluster.Status(0).configuration_version();
      Await("all VMs to know the version", [&] {
        return cluster.Status(1).configuration_version() == base &&
               cluster.Status(2).configuration_version() == base;
      });
      if (losesAnswers) {
        cluster.DropCommitAnswers(1);
      }
      const std::string first = "a-" + std::to_string(round);
      const std::string second = "b-" + std::to_string(round);
      operators::v1::ChangeResponse answers[2];
      std::thread other([&] { answers[1] = Give(cluster, 1, second, base); });
      answers[0] = Give(cluster, 0, first, base);
      other.join();
      const std::string text = "round " + std::to_string(round) + ": " + answers[0].message() +
                               " / " + answers[1].message();
      const int winner = answers[0].result() == operators::v1::CHANGE_RESULT_ACCEPTED ? 0 : 1;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        text, operators::v1::CHANGE_RESULT_ACCEPTED, answers[winner].result());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        text, operators::v1::CHANGE_RESULT_CONFLICT, answers[1 - winner].result());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, base + 1, answers[winner].version());
      const std::string won = KeyOf(winner == 0 ? first : second);
      const std::string lost = KeyOf(winner == 0 ? second : first);
      for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
        Await("the accepted key to work", [&] { return Read(cluster, vm, won).HasRun(); });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          text, std::string("key-unknown"), Read(cluster, vm, lost).reason);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, base + 1, cluster.Status(vm).configuration_version());
      }
    }
  }

  void NeverGoesBackAfterAnOutage()
  {
    Cluster cluster(Options());
    CPPUNIT_ASSERT_EQUAL(operators::v1::CHANGE_RESULT_ACCEPTED,
                         Give(cluster, 0, "old", 0).result());
    Await("the key to work on vm-3", [&] { return Read(cluster, 2, KeyOf("old")).HasRun(); });
    std::uint64_t version = 0;
    Section("vm-3 misses changes while the platform is out of its reach", [&] {
      cluster.SetOutage(standin::v1::OUTAGE_MODE_SILENT, { Cluster::VmName(2) });
      cluster.Vm(2).Freeze();
      CPPUNIT_ASSERT_EQUAL(operators::v1::CHANGE_RESULT_ACCEPTED,
                           cluster.WithdrawKey(0, "north", "old", "withdraw-old").result());
      const operators::v1::ChangeResponse last = Give(cluster, 1, "new", 0);
      CPPUNIT_ASSERT_EQUAL(operators::v1::CHANGE_RESULT_ACCEPTED, last.result());
      version = last.version();
    });
    Section("killed and restarted during its outage, it serves nothing of the old version", [&] {
      cluster.Vm(2).Kill();
      cluster.StartVm(2);
      Await("vm-3 to answer", [&] { return Read(cluster, 2, KeyOf("old")).reason != "transport"; });
      for (int attempt = 0; attempt < 50; ++attempt) {
        const CallAnswer answer = Read(cluster, 2, KeyOf("old"));
        CPPUNIT_ASSERT_MESSAGE(answer.Text(), answer.HasNotRun());
      }
    });
    Section("afterwards it reaches the last version, and never shows a smaller one again", [&] {
      cluster.SetOutage(standin::v1::OUTAGE_MODE_NONE);
      std::uint64_t seen = 0;
      const auto observe = [&] {
        const std::uint64_t now = cluster.Status(2).configuration_version();
        CPPUNIT_ASSERT(now >= seen);
        CPPUNIT_ASSERT(!Read(cluster, 2, KeyOf("old")).HasRun());
        seen = now;
        return now >= version && Read(cluster, 2, KeyOf("new")).HasRun();
      };
      Await("vm-3 to catch up", observe);
      cluster.SetOutage(standin::v1::OUTAGE_MODE_REFUSE);
      for (int attempt = 0; attempt < 50; ++attempt) {
        observe();
      }
      cluster.SetOutage(standin::v1::OUTAGE_MODE_NONE);
      Await("vm-3 to serve", observe);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorRaceTest);

} // namespace mustardshift::test
