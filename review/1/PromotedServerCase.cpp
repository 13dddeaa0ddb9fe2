// Promotes a replica while the other replica lags behind in applying what it has received.

#include "../Deployment.h"

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace review;

constexpr milliseconds kWriteTimeout{ 1'500 };
constexpr milliseconds kWritePause{ 200 };
/** 120 times the 20 ms by which the replicas are behind. */
constexpr milliseconds kSlowApply{ 2'400 };
constexpr milliseconds kLagBeforeCrash{ 3'000 };
constexpr milliseconds kDeafBeforeCrash{ 500 };
constexpr milliseconds kPromotionTimeout{ 15'000 };
constexpr int kWriters = 6;

const std::string kConfiguration =
  R"({"version":7,"routes":[{"name":"r-1","database":"bookings","prefix":"/","type":"primary",)"
  R"("timeout_ms":800,"target_latency_ms":150,"priority":1,"service":"huvo11a","attempts":2,)"
  R"("public":false}],"services":[{"name":"huvo11a","health_check":"/health","max_conns":21,)"
  R"("protocol":"h1","tls":false,"warmup_s":0.0,"warmup_per_s":0.0,"sync_replicas":1}],)"
  R"("limits":{"tx_idle_ms":3000},"tenants":[{"name":"nypu920","api_keys":["key-1"],)"
  R"("priority":1,"rate_per_s":136,"burst":136}]})";

/** Writes that were acknowledged to their clients. */
class Acknowledged
{
public:
  void Add(const std::string& aId)
  {
    const std::lock_guard guard(this->mutex);
    this->ids.insert(aId);
  }
  std::set<std::string> Ids()
  {
    const std::lock_guard guard(this->mutex);
    return this->ids;
  }

private:
  std::mutex mutex;
  std::set<std::string> ids;
};

void WriteUntil(const std::atomic<bool>& aIsOver,
                Deployment& aDeployment,
                int aNumber,
                Acknowledged& aAcknowledged)
{
  const std::string name = "w" + std::to_string(aNumber);
  Client client(aDeployment.record, name);
  const Vm& vm = aDeployment.vms[static_cast<std::size_t>(aNumber) % aDeployment.vms.size()];
  for (int count = 1; !aIsOver; ++count) {
    if (client.IsOpen() || client.Open(vm.sessions, "bookings", "key-1")) {
      const std::string id = name + "-" + std::to_string(count);
      if (client.Query(id, "WRITE item-" + id + " booked", kWriteTimeout).kind ==
          Reply::Kind::Done) {
        aAcknowledged.Add(id);
      }
    }
    std::this_thread::sleep_for(kWritePause);
  }
}

int Run(const Arguments& aArguments, Deployment& aDeployment)
{
  Record& record = aDeployment.record;
  Database::Settings settings;
  settings.service = "huvo11a";
  settings.syncReplicas = 1;
  Database& database = *new Database(settings, aDeployment.platform, record);
  database.AddServer("i-a", "kigali-a");
  database.AddServer("i-b", "kigali-b");
  database.AddServer("i-c", "kigali-c");
  aDeployment.platform.Start(
    [&](const std::string&, const std::string& aServer) { return database.Promote(aServer); });
  database.Start();
  aDeployment.platform.Put("op", "config", kConfiguration);
  for (const auto& [name, zone] : { std::pair("front-kigali-a-1", "kigali-a"),
                                    std::pair("front-kigali-b-1", "kigali-b"),
                                    std::pair("front-kigali-c-1", "kigali-c"),
                                    std::pair("front-kigali-d-1", "kigali-d") }) {
    aDeployment.AddVm(name, zone);
  }
  if (!aDeployment.StartVms()) {
    return kCouldNotRun;
  }
  Acknowledged acknowledged;
  std::atomic<bool> isOver = false;
  std::vector<std::thread> writers;
  writers.reserve(kWriters);
  for (int number = 0; number < kWriters; ++number) {
    writers.emplace_back([&, number] { WriteUntil(isOver, aDeployment, number, acknowledged); });
  }
  std::this_thread::sleep_for(milliseconds(6'000));
  std::set<std::string> acknowledgedBefore;
  if (aArguments.hasTrouble) {
    database.SetLag("i-c", kSlowApply);
    std::this_thread::sleep_for(kLagBeforeCrash - kDeafBeforeCrash);
    database.SetDeaf("i-b", true);
    std::this_thread::sleep_for(kDeafBeforeCrash);
    database.Crash("i-a");
    record.Write("positions: " + database.DescribePositions());
    const auto until = Clock::now() + kPromotionTimeout;
    while (database.Term() == 1 && Clock::now() < until) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    acknowledgedBefore = acknowledged.Ids();
    database.SetLag("i-c", settings.replicaLag);
  }
  std::this_thread::sleep_for(milliseconds(3'000));
  isOver = true;
  for (std::thread& writer : writers) {
    writer.join();
  }
  if (aArguments.hasTrouble && database.Term() == 1) {
    record.Write("no server was promoted");
    return kCouldNotRun;
  }
  const std::set<std::string> inLog = database.RequestIdsInLog(database.Primary());
  int lost = 0;
  for (const std::string& id : acknowledged.Ids()) {
    if (!inLog.contains(id)) {
      ++lost;
      record.Write("LOST: the write " + id + " was acknowledged and is not in the log of " +
                   database.Primary());
    }
  }
  record.Write(std::to_string(acknowledged.Ids().size()) + " writes acknowledged, " +
               std::to_string(lost) + " of them lost");
  return lost > 0 ? kRuleBroken : kRuleHeld;
}

} // namespace

int main(int aCount, char** aTexts)
{
  return RunCase(aCount, aTexts, Run);
}
