#include "FailoverModel.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace mustardshift {

using namespace test;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr Duration kSecond{ 1'000'000 };
constexpr Duration kRecoveryBound = 16 * kSecond;

/** Result of one simulated history. */
struct Result
{
  /** The first violated property; empty if there is none. */
  std::string violation;
  std::size_t acknowledged = 0;
  std::uint64_t promotions = 0;
  /** Time from the repair of all faults to the next acknowledged write. */
  Duration recovery{ 0 };
};

/** Simulates ten seconds of random faults, then repairs them, so that a majority of the servers and
    the platform work again, and waits until kRecoveryBound has passed. */
Result RunHistory(FailoverModelOptions aOptions)
{
  std::mt19937_64 random(aOptions.seed * 31 + 7);
  aOptions.actionFaultProbability = random() % 2 == 0 ? 0.0 : 0.04;
  aOptions.messageFaultProbability = random() % 2 == 0 ? 0.01 : 0.05;
  FailoverModel model(aOptions);
  model.RunUntil(3 * kSecond);
  while (model.Now() < 13 * kSecond) {
    model.InjectRandomFault();
    model.RunUntil(model.Now() + Duration{ static_cast<Duration::rep>(random() % 3'000'000) });
  }
  model.RepairAllFaults(random() % 2 == 0);
  const Duration repairedAt = model.Now();
  model.RunUntil(repairedAt + kRecoveryBound);
  const auto firstAcknowledgedAt = model.AcknowledgedAfter(repairedAt);
  Result result{ model.Violation(), model.AcknowledgedCount(), model.RowTerm(), {} };
  if (result.violation.empty() && !firstAcknowledgedAt) {
    result.violation = "no acknowledged write within 16 s, seed " + std::to_string(aOptions.seed);
  }
  result.recovery = firstAcknowledgedAt.value_or(repairedAt + kRecoveryBound) - repairedAt;
  return result;
}

/** Returns whether a history in which the defect violates the property is found. */
bool IsDetected(Defect aDefect, const std::string& aProperty, bool aServersRefuseOldTerms = true)
{
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    FailoverModelOptions options;
    options.seed = kSeed + seed;
    options.defect = aDefect;
    options.serversRefuseOldTerms = aServersRefuseOldTerms;
    if (RunHistory(options).violation.starts_with(aProperty)) {
      return true;
    }
  }
  return false;
}

void Print(const std::string& aName, std::vector<Duration> aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  std::cout << "  " << aName << " median " << aTimes[aTimes.size() / 2].count() / 1000
            << " ms, worst " << aTimes.back().count() / 1000 << " ms\n";
}

} // namespace

/** Guards against two primaries in one term, acknowledged writes that a promotion loses, and groups
    that stay without a primary. Simulates VMs and servers with random faults at random steps. */
class FailoverHistoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FailoverHistoryTest);
  CPPUNIT_TEST(KeepsEveryPropertyUnderRandomFaults);
  CPPUNIT_TEST(KeepsEveryPropertyWithServersThatServeOldTerms);
  CPPUNIT_TEST(KeepsEveryPropertyWithManyVms);
  CPPUNIT_TEST(ReplacesALostPrimaryInTime);
  CPPUNIT_TEST(KeepsThePrimaryWhenOneVmIsPartitioned);
  CPPUNIT_TEST(CompletesAPromotionThatADeadVmStarted);
  CPPUNIT_TEST(WaitsForThePlatform);
  CPPUNIT_TEST(ChecksDetectInjectedDefects);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeepsEveryPropertyUnderRandomFaults() { this->RunHistories(1200, 9, true); }
  void KeepsEveryPropertyWithServersThatServeOldTerms() { this->RunHistories(600, 9, false); }

  void KeepsEveryPropertyWithManyVms()
  {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      FailoverModelOptions options;
      options.seed = kSeed + seed;
      options.vms = 200;
      CPPUNIT_ASSERT_EQUAL(std::string(), RunHistory(options).violation);
    }
  }

  void ReplacesALostPrimaryInTime()
  {
    for (const std::size_t vms : { std::size_t{ 6 }, std::size_t{ 9 } }) {
      std::vector<PromotionTimes> times;
      std::uint64_t attempts = 0;
      for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        FailoverModelOptions options;
        options.seed = kSeed + seed;
        options.vms = vms;
        FailoverModel model(options);
        model.RunUntil(5 * kSecond + Duration{ static_cast<Duration::rep>(seed * 7919 % 200'000) });
        const std::size_t primary = model.ServerNode(model.PrimaryServer());
        const std::uint64_t attemptsBefore = model.RowAttempts();
        model.MarkFaultTime();
        if (seed % 3 == 0) {
          model.Kill(primary);
        } else if (seed % 3 == 1) {
          model.Pause(primary);
        } else {
          model.SetIsolated(primary, true);
        }
        model.RunUntil(model.Now() + kRecoveryBound);
        CPPUNIT_ASSERT_EQUAL(std::string(), model.Violation());
        const auto promotion = model.PromotionTimesSinceFault();
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(options.seed), promotion.has_value());
        times.push_back(*promotion);
        attempts += model.RowAttempts() - attemptsBefore;
      }
      std::cout << "promotions with " << vms << " VMs: " << times.size() << ", compare-and-sets "
                << attempts << "\n";
      const auto print = [&](const std::string& aName, Duration PromotionTimes::*aMember) {
        std::vector<Duration> values;
        values.reserve(times.size());
        for (const PromotionTimes& promotion : times) {
          values.push_back(promotion.*aMember);
        }
        Print(aName, values);
      };
      print("detect", &PromotionTimes::detect);
      print("decide", &PromotionTimes::decide);
      print("fence", &PromotionTimes::fence);
      print("record", &PromotionTimes::record);
      print("promote", &PromotionTimes::promote);
      print("learn", &PromotionTimes::learn);
      print("total", &PromotionTimes::total);
    }
  }

  void KeepsThePrimaryWhenOneVmIsPartitioned()
  {
    const auto runWith = [](Defect aDefect, std::uint64_t aSeed) {
      FailoverModelOptions options;
      options.seed = kSeed + aSeed;
      options.defect = aDefect;
      options.messageFaultProbability = 0;
      FailoverModel model(options);
      model.RunUntil(3 * kSecond);
      const std::uint64_t term = model.RowTerm();
      model.SetPartitioned(aSeed % options.vms, model.ServerNode(model.PrimaryServer()), true);
      model.RunUntil(15 * kSecond);
      return model.RowTerm() == term && model.Violation().empty();
    };
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      CPPUNIT_ASSERT(runWith(Defect::None, seed));
    }
    Section("the check detects a VM that does not ask its peers for agreement",
            [&] { CPPUNIT_ASSERT(!runWith(Defect::SkipPeerAgreement, 1)); });
  }

  void CompletesAPromotionThatADeadVmStarted()
  {
    // The primary keeps its role, but one replica has accepted the next term and the other one is
    // down, so no write can be acknowledged until a VM records a primary of the next term.
    const auto runWith = [](Defect aDefect, std::uint64_t aSeed) {
      FailoverModelOptions options;
      options.seed = kSeed + aSeed;
      options.defect = aDefect;
      FailoverModel model(options);
      model.RunUntil(3 * kSecond);
      const std::size_t primary = model.PrimaryServer();
      model.Kill(model.ServerNode((primary + 1) % FailoverModel::kServers));
      model.FenceOneServer((primary + 2) % FailoverModel::kServers);
      model.RunUntil(model.Now() + kSecond / 10);
      const Duration fencedAt = model.Now();
      model.RunUntil(fencedAt + kRecoveryBound);
      CPPUNIT_ASSERT_EQUAL(std::string(), model.Violation());
      return model.AcknowledgedAfter(fencedAt).has_value();
    };
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      CPPUNIT_ASSERT(runWith(Defect::None, seed));
    }
    Section("the check detects a VM that ignores fenced groups",
            [&] { CPPUNIT_ASSERT(!runWith(Defect::IgnoreFencedGroup, 1)); });
  }

  void WaitsForThePlatform()
  {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      FailoverModelOptions options;
      options.seed = kSeed + seed;
      FailoverModel model(options);
      model.RunUntil(3 * kSecond);
      const std::uint64_t term = model.RowTerm();
      model.SetIsolated(model.PlatformNode(), true);
      model.RunUntil(10 * kSecond);
      Section("writes are acknowledged during an outage of the platform",
              [&] { CPPUNIT_ASSERT(model.AcknowledgedAfter(9 * kSecond).has_value()); });
      model.Kill(model.ServerNode(model.PrimaryServer()));
      model.RunUntil(60 * kSecond);
      Section("no primary is recorded without the platform",
              [&] { CPPUNIT_ASSERT_EQUAL(term, model.RowTerm()); });
      model.SetIsolated(model.PlatformNode(), false);
      model.RunUntil(60 * kSecond + kRecoveryBound);
      Section("the group gets a primary after the platform answers again", [&] {
        CPPUNIT_ASSERT(model.AcknowledgedAfter(60 * kSecond).has_value());
        CPPUNIT_ASSERT_EQUAL(std::string(), model.Violation());
      });
    }
  }

  void ChecksDetectInjectedDefects()
  {
    CPPUNIT_ASSERT(IsDetected(Defect::AcknowledgeWithoutTerm, "acknowledged without a majority"));
    CPPUNIT_ASSERT(IsDetected(Defect::AcknowledgeWithoutTerm, "acknowledged", false));
    CPPUNIT_ASSERT(IsDetected(Defect::IgnorePositions, "a new primary lacks"));
    CPPUNIT_ASSERT(IsDetected(Defect::TreatConflictAsSuccess, "two primaries"));
    CPPUNIT_ASSERT(IsDetected(Defect::SkipPeerAgreement, "fenced without a suspicion"));
  }

