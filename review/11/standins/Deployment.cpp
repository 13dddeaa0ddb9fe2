#include "Deployment.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace review {

using boost::asio::ip::tcp;
using nlohmann::json;

namespace {

constexpr std::array<const char*, 4> kZones{ "kigali-a", "kigali-b", "kigali-c", "kigali-d" };
constexpr const char* kZoneList = "kigali-a,kigali-b,kigali-c,kigali-d";

std::string MakeFolder()
{
  std::string pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  return pattern;
}

json MakeRoute(const char* aDatabase, const char* aType, unsigned aTimeoutMs, unsigned aPriority)
{
  return { { "name", std::string("r-") + aDatabase },
           { "database", aDatabase },
           { "prefix", "/" },
           { "type", aType },
           { "timeout_ms", aTimeoutMs },
           { "target_latency_ms", aTimeoutMs / 4 },
           { "priority", aPriority },
           { "service", "huvo11a" },
           { "attempts", 2 },
           { "public", false } };
}

} // namespace

std::string MakeConfiguration(unsigned aSyncReplicas)
{
  json bookings = MakeRoute("bookings", "primary", 800, 1);
  json notes = MakeRoute("notes", "session", 800, 2);
  notes["max_staleness_ms"] = 2500;
  json hours = MakeRoute("hours", "bounded", 2000, 2);
  hours["max_staleness_ms"] = 1500;
  hours["public"] = true;
  const json service{ { "name", "huvo11a" },   { "health_check", "/health" },
                      { "max_conns", 21 },     { "protocol", "h1" },
                      { "tls", false },        { "warmup_s", 0.0 },
                      { "warmup_per_s", 0.0 }, { "sync_replicas", aSyncReplicas } };
  const json tenant{ { "name", "office" },
                     { "api_keys", { "office-key" } },
                     { "priority", 1 },
                     { "rate_per_s", 1000 },
                     { "burst", 1000 } };
  return json{
    { "version", 7 },
    { "routes", { bookings, notes, hours } },
    { "services", json::array({ service }) },
    { "limits", { { "tx_idle_ms", 3000 } } },
    { "tenants", json::array({ tenant }) }
  }.dump();
}

Deployment::Deployment(Loop& aLoop, Record& aRecord, const Settings& aSettings)
  : loop(aLoop)
  , record(aRecord)
  , folder(MakeFolder())
  , platform(aLoop)
  , database(aLoop, this->platform, aSettings.database, [this](const std::string& aLine) {
    this->record.Write(aLine);
  })
{
  this->platform.Put("op", "config", aSettings.configuration);
  for (std::size_t index = 0; index < aSettings.daemons; ++index) {
    Daemon::Settings settings;
    settings.zone = kZones[index % kZones.size()];
    settings.name = "front-" + settings.zone + "-" + std::to_string(1 + index / kZones.size());
    settings.zones = kZoneList;
    settings.ip = "127.0.71." + std::to_string(10 + index);
    settings.platform = this->platform.Address();
    settings.folder = this->folder;
    settings.memoryMb = aSettings.memoryMb;
    this->daemons.push_back(std::make_unique<Daemon>(settings));
  }
}

Deployment::~Deployment()
{
  this->daemons.clear();
  const char* keep = std::getenv("KEEP_LOGS"); // NOLINT(concurrency-mt-unsafe)
  if (keep == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  } else {
    this->record.Write("logs of the daemons: kept");
  }
}

bool Deployment::Start()
{
  constexpr Milliseconds kLongestStart(20'000);
  constexpr Milliseconds kLongestAnswer(500);
  for (const auto& daemon : this->daemons) {
    daemon->Start();
  }
  const long begin = this->loop.Now();
  for (const auto& daemon : this->daemons) {
    while (!this->IsReady(*daemon, kLongestAnswer)) {
      if (daemon->HasEnded() || this->loop.Now() - begin > kLongestStart.count()) {
        this->record.Write(daemon->Name() + " is not ready");
        std::cerr << daemon->Name() << " is not ready" << std::endl;
        return false;
      }
      this->loop.RunFor(Milliseconds(50));
    }
  }
  this->record.Write("all daemons are ready");
  return true;
}

bool Deployment::IsReady(const Daemon& aDaemon, Milliseconds aLongest)
{
  struct Probe
  {
    explicit Probe(boost::asio::io_context& aIo)
      : socket(aIo)
    {
    }
    tcp::socket socket;
    std::string request = "GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    std::array<char, 64> answer{};
    std::size_t size = 0;
    bool isOver = false;
  };
  auto probe = std::make_shared<Probe>(this->loop.Io());
  probe->socket.async_connect(
    { boost::asio::ip::make_address(aDaemon.Ip()), aDaemon.ReadinessPort() },
    [probe](const boost::system::error_code& aError) {
      if (aError) {
        probe->isOver = true;
        return;
      }
      boost::asio::async_write(
        probe->socket,
        boost::asio::buffer(probe->request),
        [probe](const boost::system::error_code& /*aError*/, std::size_t /*aCount*/) {});
      probe->socket.async_read_some(
        boost::asio::buffer(probe->answer),
        [probe](const boost::system::error_code& /*aError*/, std::size_t aCount) {
          probe->size = aCount;
          probe->isOver = true;
        });
    });
  this->loop.RunUntil(aLongest, [probe] { return probe->isOver; });
  const std::string answer(probe->answer.data(), probe->size);
  boost::system::error_code ignored;
  probe->socket.close(ignored);
  return answer.rfind("HTTP/1.1 200", 0) == 0;
}

} // namespace review
