#include "emulator/Deployment.h"
#include "emulator/FailoverMeasures.h"
#include "emulator/FairnessEmulation.h"
#include "emulator/MeasureReport.h"
#include "emulator/QuotaEmulation.h"
#include "emulator/ReadEmulation.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace mustardshift {

using namespace bench;
using std::chrono::seconds;
using test::Section;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr double kSteadyRefusals = 0.001;
constexpr double kReplacementRefusals = 0.01;

QuotaOptions QuotaRun(CallerPlacement aPlacement, VmChange aChange)
{
  QuotaOptions options;
  options.seed = kSeed;
  options.vms = 9;
  options.placement = aPlacement;
  options.change = aChange;
  options.length = seconds(60);
  return options;
}

} // namespace

/** Guards against reads that go to the primary without need, and against stale reads. */
class ReadEmulationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReadEmulationTest);
  CPPUNIT_TEST(ReplicasServeMostReads);
  CPPUNIT_TEST(ReplicasServeMostReadsWithOneFarBehind);
  CPPUNIT_TEST(RouterWithoutFloorReturnsStaleData);
  CPPUNIT_TEST_SUITE_END();

public:
  static void Check(Duration aSecondLag, double aBound)
  {
    for (const Deployment& deployment : Deployments()) {
      Section(deployment.name, [&] {
        ReadOptions options;
        options.seed = kSeed;
        options.length = seconds(20);
        options.lags[1] = aSecondLag;
        const ReadResult router = EmulateReads(deployment, options);
        CPPUNIT_ASSERT(router.reads > 1000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, router.staleReads);
        CPPUNIT_ASSERT(router.ReplicaShare() >= aBound);
        Section("the baseline misses the bound", [&] {
          options.policy = ReadPolicy::PrimaryAfterWrite;
          CPPUNIT_ASSERT(EmulateReads(deployment, options).ReplicaShare() < aBound);
        });
      });
    }
  }

  void ReplicasServeMostReads() { Check(ReadOptions{}.lags[1], 0.95); }
  void ReplicasServeMostReadsWithOneFarBehind() { Check(std::chrono::minutes(3), 0.85); }

  void RouterWithoutFloorReturnsStaleData()
  {
    ReadOptions options;
    options.seed = kSeed;
    options.length = seconds(20);
    options.policy = ReadPolicy::RouterWithoutFloor;
    CPPUNIT_ASSERT(EmulateReads(Deployments().front(), options).staleReads > 0);
  }
};

/** Guards against an organisation that suffers because another one sends far too much. */
class FairnessEmulationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FairnessEmulationTest);
  CPPUNIT_TEST(FloodLeavesOthersTheirShare);
  CPPUNIT_TEST(FloodLeavesOthersTheirLatency);
  CPPUNIT_TEST_SUITE_END();

public:
  static std::vector<OrganisationService> RunFlood(const Deployment& aDeployment, bool aIsPlain)
  {
    FairnessOptions options;
    options.seed = kSeed;
    options.length = seconds(20);
    options.isFirstComeFirstServed = aIsPlain;
    return EmulateFairness(aDeployment, options);
  }

  static double WorstShare(const std::vector<OrganisationService>& aService)
  {
    double worst = 1;
    for (std::size_t index = 1; index < aService.size(); ++index) {
      worst = std::min(worst, aService[index].Share());
    }
    return worst;
  }

  static double WorstLatencyRatio(const Deployment& aDeployment, bool aIsPlain)
  {
    std::vector<OrganisationService> service = RunFlood(aDeployment, aIsPlain);
    double worst = 0;
    for (std::size_t index = 1; index < service.size(); ++index) {
      FairnessOptions options;
      options.seed = kSeed;
      options.length = seconds(60);
      options.only = index;
      options.flood = 1;
      const double alone =
        EmulateFairness(aDeployment, options)[index].latencies.Milliseconds(0.99);
      worst = std::max(worst, service[index].latencies.Milliseconds(0.99) / alone);
    }
    return worst;
  }

  void FloodLeavesOthersTheirShare()
  {
    for (const Deployment& deployment : Deployments()) {
      Section(deployment.name, [&] {
        CPPUNIT_ASSERT(WorstShare(RunFlood(deployment, false)) >= 0.95);
        Section("first come, first served misses the bound",
                [&] { CPPUNIT_ASSERT(WorstShare(RunFlood(deployment, true)) < 0.95); });
      });
    }
  }

  void FloodLeavesOthersTheirLatency()
  {
    for (const Deployment& deployment : Deployments()) {
      Section(deployment.name, [&] {
        CPPUNIT_ASSERT(WorstLatencyRatio(deployment, true) > 2);
        CPPUNIT_ASSERT(WorstLatencyRatio(deployment, false) <= 2);
      });
    }
  }
};

/** Guards against requests that are refused although the organisation is inside its rate, and
    against admissions above rate and burst. */
class QuotaEmulationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuotaEmulationTest);
  CPPUNIT_TEST(AdmitsCallersOnAllVms);
  CPPUNIT_TEST(AdmitsCallersOnOneVm);
  CPPUNIT_TEST(AdmitsMovingCallers);
  CPPUNIT_TEST(AdmitsWhileVmsAreReplaced);
  CPPUNIT_TEST(NeverExceedsRateAndBurst);
  CPPUNIT_TEST(WritesLittleToTheTable);
  CPPUNIT_TEST_SUITE_END();

