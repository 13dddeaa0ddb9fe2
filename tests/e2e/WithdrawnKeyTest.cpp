#include "core/configuration/ConfigurationTrust.h"
#include "e2e/fixture/Await.h"
#include "e2e/fixture/Cluster.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace mustardshift::test {

namespace {

const std::string kKey = "north-key-that-is-withdrawn";

ClusterOptions Options()
{
  ClusterOptions options;
  options.network = 104;
  return options;
}

CallAnswer Read(const Cluster& aCluster,
                std::size_t aVm,
                const std::string& aKey,
                const std::string& aRoute = "bookings")
{
  CallOptions options = Reading();
  options.timeout = std::chrono::seconds(2);
  return aCluster.Caller(aVm, aKey).Execute(aRoute, "read", "GET nothing", options);
}

void GiveSecondKey(const Cluster& aCluster)
{
  Await("the second key", [&] {
    return aCluster.GiveKey(0, "north", "second", kKey, 0, "give-second").result() ==
           operators::v1::CHANGE_RESULT_ACCEPTED;
  });
  for (std::size_t vm = 0; vm < aCluster.VmCount(); ++vm) {
    Await("the second key to work", [&] { return Read(aCluster, vm, kKey).HasRun(); });
  }
}

void CheckRefused(const Cluster& aCluster, std::size_t aVm, const std::string& aReason)
{
  for (int attempt = 0; attempt < 30; ++attempt) {
    const CallAnswer answer = Read(aCluster, aVm, kKey);
    CPPUNIT_ASSERT_MESSAGE(Cluster::VmName(aVm) + " answered " + answer.Text(), answer.HasNotRun());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Text(), aReason, answer.reason);
  }
}

} // namespace

/** Guards against a withdrawn key that goes on working: on a VM that was not reached, on one that
   is cut off, or because the platform's answer to the withdrawal was lost. */
class WithdrawnKeyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WithdrawnKeyTest);
  CPPUNIT_TEST(StopsOnAllVms);
  CPPUNIT_TEST(StopsOnAVmThatIsCutOff);
  CPPUNIT_TEST(NamesAVmThatDidNotConfirm);
  CPPUNIT_TEST(StopsWhenThePlatformsAnswerIsLost);
  CPPUNIT_TEST_SUITE_END();

