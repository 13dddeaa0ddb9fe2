#include "emulator/QuotaMeasures.h"

#include "emulator/QuotaEmulation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mustardshift::bench {

namespace {

constexpr double kSteadyBound = 0.1;
constexpr double kReplacementBound = 1.0;
/** A tenth of the 500 writes per second that the platform's table sustains. */
constexpr double kTableWriteBound = 50;

struct Case
{
  std::string name;
  CallerPlacement placement;
  VmChange change;
  bool isPlatformDown;
  Duration length;
};

} // namespace

std::vector<Measure> MeasureQuota(const Deployment& aDeployment, std::uint64_t aSeed)
{
  using std::chrono::seconds;
  const std::vector<Case> cases{
    { "callers-on-all-vms", CallerPlacement::AllVms, VmChange::None, false, seconds(120) },
    { "callers-on-one-vm", CallerPlacement::OneVm, VmChange::None, false, seconds(120) },
    { "callers-move", CallerPlacement::Moving, VmChange::None, false, seconds(120) },
    { "platform-down", CallerPlacement::AllVms, VmChange::None, true, seconds(300) },
    { "vms-replaced", CallerPlacement::AllVms, VmChange::Replaced, false, seconds(240) },
    { "vms-restarted", CallerPlacement::AllVms, VmChange::Restarted, false, seconds(240) },
    { "vm-lost", CallerPlacement::AllVms, VmChange::Lost, false, seconds(700) },
  };
  std::vector<Measure> measures;
  double worstExcess = 0;
  double baselineExcess = 0;
  for (const Case& one : cases) {
    Measure measure;
    measure.name = "refused-within-rate/" + one.name;
    measure.deployment = aDeployment.name;
    measure.unit = "%";
    measure.bound = one.change == VmChange::None ? kSteadyBound : kReplacementBound;
    measure.baselineName = "fixed shares per VM";
    for (const unsigned vms : { 6U, 9U }) {
      QuotaOptions options;
      options.seed = aSeed + vms;
      options.vms = vms;
      options.placement = one.placement;
      options.change = one.change;
      options.isPlatformDown = one.isPlatformDown;
      options.length = one.length;
      const QuotaResult result = EmulateQuota(aDeployment, options);
      const std::string suffix = "_" + std::to_string(vms) + "vms";
      measure.figure = std::max(measure.figure, 100 * result.RefusedShare());
      measure.baseline = std::max(measure.baseline, 100 * result.FixedShare());
      measure.details.emplace_back("refused" + suffix, 100 * result.RefusedShare());
      measure.details.emplace_back("worst_organisation" + suffix, 100 * result.worstShare);
      measure.details.emplace_back("loan_messages_per_s" + suffix,
                                   static_cast<double>(result.loanMessages) / result.seconds);
      worstExcess = std::max(worstExcess, result.worstExcess);
    }
    measures.push_back(std::move(measure));
  }

  // Twice the rate is asked for, so that every token that is there is taken.
  for (const VmChange change : { VmChange::None, VmChange::Replaced, VmChange::Restarted }) {
    QuotaOptions options;
    options.seed = aSeed;
    options.vms = 9;
    options.change = change;
    options.load = 2;
    worstExcess = std::max(worstExcess, EmulateQuota(aDeployment, options).worstExcess);
    options.hasWholeRatePerVm = true;
    baselineExcess = std::max(baselineExcess, EmulateQuota(aDeployment, options).worstExcess);
  }
  Measure excess;
  excess.name = "excess-over-rate-and-burst";
  excess.deployment = aDeployment.name;
  excess.unit = "requests";
  excess.figure = worstExcess;
  excess.baseline = baselineExcess;
  excess.bound = 1e-3;
  excess.baselineName = "whole rate on each VM";
  measures.push_back(std::move(excess));

  Measure writes;
  writes.name = "table-writes";
  writes.deployment = aDeployment.name;
  writes.unit = "1/s";
  writes.bound = kTableWriteBound;
  writes.baselineName = "a write per request";
  Deployment half = aDeployment;
  half.organisations.resize(aDeployment.organisations.size() / 2);
  const auto calls = [&](const Deployment& aOne, unsigned aVms) {
    QuotaOptions options;
    options.seed = aSeed;
    options.vms = aVms;
    options.length = seconds(600);
    options.load = 0.2;
    return EmulateQuota(aOne, options);
  };
  const QuotaResult six = calls(aDeployment, 6);
  const QuotaResult nine = calls(aDeployment, 9);
  const QuotaResult fewer = calls(half, 9);
  const auto perSecond = [](std::uint64_t aCount, const QuotaResult& aResult) {
    return static_cast<double>(aCount) / aResult.seconds;
  };
  const double removed =
    static_cast<double>(aDeployment.organisations.size() - half.organisations.size());
  writes.figure = perSecond(nine.tableWrites, nine);
  writes.baseline = aDeployment.TotalRate();
  writes.details = {
    { "writes_6vms", perSecond(six.tableWrites, six) },
    { "writes_9vms", perSecond(nine.tableWrites, nine) },
    { "reads_6vms", perSecond(six.tableReads, six) },
    { "reads_9vms", perSecond(nine.tableReads, nine) },
    { "writes_per_vm", (perSecond(nine.tableWrites, nine) - perSecond(six.tableWrites, six)) / 3 },
    { "reads_per_vm", (perSecond(nine.tableReads, nine) - perSecond(six.tableReads, six)) / 3 },
    { "writes_per_organisation",
      (perSecond(nine.tableWrites, nine) - perSecond(fewer.tableWrites, fewer)) / removed },
    { "reads_per_organisation",
      (perSecond(nine.tableReads, nine) - perSecond(fewer.tableReads, fewer)) / removed },
  };
  measures.push_back(std::move(writes));
  return measures;
}

} // namespace mustardshift::bench
