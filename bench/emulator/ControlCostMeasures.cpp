#include "emulator/ControlCostMeasures.h"

#include "emulator/ControlCost.h"

#include <array>
#include <string>
#include <utility>

namespace mustardshift::bench {

namespace {

/** Targets per node at 800 nodes and 870 databases. */
constexpr double kProcessorBound = 2.1;
constexpr double kMemoryBound = 128;
constexpr double kBytesBound = 2'048;

/** A cell of 10 nodes with 11 databases, and the links of each node to 4 others. The number of
    organisations is an estimate: as many per database as in today's deployments. */
constexpr ControlCostOptions kCell{ 10 + 4, 11, 30, 3'100 };
/** Without cells: every node knows all others and all databases. */
constexpr unsigned kFleet = 800;
constexpr unsigned kFleetDatabases = 870;

using Figure = double ControlCost::*;

struct Quantity
{
  const char* name;
  const char* unit;
  Figure figure;
  double bound;
};

constexpr std::array<Quantity, 3> kQuantities{ {
  { "control-processor", "% of a core", &ControlCost::processorPercent, kProcessorBound },
  { "control-memory", "MiB", &ControlCost::memoryMib, kMemoryBound },
  { "control-bytes-sent", "B/s", &ControlCost::bytesPerSecond, kBytesBound },
} };

} // namespace

std::vector<Measure> MeasureControlCost(const Deployment& aDeployment, std::uint64_t /*aSeed*/)
{
  const ControlCost cell = EmulateControl(kCell);
  const auto vary =
    [](unsigned aVms, unsigned aDatabases, unsigned aOrganisations, double aChanges) {
      return EmulateControl({ aVms, aDatabases, aOrganisations, aChanges });
    };
  constexpr unsigned kManyVms = 200;
  constexpr unsigned kManyDatabases = 110;
  constexpr unsigned kManyOrganisations = 300;
  constexpr double kManyChanges = 310'000;
  const ControlCost vms = vary(kManyVms, kCell.databases, kCell.organisations, kCell.changesPerDay);
  const ControlCost databases =
    vary(kCell.vms, kManyDatabases, kCell.organisations, kCell.changesPerDay);
  const ControlCost organisations =
    vary(kCell.vms, kCell.databases, kManyOrganisations, kCell.changesPerDay);
  const ControlCost changes = vary(kCell.vms, kCell.databases, kCell.organisations, kManyChanges);

  std::vector<Measure> measures;
  for (const Quantity& quantity : kQuantities) {
    const auto slope = [&](const ControlCost& aOther, double aDifference) {
      return (aOther.*quantity.figure - cell.*quantity.figure) / aDifference;
    };
    const double perVm = slope(vms, kManyVms - kCell.vms);
    const double perDatabase = slope(databases, kManyDatabases - kCell.databases);
    Measure measure;
    measure.name = quantity.name;
    measure.deployment = aDeployment.name;
    measure.unit = quantity.unit;
    measure.figure = cell.*quantity.figure;
    measure.bound = quantity.bound;
    measure.baselineName = "no cells, from the slopes";
    measure.baseline = cell.*quantity.figure + perVm * (kFleet - kCell.vms) +
                       perDatabase * (kFleetDatabases - kCell.databases);
    measure.details = {
      { "per_vm", perVm },
      { "per_database", perDatabase },
      { "per_organisation", slope(organisations, kManyOrganisations - kCell.organisations) },
      { "per_change_per_day", slope(changes, kManyChanges - kCell.changesPerDay) },
      { "at_200_vms", vms.*quantity.figure },
      { "messages_per_s", cell.messagesPerSecond },
    };
    measures.push_back(std::move(measure));
  }
  return measures;
}

} // namespace mustardshift::bench