private:
  /** Simulates aCount histories. The environment variable FAILOVER_SEED selects a single history,
      and FAILOVER_HISTORIES overrides the number of histories. */
  void RunHistories(std::uint64_t aCount, std::size_t aMaxVms, bool aServersRefuseOldTerms)
  {
    const char* onlySeed = std::getenv("FAILOVER_SEED");   // NOLINT(concurrency-mt-unsafe)
    const char* count = std::getenv("FAILOVER_HISTORIES"); // NOLINT(concurrency-mt-unsafe)
    const std::uint64_t first = onlySeed != nullptr ? std::stoull(onlySeed) : kSeed;
    const std::uint64_t histories =
      onlySeed != nullptr ? 1 : (count != nullptr ? std::stoull(count) : aCount);
    std::vector<Result> results(histories);
    std::atomic<std::uint64_t> next = 0;
    const auto work = [&] {
      for (std::uint64_t i = next++; i < histories; i = next++) {
        FailoverModelOptions options;
        options.seed = first + i;
        options.vms = 3 + options.seed % (aMaxVms - 2);
        options.serversRefuseOldTerms = aServersRefuseOldTerms;
        results[i] = RunHistory(options);
      }
    };
    constexpr std::size_t kThreads = 4;
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (std::size_t thread = 0; thread < kThreads; ++thread) {
      threads.emplace_back(work);
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    std::uint64_t acknowledged = 0;
    std::uint64_t promotions = 0;
    std::vector<Duration> recoveries;
    std::vector<std::string> violations;
    for (const Result& result : results) {
      if (!result.violation.empty()) {
        violations.push_back(result.violation);
      }
      acknowledged += result.acknowledged;
      promotions += result.promotions;
      recoveries.push_back(result.recovery);
    }
    std::cout << histories << " histories, " << acknowledged << " acknowledged writes, "
              << promotions << " promotions, " << violations.size() << " violations\n";
    Print("first acknowledged write after the faults:", recoveries);
    const auto slowest = std::max_element(recoveries.begin(), recoveries.end());
    std::cout << "  slowest seed "
              << first + static_cast<std::uint64_t>(slowest - recoveries.begin()) << "\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(violations.size(), 10); ++i) {
      std::cout << "  " << violations[i] << "\n";
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, violations.size());
    CPPUNIT_ASSERT(acknowledged > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverHistoryTest);

} // namespace mustardshift
