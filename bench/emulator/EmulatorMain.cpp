#include "emulator/ControlCostMeasures.h"
#include "emulator/Deployment.h"
#include "emulator/FailoverMeasures.h"
#include "emulator/FairnessMeasures.h"
#include "emulator/MeasureReport.h"
#include "emulator/QuotaMeasures.h"
#include "emulator/ReadMeasures.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

ABSL_FLAG(std::uint64_t, seed, 20261204, "seed of all random draws");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string, plot, "", "folder for one SVG chart a measure");
ABSL_FLAG(std::string, deployment, "", "kigali or aqaba; both when empty");
ABSL_FLAG(std::vector<std::string>,
          groups,
          std::vector<std::string>({ "reads", "failover", "fairness", "quota", "control" }),
          "groups of measures to run");

namespace {

using namespace mustardshift::bench;

using Group = std::vector<Measure> (*)(const Deployment&, std::uint64_t);

constexpr std::pair<const char*, Group> kGroups[] = {
  { "reads", MeasureReads }, { "failover", MeasureFailover },   { "fairness", MeasureFairness },
  { "quota", MeasureQuota }, { "control", MeasureControlCost },
};

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage("Measures the decisions of packages/core in virtual time.");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  const std::vector<std::string> wanted = absl::GetFlag(FLAGS_groups);
  const std::string only = absl::GetFlag(FLAGS_deployment);
  std::vector<Measure> measures;
  for (const Deployment& deployment : Deployments()) {
    if (!only.empty() && only != deployment.name) {
      continue;
    }
    for (const auto& [name, run] : kGroups) {
      if (std::find(wanted.begin(), wanted.end(), name) == wanted.end()) {
        continue;
      }
      const std::vector<Measure> group = run(deployment, absl::GetFlag(FLAGS_seed));
      if (!absl::GetFlag(FLAGS_json)) {
        std::cout << ToText(group) << std::flush;
      }
      measures.insert(measures.end(), group.begin(), group.end());
    }
  }
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << ToJson(measures);
  }
  if (const std::string folder = absl::GetFlag(FLAGS_plot); !folder.empty()) {
    std::filesystem::create_directories(folder);
    for (const Measure& measure : measures) {
      std::string name = measure.deployment + "-" + measure.name + ".svg";
      std::replace(name.begin(), name.end(), '/', '-');
      std::ofstream(std::filesystem::path(folder) / name) << ToSvg(measure);
    }
  }
  return 0;
}