public:
  void StopsOnAllVms()
  {
    Cluster cluster(Options());
    GiveSecondKey(cluster);
    const operators::v1::ChangeResponse withdrawn =
      cluster.WithdrawKey(1, "north", "second", "withdraw-second");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      withdrawn.message(), operators::v1::CHANGE_RESULT_ACCEPTED, withdrawn.result());
    Section("a VM that confirmed refuses the key from then on", [&] {
      for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
        const bool isConfirmed = std::find(withdrawn.confirmed_by().begin(),
                                           withdrawn.confirmed_by().end(),
                                           Cluster::VmName(vm)) != withdrawn.confirmed_by().end();
        if (!isConfirmed) {
          Await("the key to stop", [&] { return Read(cluster, vm, kKey).HasNotRun(); });
        }
        CheckRefused(cluster, vm, "key-unknown");
      }
    });
    Section("the organisation's other key goes on", [&] {
      for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
        CPPUNIT_ASSERT(Read(cluster, vm, cluster.northKey).HasRun());
      }
    });
  }

  void StopsOnAVmThatIsCutOff()
  {
    Cluster cluster(Options());
    GiveSecondKey(cluster);
    std::chrono::steady_clock::time_point inForce;
    std::uint64_t version = 0;
    Section("the key is withdrawn while vm-1 reaches neither the platform nor its peers", [&] {
      cluster.SetOutage(standin::v1::OUTAGE_MODE_SILENT, { Cluster::VmName(0) });
      cluster.Vm(1).Freeze();
      cluster.Vm(2).Freeze();
      version = cluster.CommitElsewhere(WithdrawKey{ OrganisationName("north"), "second" });
      inForce = std::chrono::steady_clock::now() + kConfigurationTrustBound;
    });
    Section("no call that starts after the trust bound runs", [&] {
      Await("the trust bound", [&] {
        Read(cluster, 0, kKey);
        return std::chrono::steady_clock::now() >= inForce;
      });
      CheckRefused(cluster, 0, "configuration-untrusted");
      CPPUNIT_ASSERT_EQUAL(std::string("configuration-untrusted"),
                           Read(cluster, 0, cluster.northKey).reason);
      CPPUNIT_ASSERT_MESSAGE("vm-1 was not cut off",
                             cluster.Status(0).configuration_version() < version);
    });
    Section("public routes go on", [&] { CPPUNIT_ASSERT(Read(cluster, 0, "", "hours").HasRun()); });
    Section("a VM that is cut off and starts anew does not serve the key either", [&] {
      cluster.Vm(0).Kill();
      cluster.StartVm(0);
      Await("vm-1 to answer", [&] { return Read(cluster, 0, kKey).reason != "transport"; });
      for (int attempt = 0; attempt < 30; ++attempt) {
        CPPUNIT_ASSERT(Read(cluster, 0, kKey).HasNotRun());
      }
    });
    Section("back in touch, vm-1 serves the other key and not this one", [&] {
      cluster.Vm(1).Resume();
      cluster.Vm(2).Resume();
      cluster.SetOutage(standin::v1::OUTAGE_MODE_NONE);
      Await("vm-1 to serve", [&] {
        CPPUNIT_ASSERT(!Read(cluster, 0, kKey).HasRun());
        return Read(cluster, 0, cluster.northKey).HasRun();
      });
      CheckRefused(cluster, 0, "key-unknown");
    });
  }

  /** The operator is told which VMs have not confirmed, and how long they may serve the key. */
  void NamesAVmThatDidNotConfirm()
  {
    Cluster cluster(Options());
    GiveSecondKey(cluster);
    cluster.SetOutage(standin::v1::OUTAGE_MODE_SILENT, { Cluster::VmName(0) });
    cluster.Vm(0).Freeze();
    const operators::v1::ChangeResponse withdrawn =
      cluster.WithdrawKey(1, "north", "second", "withdraw-second");
    const std::chrono::steady_clock::time_point inForce =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(withdrawn.in_force_within_ms());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      withdrawn.message(), operators::v1::CHANGE_RESULT_ACCEPTED, withdrawn.result());
    CPPUNIT_ASSERT_EQUAL(1, withdrawn.unconfirmed_size());
    CPPUNIT_ASSERT_EQUAL(Cluster::VmName(0), withdrawn.unconfirmed(0));
    CPPUNIT_ASSERT(withdrawn.in_force_within_ms() > 0);
    cluster.Vm(0).Resume();
    Await("the promised moment", [&] {
      Read(cluster, 0, kKey);
      return std::chrono::steady_clock::now() >= inForce;
    });
    for (int attempt = 0; attempt < 30; ++attempt) {
      const CallAnswer answer = Read(cluster, 0, kKey);
      CPPUNIT_ASSERT_MESSAGE(answer.Text(), answer.HasNotRun());
    }
  }

  void StopsWhenThePlatformsAnswerIsLost()
  {
    Cluster cluster(Options());
    GiveSecondKey(cluster);
    const std::uint64_t before = cluster.Status(1).configuration_version();
    cluster.DropCommitAnswers(1);
    operators::v1::ChangeResponse withdrawn;
    Await("the withdrawal", [&] {
      withdrawn = cluster.WithdrawKey(1, "north", "second", "withdraw-second");
      CPPUNIT_ASSERT(withdrawn.result() == operators::v1::CHANGE_RESULT_ACCEPTED ||
                     withdrawn.result() == operators::v1::CHANGE_RESULT_UNKNOWN);
      return withdrawn.result() == operators::v1::CHANGE_RESULT_ACCEPTED;
    });
    CPPUNIT_ASSERT_EQUAL(before + 1, withdrawn.version());
    for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
      Await("the key to stop", [&] { return Read(cluster, vm, kKey).HasNotRun(); });
      CheckRefused(cluster, vm, "key-unknown");
      CPPUNIT_ASSERT_EQUAL(before + 1, cluster.Status(vm).configuration_version());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WithdrawnKeyTest);

} // namespace mustardshift::test
