#include "standins/Deployment.h"
#include "standins/Writer.h"

#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/** A primary is silent for a moment, the order to promote a replica gets no answer and is carried
    out seconds later, when the primary serves again. Checks that the log of the promoted server
    holds each commit that a client got acknowledged before. */

namespace {

using namespace review;

constexpr std::size_t kClients = 12;
/** How long the primary is silent; srv_crash allows 7 s. */
constexpr Milliseconds kDark(2000);
/** How late the order to promote is carried out; applied_late allows 2 to 12 s. */
constexpr Milliseconds kLatePromote(3100);
/** How late the RESUME of one replica is carried out. */
constexpr Milliseconds kLateResume(4000);

} // namespace

int main(int aCount, char** aArguments)
{
  Loop loop;
  Record record(loop, aCount > 1 ? aArguments[1] : "record.txt");
  Deployment::Settings settings;
  settings.database.service = "huvo11a";
  settings.database.syncReplicas = 1;
  settings.configuration = MakeConfiguration(1);
  Deployment deployment(loop, record, settings);
  Database& service = deployment.Service();
  Server& primary = service.Add("i-aa", "kigali-a", "127.0.72.1");
  Server& first = service.Add("i-bb", "kigali-b", "127.0.72.2");
  service.Add("i-cc", "kigali-c", "127.0.72.3");
  const bool hasTrouble = HasTrouble();
  bool isFirstOrder = true;
  bool isFirstResume = true;
  std::size_t promotions = 0;
  std::size_t missing = 0;
  std::vector<std::shared_ptr<Writer>> writers;

  deployment.Store().onPromote = [&](const PromoteCall& aCall, const Platform::Answer& aAnswer) {
    record.Write("order promote " + aCall.server + " by " + aCall.holder + " fence " +
                 std::to_string(aCall.fence));
    if (hasTrouble && std::exchange(isFirstOrder, false)) {
      record.Write("the order gets no answer");
      // The answer is kept, so that the connection stays open and silent.
      loop.After(kLatePromote, [&, aCall, aAnswer] {
        const bool passes = deployment.Store().PassesFence(aCall);
        record.Write(std::string("the late order is ") +
                     (passes ? "carried out" : "refused: fence"));
        if (passes) {
          service.Promote(aCall.server);
        }
      });
      return;
    }
    const bool passes = deployment.Store().PassesFence(aCall);
    if (passes) {
      service.Promote(aCall.server);
    }
    aAnswer(passes ? 200 : 409, passes ? "{}" : "");
  };
  first.lateOrder = [&](const std::string& aOrder) -> std::optional<Milliseconds> {
    if (hasTrouble && !isFirstOrder && aOrder == "RESUME" && std::exchange(isFirstResume, false)) {
      return kLateResume;
    }
    return std::nullopt;
  };
  service.onPromoted = [&](const Server& aServer) {
    ++promotions;
    missing += CountMissing(record, writers, aServer.Log());
  };

  if (!deployment.Start()) {
    return 2;
  }
  std::vector<const Daemon*> machines;
  for (const auto& daemon : deployment.Daemons()) {
    machines.push_back(daemon.get());
  }
  for (std::size_t number = 0; number < kClients; ++number) {
    writers.push_back(std::make_shared<Writer>(loop, record, machines, number));
    writers.back()->Connect();
  }
  loop.RunFor(Milliseconds(5000));
  if (hasTrouble) {
    primary.SetDark(true);
    loop.RunFor(kDark);
    primary.SetDark(false);
  }
  loop.RunFor(Milliseconds(10'000));
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
