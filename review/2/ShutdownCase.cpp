// Stops VMs with SIGTERM, one after the other, while clients are inside transactions.

#include "../Deployment.h"

#include <array>
#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace review;

constexpr int kDatabases = 3;
constexpr int kClients = 150;
constexpr int kReads = 9;
constexpr milliseconds kStatementPause{ 600 };
constexpr milliseconds kClientTimeout{ 5'000 };
constexpr milliseconds kRouteTimeout{ 2'000 };
constexpr milliseconds kReconnectPause{ 100 };
constexpr milliseconds kGrace{ 6'000 };
constexpr milliseconds kAfterGrace{ 1'000 };
/** Requests that were sent later than this after the SIGTERM have no excuse. */
constexpr milliseconds kExcusedSpan{ 3'000 };
constexpr milliseconds kGap{ 2'000 };
constexpr std::size_t kStoppedVms = 6;

/** Routes and services of one database; "@" stands for its number. */
const std::string kRoutes =
  R"({"name":"r-b@","database":"board@","prefix":"/","type":"bounded","timeout_ms":2000,)"
  R"("target_latency_ms":500,"priority":2,"service":"huvo@","attempts":2,)"
  R"("max_staleness_ms":1500,"public":false},)"
  R"({"name":"r-s@","database":"bookings@","prefix":"/","type":"primary","timeout_ms":2000,)"
  R"("target_latency_ms":150,"priority":1,"service":"huvo@","attempts":2,"public":false})";
const std::string kService =
  R"({"name":"huvo@","health_check":"/health","max_conns":21,"protocol":"h1","tls":false,)"
  R"("warmup_s":0.0,"warmup_per_s":0.0,"sync_replicas":0})";

/** The template once for each database, separated by commas. */
std::string ForEachDatabase(const std::string& aTemplate)
{
  std::string text;
  for (int number = 1; number <= kDatabases; ++number) {
    text += number > 1 ? "," : "";
    for (const char character : aTemplate) {
      if (character == '@') {
        text += std::to_string(number);
      } else {
        text += character;
      }
    }
  }
  return text;
}

std::string Configuration()
{
  return R"({"version":7,"routes":[)" + ForEachDatabase(kRoutes) + R"(],"services":[)" +
         ForEachDatabase(kService) +
         R"(],"limits":{"tx_idle_ms":3000},"tenants":[{"name":"nypu920","api_keys":["key-1"],)"
         R"("priority":1,"rate_per_s":136,"burst":136}]})";
}

/** The platform's forwarding of new connections: a VM is out after two questions in a row without a
    200.

    Thread safety: all methods may be called by any thread. */
class Entry
{
public:
  explicit Entry(const std::vector<Vm>& aVms)
    : vms(aVms)
    , misses(aVms.size())
  {
  }

  void AskAll()
  {
    for (std::size_t index = 0; index < this->vms.size(); ++index) {
      const bool isReady = AskReadiness(this->vms[index].readiness) == 200;
      this->misses[index] = isReady ? 0 : this->misses[index] + 1;
    }
  }

  /** A VM of the client's zone, or of another zone if none there is in rotation. */
  std::size_t Choose(std::size_t aHash) const
  {
    for (std::size_t step = 0; step < this->vms.size(); ++step) {
      const std::size_t index = (aHash + step) % this->vms.size();
      if (this->misses[index] < 2) {
        return index;
      }
    }
    return aHash % this->vms.size();
  }

private:
  const std::vector<Vm>& vms;
  std::vector<std::atomic<int>> misses;
};

struct Exchange
{
  std::size_t vm = 0;
  std::string requestId;
  Reply reply;
};

struct Shared
{
  explicit Shared(Deployment& aDeployment)
    : deployment(aDeployment)
    , entry(aDeployment.vms)
  {
  }

  Deployment& deployment;
  Entry entry;
  std::atomic<bool> isOver = false;
  std::mutex mutex;
  std::vector<Exchange> exchanges;
};

/** Runs one transaction of 12 statements with pauses between them, until one fails. */
void RunTransaction(Shared& aShared,
                    Client& aClient,
                    std::size_t aVm,
                    const std::string& aName,
                    bool aWrites)
{
  std::vector<std::string> texts{ aWrites ? "BEGIN" : "BEGIN READ" };
  for (int number = 0; number < kReads; ++number) {
    texts.push_back("READ item-" + std::to_string(number));
  }
  texts.push_back(aWrites ? "WRITE item-" + aName + " booked" : "READ item-9");
  texts.emplace_back("COMMIT");
  int number = 0;
  for (const std::string& text : texts) {
    const std::string id = aName + "-" + std::to_string(++number);
    const Reply reply = aClient.Query(id, text, kClientTimeout);
    {
      const std::lock_guard guard(aShared.mutex);
      aShared.exchanges.push_back({ aVm, id, reply });
    }
    if (reply.kind != Reply::Kind::Done) {
      aClient.Close();
      return;
    }
    std::this_thread::sleep_for(kStatementPause);
  }
}

void RunClient(Shared& aShared, int aNumber)
{
  const bool writes = aNumber % 3 == 0;
  const std::string database =
    (writes ? "bookings" : "board") + std::to_string(1 + aNumber / 3 % kDatabases);
  const std::string name = "c" + std::to_string(aNumber);
  Client client(aShared.deployment.record, name);
  std::size_t vm = 0;
  for (int count = 1; !aShared.isOver; ++count) {
    if (!client.IsOpen()) {
      vm = aShared.entry.Choose(static_cast<std::size_t>(aNumber));
      if (!client.Open(aShared.deployment.vms[vm].sessions, database, "key-1")) {
        std::this_thread::sleep_for(kReconnectPause);
        continue;
      }
    }
    RunTransaction(aShared, client, vm, name + "-" + std::to_string(count), writes);
    std::this_thread::sleep_for(kReconnectPause);
  }
}

/** Requests that a server received, and whose connection then ended without a complete answer
    because the VM was stopped. */
int CountLost(Shared& aShared,
              const std::vector<std::unique_ptr<Database>>& aDatabases,
              const std::array<Clock::time_point, kStoppedVms>& aStoppedAt)
{
  int lost = 0;
  const std::lock_guard guard(aShared.mutex);
  for (const Exchange& exchange : aShared.exchanges) {
    const Reply& reply = exchange.reply;
    if (exchange.vm >= kStoppedVms || reply.kind != Reply::Kind::Closed ||
        reply.endedAt - reply.sentAt >= kRouteTimeout) {
      continue;
    }
    const auto stoppedAt = aStoppedAt.at(exchange.vm);
    bool wasPassedOn = false;
    for (const auto& database : aDatabases) {
      wasPassedOn = wasPassedOn || database->HasReceived(exchange.requestId);
    }
    if (wasPassedOn && reply.sentAt > stoppedAt + kExcusedSpan &&
        reply.endedAt <= stoppedAt + kGrace + kAfterGrace) {
      ++lost;
      const auto sinceSignal = [&](Clock::time_point aTime) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(aTime - stoppedAt).count());
      };
      aShared.deployment.record.Write("LOST: " + exchange.requestId + " at " +
                                      aShared.deployment.vms[exchange.vm].name + ", sent " +
                                      sinceSignal(reply.sentAt) +
                                      " ms after the SIGTERM and passed on to a server, "
                                      "cut without an answer " +
                                      sinceSignal(reply.endedAt) + " ms after the SIGTERM");
    }
  }
  aShared.deployment.record.Write(std::to_string(aShared.exchanges.size()) +
                                  " requests answered or ended, " + std::to_string(lost) +
                                  " cut without an excuse");
  return lost;
}

int Run(const Arguments& aArguments, Deployment& aDeployment)
{
  Record& record = aDeployment.record;
  std::vector<std::unique_ptr<Database>>& databases = *new std::vector<std::unique_ptr<Database>>();
  for (int number = 1; number <= kDatabases; ++number) {
    Database::Settings settings;
    settings.service = "huvo" + std::to_string(number);
    settings.statementTime = milliseconds(60);
    databases.push_back(std::make_unique<Database>(settings, aDeployment.platform, record));
    for (const char* zone : { "a", "b", "c" }) {
      databases.back()->AddServer("i-" + std::to_string(number) + zone,
                                  std::string("kigali-") + zone);
    }
  }
  aDeployment.platform.Start([&](const std::string& aService, const std::string& aServer) {
    const auto number = static_cast<std::size_t>(std::stoul(aService.substr(4)));
    return databases.at(number - 1)->Promote(aServer);
  });
  for (const auto& database : databases) {
    database->Start();
  }
  aDeployment.platform.Put("op", "config", Configuration());
  for (const auto& [name, zone] : { std::pair("front-kigali-a-1", "kigali-a"),
                                    std::pair("front-kigali-b-1", "kigali-b"),
                                    std::pair("front-kigali-c-1", "kigali-c"),
                                    std::pair("front-kigali-d-1", "kigali-d"),
                                    std::pair("front-kigali-a-2", "kigali-a"),
                                    std::pair("front-kigali-b-2", "kigali-b") }) {
    aDeployment.AddVm(name, zone);
  }
  if (!aDeployment.StartVms()) {
    return kCouldNotRun;
  }
  Shared& shared = *new Shared(aDeployment);
  std::thread([&shared] {
    while (true) {
      shared.entry.AskAll();
      std::this_thread::sleep_for(milliseconds(1'000));
    }
  }).detach();
  std::this_thread::sleep_for(milliseconds(2'000));
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&shared, number] { RunClient(shared, number); });
    std::this_thread::sleep_for(milliseconds(30));
  }
  // No disruption in the contact_ms before the requests: the processes have run for long enough.
  std::this_thread::sleep_for(milliseconds(5'000));
  std::array<Clock::time_point, kStoppedVms> stoppedAt{};
  for (std::size_t index = 0; index < kStoppedVms; ++index) {
    stoppedAt.at(index) = Clock::now();
    if (aArguments.hasTrouble) {
      record.Write("platform: SIGTERM to " + aDeployment.vms[index].name);
      ::kill(aDeployment.vms[index].process, SIGTERM);
    }
    std::this_thread::sleep_for(kGap);
  }
  // Every stopped process has its whole grace_s; the script ends one that would still run.
  std::this_thread::sleep_for(kGrace + kAfterGrace);
  shared.isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  return CountLost(shared, databases, stoppedAt) > 0 ? kRuleBroken : kRuleHeld;
}

} // namespace

int main(int aCount, char** aTexts)
{
  return RunCase(aCount, aTexts, Run);
}
