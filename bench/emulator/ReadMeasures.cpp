#include "emulator/ReadMeasures.h"

#include "emulator/ReadEmulation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mustardshift::bench {

namespace {

constexpr double kNormalBound = 95;
constexpr double kFarBound = 85;
constexpr Duration kFarLag = std::chrono::minutes(3);

} // namespace

std::vector<Measure> MeasureReads(const Deployment& aDeployment, std::uint64_t aSeed)
{
  std::vector<Measure> measures;
  Measure stale;
  stale.name = "stale-reads";
  stale.deployment = aDeployment.name;
  stale.unit = "reads";
  stale.bound = 0;
  stale.baselineName = "primary for 1 s after a write";
  for (const bool isFar : { false, true }) {
    Measure share;
    share.name = isFar ? "replica-reads/far-replica" : "replica-reads/normal-lag";
    share.deployment = aDeployment.name;
    share.unit = "%";
    share.bound = isFar ? kFarBound : kNormalBound;
    share.isLowerBound = true;
    share.baselineName = "primary for 1 s after a write";
    share.figure = share.baseline = 100;
    for (const unsigned vms : { 6U, 9U }) {
      ReadOptions options;
      options.seed = aSeed + vms;
      options.vms = vms;
      if (isFar) {
        options.lags[1] = kFarLag;
      }
      ReadResult router = EmulateReads(aDeployment, options);
      options.hasLagEstimate = true;
      ReadResult estimated = EmulateReads(aDeployment, options);
      options.policy = ReadPolicy::PrimaryAfterWrite;
      ReadResult plain = EmulateReads(aDeployment, options);
      share.figure = std::min(share.figure, 100 * router.ReplicaShare());
      share.baseline = std::min(share.baseline, 100 * plain.ReplicaShare());
      stale.figure += static_cast<double>(router.staleReads);
      stale.baseline += static_cast<double>(plain.staleReads);
      const std::string suffix = "_" + std::to_string(vms) + "vms";
      share.details.emplace_back("p50_ms" + suffix, router.latencies.Milliseconds(0.5));
      share.details.emplace_back("p99_ms" + suffix, router.latencies.Milliseconds(0.99));
      share.details.emplace_back("waits" + suffix, static_cast<double>(router.waits));
      share.details.emplace_back("failed_waits" + suffix, static_cast<double>(router.failedWaits));
      share.details.emplace_back("share_with_lag_estimate" + suffix,
                                 100 * estimated.ReplicaShare());
      share.details.emplace_back("p99_ms_with_lag_estimate" + suffix,
                                 estimated.latencies.Milliseconds(0.99));
      share.details.emplace_back("baseline_p99_ms" + suffix, plain.latencies.Milliseconds(0.99));
    }
    measures.push_back(std::move(share));
  }
  measures.push_back(std::move(stale));
  return measures;
}

} // namespace mustardshift::bench
