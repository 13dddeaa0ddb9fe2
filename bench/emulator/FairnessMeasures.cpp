#include "emulator/FairnessMeasures.h"

#include "emulator/FairnessEmulation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mustardshift::bench {

namespace {

constexpr double kShareBound = 95;
constexpr double kLatencyBound = 2;

struct Worst
{
  double share = 100;
  double latencyRatio = 0;
  double latency = 0;
  double latencyAlone = 0;
};

/** The worst of all organisations but the first, which floods. */
Worst FindWorst(std::vector<OrganisationService> aService, std::vector<double>& aAlone)
{
  Worst worst;
  for (std::size_t index = 1; index < aService.size(); ++index) {
    worst.share = std::min(worst.share, 100 * aService[index].Share());
    const double latency = aService[index].latencies.Milliseconds(0.99);
    if (latency / aAlone[index] > worst.latencyRatio) {
      worst.latencyRatio = latency / aAlone[index];
      worst.latency = latency;
      worst.latencyAlone = aAlone[index];
    }
  }
  return worst;
}

} // namespace

std::vector<Measure> MeasureFairness(const Deployment& aDeployment, std::uint64_t aSeed)
{
  FairnessOptions options;
  options.seed = aSeed;
  options.length = std::chrono::seconds(100);
  std::vector<double> alone;
  for (std::size_t index = 0; index < aDeployment.organisations.size(); ++index) {
    FairnessOptions single = options;
    single.only = index;
    single.flood = 1;
    alone.push_back(EmulateFairness(aDeployment, single)[index].latencies.Milliseconds(0.99));
  }
  const auto run = [&](const FairnessOptions& aOptions) {
    return FindWorst(EmulateFairness(aDeployment, aOptions), alone);
  };
  FairnessOptions plainOptions = options;
  plainOptions.isFirstComeFirstServed = true;
  const Worst plain = run(plainOptions);
  FairnessOptions calmOptions = options;
  calmOptions.flood = 1;
  const Worst calm = run(calmOptions);

  std::vector<Measure> measures;
  for (const bool hasRateLimit : { true, false }) {
    options.hasRateLimit = hasRateLimit;
    options.inFlightPerVm = 0;
    const Worst fair = run(options);
    options.inFlightPerVm = 2;
    const Worst two = run(options);
    const std::string suffix = hasRateLimit ? "" : "/without-rate-limit";

    Measure share;
    share.name = "worst-organisation-share" + suffix;
    share.deployment = aDeployment.name;
    share.unit = "%";
    share.figure = fair.share;
    share.baseline = plain.share;
    share.bound = kShareBound;
    share.isLowerBound = true;
    share.baselineName = "first come, first served";
    share.details = { { "share_with_2_in_flight_per_vm", two.share } };
    measures.push_back(std::move(share));

    Measure latency;
    latency.name = "worst-organisation-p99" + suffix;
    latency.deployment = aDeployment.name;
    latency.unit = "times alone";
    latency.figure = fair.latencyRatio;
    latency.baseline = plain.latencyRatio;
    latency.bound = kLatencyBound;
    latency.baselineName = "first come, first served";
    latency.details = { { "p99_ms", fair.latency },
                        { "p99_alone_ms", fair.latencyAlone },
                        { "ratio_without_flood", calm.latencyRatio },
                        { "ratio_with_2_in_flight_per_vm", two.latencyRatio } };
    measures.push_back(std::move(latency));
  }
  return measures;
}

} // namespace mustardshift::bench
