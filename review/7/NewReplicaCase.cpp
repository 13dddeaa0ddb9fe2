#include "../6/standins/Deployment.h"
#include "../6/standins/Writer.h"

#include <iostream>
#include <memory>
#include <string>
#include <vector>

/** Most of the machines lose the way to a primary, and a replica is promoted. Meanwhile the release
    of a replica starts a new server. Checks that the log of the promoted server holds each commit
    that a client got acknowledged before. */

namespace {

using namespace review;

constexpr std::size_t kMachines = 9;
/** Machines that lose the way to the primary: a share of 0.56; primary_cut allows 0.65. */
constexpr std::size_t kCutMachines = 5;
constexpr Milliseconds kCut(5000);
constexpr std::size_t kClients = 12;
/** When the new server starts, after the beginning of the cut. */
constexpr Milliseconds kNewServer(1800);

} // namespace

int main(int aCount, char** aArguments)
{
  Loop loop;
  Record record(loop, aCount > 1 ? aArguments[1] : "record.txt");
  Deployment::Settings settings;
  settings.daemons = kMachines;
  settings.database.service = "huvo11a";
  settings.database.syncReplicas = 1;
  // The figures of aqaba-pedalos.
  settings.database.slots = 2;
  settings.database.workTime = Milliseconds(3);
  settings.database.connectTime = Milliseconds(27);
  settings.database.promoteTime = Milliseconds(1000);
  settings.configuration = MakeConfiguration(1);
  Deployment deployment(loop, record, settings);
  Database& service = deployment.Service();
  Server& primary = service.Add("i-aa", "kigali-a", "127.0.72.1");
  service.Add("i-bb", "kigali-b", "127.0.72.2");
  service.Add("i-cc", "kigali-c", "127.0.72.3");
  const bool hasTrouble = HasTrouble();
  std::size_t promotions = 0;
  std::size_t missing = 0;
  std::vector<std::shared_ptr<Writer>> writers;

  deployment.Store().onPromote = [&](const PromoteCall& aCall, const Platform::Answer& aAnswer) {
    const bool passes = deployment.Store().PassesFence(aCall);
    record.Write("order promote " + aCall.server + " by " + aCall.holder + " fence " +
                 std::to_string(aCall.fence) + (passes ? "" : ": refused"));
    if (passes) {
      service.Promote(aCall.server);
    }
    aAnswer(passes ? 200 : 409, passes ? "{}" : "");
  };
  service.onPromoted = [&](const Server& aServer) {
    ++promotions;
    missing += CountMissing(record, writers, aServer.Log());
  };

  if (!deployment.Start()) {
    return 2;
  }
  std::vector<const Daemon*> others;
  for (std::size_t index = kCutMachines; index < kMachines; ++index) {
    others.push_back(&deployment.At(index));
  }
  for (std::size_t number = 0; number < kClients; ++number) {
    writers.push_back(std::make_shared<Writer>(loop, record, others, number));
    writers.back()->Connect();
  }
  loop.RunFor(Milliseconds(5000));
  if (hasTrouble) {
    primary.SetCut([&](unsigned short aPort) {
      for (std::size_t index = 0; index < kCutMachines; ++index) {
        if (deployment.At(index).OwnsPort(aPort)) {
          return true;
        }
      }
      return false;
    });
    loop.After(kCut, [&] { primary.SetCut(nullptr); });
  }
  loop.RunFor(kNewServer);
  record.Write("the release of i-cc starts its successor i-dd");
  service.Add("i-dd", "kigali-c", "127.0.72.4");
  loop.RunFor(Milliseconds(8000));
  std::size_t acknowledged = 0;
  for (const auto& writer : writers) {
    writer->Stop();
    acknowledged += writer->Acknowledgements().size();
  }
  loop.RunFor(Milliseconds(1000));
  const std::string result = std::to_string(acknowledged) + " writes acknowledged, " +
                             std::to_string(promotions) + " promotions, " +
                             std::to_string(missing) + " acknowledged writes lost by them";
  record.Write(result);
  std::cout << result << std::endl;
  if (acknowledged == 0 || (hasTrouble && promotions == 0)) {
    return 2;
  }
  return missing == 0 ? 0 : 1;
}
