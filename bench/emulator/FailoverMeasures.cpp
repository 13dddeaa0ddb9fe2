#include "emulator/FailoverMeasures.h"

#include "emulator/Random.h"
#include "tests/FailoverModel.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace mustardshift::bench {

namespace {

constexpr Duration kSecond{ 1'000'000 };
constexpr Duration kFaultAt = 4 * kSecond;
constexpr Duration kWatchFor = 40 * kSecond;
constexpr Duration kOutage = 10 * kSecond;
constexpr Duration kSlowAnswer{ 700'000 };
constexpr Duration kBaselineLease = 10 * kSecond;
constexpr Duration kBaselinePoll = kSecond;
constexpr std::size_t kRuns = 60;
/** Targets: median and worst gap with the platform up, worst gap otherwise; in ms. */
constexpr double kMedianBound = 2'000;
constexpr double kWorstBound = 4'000;
constexpr double kSlowBound = 16'000;

constexpr std::pair<PrimaryFault, std::string_view> kFaults[] = {
  { PrimaryFault::Killed, "killed" },
  { PrimaryFault::Frozen, "frozen" },
  { PrimaryFault::CutOff, "cut-off" },
};
constexpr std::pair<PlatformState, std::string_view> kPlatforms[] = {
  { PlatformState::Up, "platform-up" },
  { PlatformState::Slow, "platform-slow" },
  { PlatformState::Down, "platform-down" },
};

double Milliseconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

/** A lease that is renewed every third of its length has to run out; then one VM that polls every
    second writes the table, and the others learn of it by polling. */
double BaselineGap(Random& aRandom, PlatformState aPlatform)
{
  const Duration rest = kBaselineLease - aRandom.Between(Duration(0), kBaselineLease / 3);
  const Duration polls =
    aRandom.Between(Duration(0), kBaselinePoll) + aRandom.Between(Duration(0), kBaselinePoll);
  switch (aPlatform) {
    case PlatformState::Up:
      return Milliseconds(rest + polls);
    case PlatformState::Slow:
      return Milliseconds(rest + polls + 2 * kSlowAnswer);
    case PlatformState::Down:
      return Milliseconds(std::max(Duration(0), rest - kOutage) + polls);
  }
  return 0;
}

} // namespace

FailoverResult EmulateFailover(const Deployment& aDeployment,
                               std::uint64_t aSeed,
                               std::size_t aRuns,
                               PrimaryFault aFault,
                               PlatformState aPlatform,
                               bool aIsUnsafe)
{
  FailoverResult result;
  Random random(aSeed);
  for (std::size_t run = 0; run < aRuns; ++run) {
    test::FailoverModelOptions options;
    options.seed = aSeed + run;
    options.messageFaultProbability = 0;
    options.shortestLatency = aDeployment.domainLatency / 10;
    options.longestLatency = aDeployment.domainLatency * 6 / 5;
    options.defect = aIsUnsafe ? test::Defect::IgnorePositions : test::Defect::None;
    test::FailoverModel model(options);
    model.RunUntil(kFaultAt + random.Between(Duration(0), kSecond / 2));
    const std::size_t platform = model.PlatformNode();
    if (aPlatform == PlatformState::Slow) {
      model.DelayPlatformAnswers(kSlowAnswer);
    } else if (aPlatform == PlatformState::Down) {
      model.SetIsolated(platform, true);
    }
    const std::size_t primary = model.ServerNode(model.PrimaryServer());
    const std::uint64_t term = model.RowTerm();
    model.MarkFaultTime();
    switch (aFault) {
      case PrimaryFault::Killed:
        model.Kill(primary);
        break;
      case PrimaryFault::Frozen:
        model.Pause(primary);
        break;
      case PrimaryFault::CutOff:
        model.SetIsolated(primary, true);
        break;
    }
    const Duration faultAt = model.Now();
    if (aPlatform == PlatformState::Down) {
      model.RunUntil(faultAt + kOutage);
      model.SetIsolated(platform, false);
      if (aFault == PrimaryFault::CutOff) {
        model.SetPartitioned(platform, primary, true);
      }
    }
    model.RunUntil(faultAt + kWatchFor);
    result.baselineGaps.push_back(BaselineGap(random, aPlatform));
    const std::optional<Duration> gap = model.AcknowledgementGap();
    const auto times = model.PromotionTimesSinceFault();
    result.lostOrDoubled += model.LostOrDuplicatedCount();
    if (!model.Violation().empty() || model.RowTerm() <= term || !gap) {
      ++result.failedRuns;
      if (result.firstFailure.empty()) {
        result.firstFailure =
          model.Violation().empty() ? "no acknowledged write in 40 s" : model.Violation();
      }
      continue;
    }
    const Duration waited = aPlatform == PlatformState::Down ? kOutage : Duration(0);
    result.gaps.push_back(Milliseconds(std::max(Duration(0), *gap - waited)));
    if (times) {
      result.detect += Milliseconds(times->detect);
      result.decide += Milliseconds(times->decide);
      result.fence += Milliseconds(times->fence);
      result.record += Milliseconds(times->record);
      result.promote += Milliseconds(times->promote);
      result.learn += Milliseconds(times->learn);
    }
  }
  std::sort(result.gaps.begin(), result.gaps.end());
  std::sort(result.baselineGaps.begin(), result.baselineGaps.end());
  return result;
}

std::vector<Measure> MeasureFailover(const Deployment& aDeployment, std::uint64_t aSeed)
{
  std::vector<Measure> measures;
  Measure lost;
  lost.name = "failover-lost-or-doubled";
  lost.deployment = aDeployment.name;
  lost.unit = "writes";
  lost.bound = 0;
  lost.baselineName = "any fenced server promoted";
  std::size_t failedRuns = 0;
  for (const auto& [platform, platformName] : kPlatforms) {
    for (const auto& [fault, faultName] : kFaults) {
      const FailoverResult result =
        EmulateFailover(aDeployment, aSeed, kRuns, fault, platform, false);
      lost.figure += static_cast<double>(result.lostOrDoubled);
      failedRuns += result.failedRuns;
      if (result.gaps.empty()) {
        continue;
      }
      const auto runs = static_cast<double>(result.gaps.size());
      Measure worst;
      worst.name = "failover-gap-worst/" + std::string(faultName) + "/" + std::string(platformName);
      worst.deployment = aDeployment.name;
      worst.unit = "ms";
      worst.figure = result.gaps.back();
      worst.baseline = result.baselineGaps.back();
      worst.bound = platform == PlatformState::Up ? kWorstBound : kSlowBound;
      worst.baselineName = "lease of 10 s";
      worst.details = { { "median", result.gaps[result.gaps.size() / 2] },
                        { "detect", result.detect / runs },
                        { "decide", result.decide / runs },
                        { "fence", result.fence / runs },
                        { "record", result.record / runs },
                        { "promote", result.promote / runs },
                        { "learn", result.learn / runs },
                        { "failed_runs", static_cast<double>(result.failedRuns) } };
      if (platform == PlatformState::Up) {
        Measure median = worst;
        median.name = "failover-gap-median/" + std::string(faultName);
        median.figure = result.gaps[result.gaps.size() / 2];
        median.baseline = result.baselineGaps[result.baselineGaps.size() / 2];
        median.bound = kMedianBound;
        median.details.clear();
        measures.push_back(std::move(median));
      }
      measures.push_back(std::move(worst));
    }
  }
  // Counts a run without a new primary like a lost write: its clients can't read theirs.
  lost.figure += static_cast<double>(failedRuns);
  const FailoverResult unsafe =
    EmulateFailover(aDeployment, aSeed, 4 * kRuns, PrimaryFault::Killed, PlatformState::Up, true);
  lost.baseline = static_cast<double>(unsafe.lostOrDoubled + unsafe.failedRuns);
  measures.push_back(std::move(lost));
  return measures;
}

} // namespace mustardshift::bench
