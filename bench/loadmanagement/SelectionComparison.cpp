#include "loadmanagement/SelectionComparison.h"

#include "SelectionSimulation.h"

#include <cstddef>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::bench {

using proxy::SelectionSimulation;
using std::chrono::seconds;

namespace {

constexpr std::size_t kLengthSeconds = 40;
/** Faults begin here, and the figures count from kCountedFrom. */
constexpr seconds kFaultsFrom(10);
constexpr std::size_t kCountedFrom = 12;

using Settings = SelectionSimulation::Settings;
using Fault = std::function<void(SelectionSimulation&, bool)>;

Settings WithDemand(std::vector<double> aDemand, double aWritePart = 0.15)
{
  Settings settings;
  settings.demand = std::move(aDemand);
  settings.domainCount = settings.demand.size();
  settings.writePart = aWritePart;
  return settings;
}

Settings WithFault(const Fault& aFault)
{
  Settings settings;
  settings.onTick = [aFault](Instant aNow, SelectionSimulation& aSimulation) {
    aFault(aSimulation, aNow >= SelectionSimulation::kBegin + kFaultsFrom);
  };
  return settings;
}

std::vector<std::pair<std::string, Settings>> Cases()
{
  return {
    { "even, 0.15 of the capacity", WithDemand({ 0.15, 0.15, 0.15 }) },
    { "even, 0.5", WithDemand({ 0.5, 0.5, 0.5 }) },
    { "even, 0.8", WithDemand({ 0.8, 0.8, 0.8 }) },
    { "even, 0.5, a quarter writes", WithDemand({ 0.5, 0.5, 0.5 }, 0.25) },
    { "hot domain (0.4, 1.4, 0.4)", WithDemand({ 0.4, 1.4, 0.4 }) },
    { "hot domain of the primary", WithDemand({ 1.4, 0.4, 0.4 }) },
    { "hot domain (0.4, 2, 0.4)", WithDemand({ 0.4, 2, 0.4 }) },
    { "fourth domain without servers", WithDemand({ 0.5, 0.5, 0.5, 0.5 }) },
    { "failing server, ejected", WithFault([](SelectionSimulation& aSimulation, bool aIsOn) {
        aSimulation.isEjected[1] = aIsOn;
      }) },
    { "server five times slower", WithFault([](SelectionSimulation& aSimulation, bool aIsOn) {
        aSimulation.servers[1]->slowness = aIsOn ? 5 : 1;
      }) },
    { "domain cut off", WithFault([](SelectionSimulation& aSimulation, bool aIsOn) {
        aSimulation.isCutOff[1] = aIsOn;
      }) },
    { "server out of service", WithFault([](SelectionSimulation& aSimulation, bool aIsOn) {
        aSimulation.isOut[1] = aIsOn;
      }) },
  };
}

} // namespace

void PrintSelectionComparison(std::uint32_t aSeed)
{
  const std::vector<std::pair<std::string, SelectionSimulation::Policy>> policies{
    { "threshold", proxy::HomeWithThreshold() },
    { "by load", proxy::SharesByLoad() },
    { "selector", {} },
  };
  for (const auto& [name, settings] : Cases()) {
    for (const auto& [policyName, policy] : policies) {
      Settings chosen = settings;
      chosen.policy = policy;
      chosen.seed = aSeed;
      chosen.length = seconds(kLengthSeconds);
      SelectionSimulation simulation(chosen);
      simulation.Run();
      const auto sum = simulation.Sum(kCountedFrom, kLengthSeconds);
      std::printf("%-30s %-9s busiest/mean %.2f crossed %.2f refused %.4f wait p99 %5.1f ms "
                  "largest swing %.2f\n",
                  name.c_str(),
                  policyName.c_str(),
                  sum.BusiestToMean(),
                  sum.crossed / sum.count,
                  sum.refused / sum.count,
                  simulation.StartPercentile(0.99, kCountedFrom, kLengthSeconds),
                  simulation.LargestSwing(kCountedFrom, kLengthSeconds));
    }
  }
}

} // namespace mustardshift::bench
