#include "e2e/fixture/Await.h"
#include "e2e/fixture/BookingLedger.h"
#include "e2e/fixture/BookingWriters.h"
#include "e2e/fixture/Cluster.h"
#include "e2e/fixture/FinalState.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace mustardshift::test {

namespace {

constexpr std::size_t kWritersPerVm = 3;
constexpr std::size_t kSome = 60;

ClusterOptions Options()
{
  ClusterOptions options;
  options.network = 101;
  return options;
}

void CheckLedger(const Cluster& aCluster, const BookingLedger& aLedger)
{
  for (std::size_t vm = 0; vm < aCluster.VmCount(); ++vm) {
    const std::vector<std::string> deviations =
      aLedger.Deviations(ReadFinalState(aCluster, vm, "booking-"));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(deviations.size()) + " deviations, first " +
                             (deviations.empty() ? "" : deviations.front()) + ", read through " +
                             Cluster::VmName(vm),
                           deviations.empty());
  }
}

void AwaitTermEverywhere(const Cluster& aCluster, std::uint64_t aTerm)
{
  for (std::size_t vm = 0; vm < aCluster.VmCount(); ++vm) {
    aCluster.AwaitTermAbove(vm, aTerm);
  }
}

} // namespace

/** Guards against a write that is acknowledged by a deposed primary and lost with it, against an
    acknowledged write that a promotion loses, and against a not-run answer for a write that ran. */
class AcknowledgedWriteTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AcknowledgedWriteTest);
  CPPUNIT_TEST(LedgerFindsLostAndUnexpectedBookings);
  CPPUNIT_TEST(SurvivesAPrimaryThatIsCutOff);
  CPPUNIT_TEST(SurvivesAPrimaryThatIsFrozen);
  CPPUNIT_TEST(SurvivesAPrimaryThatIsKilled);
  CPPUNIT_TEST(SurvivesADaemonFrozenBeforeTheAcknowledgement);
  CPPUNIT_TEST_SUITE_END();

public:
  void LedgerFindsLostAndUnexpectedBookings()
  {
    CallAnswer run;
    run.verdict = caller::v1::VERDICT_RUN;
    CallAnswer notRun;
    notRun.verdict = caller::v1::VERDICT_NOT_RUN;
    BookingLedger ledger;
    ledger.Record("a", "1", run);
    ledger.Record("b", "2", notRun);
    ledger.Record("c", "3", CallAnswer());
    CPPUNIT_ASSERT(ledger.Deviations({ "a 1" }).empty());
    CPPUNIT_ASSERT(ledger.Deviations({ "a 1", "c 3" }).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ledger.Deviations({}).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ledger.Deviations({ "a 2" }).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ledger.Deviations({ "a 1", "b 2" }).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ledger.Deviations({ "a 1", "a 1" }).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ledger.Deviations({ "a 1", "d 4" }).size());
  }

  void SurvivesAPrimaryThatIsCutOff()
  {
    Cluster cluster(Options());
    BookingLedger ledger;
    BookingWriters writers(cluster, ledger, kWritersPerVm);
    const std::size_t old = cluster.Primary(0);
    const std::uint64_t term = cluster.Term(0);
    writers.AwaitMore(kSome);
    Section("the primary reaches neither its peers nor most VMs, and refuses no old term", [&] {
      standin::v1::DatabaseFaults faults;
      faults.set_cut_off(true);
      faults.set_ignore_terms(true);
      for (std::size_t vm = 1; vm < cluster.VmCount(); ++vm) {
        faults.add_unreachable_user_agents(Cluster::VmName(vm));
      }
      cluster.SetFaults(old, faults);
    });
    Section("the others promote a replica, and writes go on", [&] {
      AwaitTermEverywhere(cluster, term);
      CPPUNIT_ASSERT(cluster.Primary(0) != old);
      writers.AwaitMore(kSome);
    });
    Section("the old primary comes back", [&] {
      cluster.SetFaults(old, {});
      writers.AwaitMore(kSome);
      writers.Stop();
      CheckLedger(cluster, ledger);
    });
  }

  void SurvivesAPrimaryThatIsFrozen()
  {
    Cluster cluster(Options());
    BookingLedger ledger;
    BookingWriters writers(cluster, ledger, kWritersPerVm);
    const std::size_t old = cluster.Primary(0);
    const std::uint64_t term = cluster.Term(0);
    writers.AwaitMore(kSome);
    cluster.Server(old).Freeze();
    AwaitTermEverywhere(cluster, term);
    writers.AwaitMore(kSome);
    cluster.Server(old).Resume();
    writers.AwaitMore(kSome);
    writers.Stop();
    CheckLedger(cluster, ledger);
  }

  void SurvivesAPrimaryThatIsKilled()
  {
    Cluster cluster(Options());
    BookingLedger ledger;
    BookingWriters writers(cluster, ledger, kWritersPerVm);
    const std::uint64_t term = cluster.Term(0);
    writers.AwaitMore(kSome);
    cluster.Server(cluster.Primary(0)).Kill();
    AwaitTermEverywhere(cluster, term);
    writers.AwaitMore(kSome);
    writers.Stop();
    CheckLedger(cluster, ledger);
  }

  void SurvivesADaemonFrozenBeforeTheAcknowledgement()
  {
    // With this lag nearly every write of the frozen VM waits for a replica.
    ClusterOptions options = Options();
    options.lagMilliseconds = 100;
    Cluster cluster(options);
    BookingLedger ledger;
    BookingWriters writers(cluster, ledger, kWritersPerVm);
    const std::uint64_t term = cluster.Term(0);
    writers.AwaitMore(kSome);
    cluster.Vm(0).Freeze();
    cluster.Server(cluster.Primary(1)).Kill();
    cluster.AwaitTermAbove(1, term);
    cluster.AwaitTermAbove(2, term);
    writers.AwaitMore(kSome);
    cluster.Vm(0).Resume();
    AwaitTermEverywhere(cluster, term);
    writers.AwaitMore(kSome);
    writers.Stop();
    CheckLedger(cluster, ledger);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AcknowledgedWriteTest);

} // namespace mustardshift::test