public:
  static void Check(QuotaOptions aOptions, double aBound)
  {
    for (const Deployment& deployment : Deployments()) {
      Section(deployment.name, [&] {
        const QuotaResult result = EmulateQuota(deployment, aOptions);
        CPPUNIT_ASSERT(result.asked > 10'000);
        CPPUNIT_ASSERT(result.refusedByFixedShares > 0);
        CPPUNIT_ASSERT(result.worstExcess < 1e-3);
        Section("without loans the bound is missed", [&] {
          QuotaOptions broken = aOptions;
          broken.hasLoans = false;
          CPPUNIT_ASSERT(EmulateQuota(deployment, broken).RefusedShare() > aBound);
        });
        const double refused = result.RefusedShare();
        CPPUNIT_ASSERT_MESSAGE("refused " + std::to_string(refused), refused <= aBound);
      });
    }
  }

  void AdmitsCallersOnAllVms()
  {
    Check(QuotaRun(CallerPlacement::AllVms, VmChange::None), kSteadyRefusals);
  }
  void AdmitsCallersOnOneVm()
  {
    Check(QuotaRun(CallerPlacement::OneVm, VmChange::None), kSteadyRefusals);
  }
  void AdmitsMovingCallers()
  {
    Check(QuotaRun(CallerPlacement::Moving, VmChange::None), kSteadyRefusals);
  }
  void AdmitsWhileVmsAreReplaced()
  {
    Check(QuotaRun(CallerPlacement::AllVms, VmChange::Replaced), kReplacementRefusals);
  }

  void NeverExceedsRateAndBurst()
  {
    QuotaOptions options = QuotaRun(CallerPlacement::Moving, VmChange::Restarted);
    options.load = 2;
    const Deployment& deployment = Deployments().front();
    CPPUNIT_ASSERT(EmulateQuota(deployment, options).worstExcess < 1e-3);
    Section("the whole rate on each VM exceeds it", [&] {
      options.hasWholeRatePerVm = true;
      CPPUNIT_ASSERT(EmulateQuota(deployment, options).worstExcess > 1);
    });
  }

  void WritesLittleToTheTable()
  {
    const QuotaOptions options = QuotaRun(CallerPlacement::AllVms, VmChange::None);
    const QuotaResult result = EmulateQuota(Deployments().front(), options);
    constexpr double kBound = 50;
    CPPUNIT_ASSERT(static_cast<double>(result.tableWrites) < kBound * result.seconds);
    Section("a write per request exceeds it",
            [&] { CPPUNIT_ASSERT(static_cast<double>(result.asked) > kBound * result.seconds); });
  }
};

/** Guards against long gaps without a primary and against lost acknowledged writes. */
class FailoverEmulationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FailoverEmulationTest);
  CPPUNIT_TEST(GapIsShort);
  CPPUNIT_TEST(GapIsBoundedWithoutPlatform);
  CPPUNIT_TEST(UnsafeChoiceLosesWrites);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr std::size_t kRuns = 8;

  void GapIsShort()
  {
    for (const Deployment& deployment : Deployments()) {
      for (const PrimaryFault fault :
           { PrimaryFault::Killed, PrimaryFault::Frozen, PrimaryFault::CutOff }) {
        Section(deployment.name, [&] {
          const FailoverResult result =
            EmulateFailover(deployment, kSeed, kRuns, fault, PlatformState::Up);
          CPPUNIT_ASSERT_EQUAL(std::string(), result.firstFailure);
          CPPUNIT_ASSERT_EQUAL(kRuns, result.gaps.size());
          CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, result.lostOrDoubled);
          CPPUNIT_ASSERT(result.gaps[kRuns / 2] <= 2'000);
          CPPUNIT_ASSERT(result.gaps.back() <= 4'000);
          Section("a lease alone misses the bound",
                  [&] { CPPUNIT_ASSERT(result.baselineGaps[kRuns / 2] > 2'000); });
        });
      }
    }
  }

  void GapIsBoundedWithoutPlatform()
  {
    for (const PlatformState state : { PlatformState::Slow, PlatformState::Down }) {
      const FailoverResult result =
        EmulateFailover(Deployments().front(), kSeed, kRuns, PrimaryFault::Killed, state);
      CPPUNIT_ASSERT_EQUAL(kRuns, result.gaps.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, result.lostOrDoubled);
      CPPUNIT_ASSERT(result.gaps.back() <= 16'000);
    }
  }

  void UnsafeChoiceLosesWrites()
  {
    constexpr std::size_t kManyRuns = 200;
    const FailoverResult result = EmulateFailover(
      Deployments().front(), kSeed, kManyRuns, PrimaryFault::Killed, PlatformState::Up, true);
    CPPUNIT_ASSERT(result.lostOrDoubled > 0);
  }
};

/** Guards against reports that call a missed bound met. */
class MeasureReportTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MeasureReportTest);
  CPPUNIT_TEST(NamesMissedBounds);
  CPPUNIT_TEST_SUITE_END();

public:
  void NamesMissedBounds()
  {
    Measure measure;
    measure.name = "name";
    measure.figure = 2;
    measure.bound = 1;
    CPPUNIT_ASSERT(ToText({ measure }).find("NOT OK") != std::string::npos);
    CPPUNIT_ASSERT(ToJson({ measure }).find("\"ok\": false") != std::string::npos);
    CPPUNIT_ASSERT(ToSvg(measure).find("not met") != std::string::npos);
    measure.isLowerBound = true;
    CPPUNIT_ASSERT(ToText({ measure }).find("NOT OK") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadEmulationTest);
CPPUNIT_TEST_SUITE_REGISTRATION(FailoverEmulationTest);
CPPUNIT_TEST_SUITE_REGISTRATION(FairnessEmulationTest);
CPPUNIT_TEST_SUITE_REGISTRATION(QuotaEmulationTest);
CPPUNIT_TEST_SUITE_REGISTRATION(MeasureReportTest);

} // namespace mustardshift
