#include "adapters/health/MonitoringServer.h"
#include "core/base/NameTable.h"
#include "support/Section.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

/** Sends one HTTP request to a loopback port and returns the whole response. */
std::string Request(int aPort, const std::string& aMethod, const std::string& aPath)
{
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CPPUNIT_ASSERT_EQUAL(
    0, connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  const std::string request = aMethod + " " + aPath + " HTTP/1.1\r\nHost: vm\r\n\r\n";
  CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(request.size()),
                       send(connection, request.data(), request.size(), MSG_NOSIGNAL));
  std::string response;
  std::array<char, 4096> buffer{};
  for (ssize_t size = 0; (size = recv(connection, buffer.data(), buffer.size(), 0)) > 0;) {
    response.append(buffer.data(), static_cast<std::size_t>(size));
  }
  close(connection);
  return response;
}

std::string BodyOf(const std::string& aResponse)
{
  return aResponse.substr(aResponse.find("\r\n\r\n") + 4);
}

/** Line that counts one organisation's completed requests. */
std::string RequestCount(const std::string& aOrganisation, int aCount)
{
  std::string line = "mustardshift_request_seconds_count{organisation=\"";
  line.append(aOrganisation).append("\",verdict=\"run\"} ").append(std::to_string(aCount));
  return line;
}

bool HasLine(const std::string& aText, const std::string& aLine)
{
  return ("\n" + aText).find("\n" + aLine + "\n") != std::string::npos;
}

std::size_t CountLines(const std::string& aText, const std::string& aStart)
{
  std::istringstream text(aText);
  std::size_t count = 0;
  for (std::string line; std::getline(text, line);) {
    count += line.starts_with(aStart) ? 1 : 0;
  }
  return count;
}

} // namespace

/** Guards against metrics that mislead at night: a label that grows without bound, a metric of
    something that no longer exists, a count lost between threads, and a health page that keeps a
    draining VM in the load balancer. */
class MonitoringTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MonitoringTest);
  CPPUNIT_TEST(ShowsMetrics);
  CPPUNIT_TEST(BoundsLabels);
  CPPUNIT_TEST(ForgetsWhatTheConfigurationLacks);
  CPPUNIT_TEST(CountsAcrossThreads);
  CPPUNIT_TEST(ReportsHealth);
  CPPUNIT_TEST(ServesOverHttp);
  CPPUNIT_TEST_SUITE_END();

public:
  void ShowsMetrics()
  {
    MetricsRegistry metrics;
    metrics.ObserveRequest(OrganisationName("ferries"), Verdict::Run, std::chrono::milliseconds(3));
    metrics.ObserveRequest(OrganisationName(), Verdict::NotRun, std::chrono::seconds(30));
    metrics.CountRefusal(Reason::RateExceeded);
    metrics.CountRead(true);
    metrics.ObservePromotion(DatabaseName("bookings"), std::chrono::seconds(3));
    metrics.SetConnections(ServerAddress("10.0.0.1:1"), 4);
    metrics.SetQueueLength(ServerAddress("10.0.0.1:1"), 5);
    metrics.SetPrimary(ServerAddress("10.0.0.1:1"), true);
    metrics.SetTerm(DatabaseName("bookings"), 6);
    metrics.SetHeldShards(2);
    metrics.SetConfigurationVersion(17);
    metrics.SetConfigurationTrusted(true);
    metrics.SetPlatformReachable(true);
    metrics.SetDraining(true);
    const std::string text = metrics.ToText();
    const std::string ferries = "request_seconds_bucket{organisation=\"ferries\",verdict=\"run\",";
    const std::string open = "organisation=\"public\",verdict=\"not-run\"";
    const std::vector<std::string> lines{
      ferries + "le=\"0.002\"} 0",
      ferries + "le=\"0.005\"} 1",
      "request_seconds_bucket{" + open + ",le=\"10\"} 0",
      "request_seconds_count{" + open + "} 1",
      "refusals_total{reason=\"rate-exceeded\"} 1",
      "reads_total{source=\"replica\"} 1",
      "promotion_seconds_bucket{database=\"bookings\",le=\"4\"} 1",
      "connections{server=\"10.0.0.1:1\"} 4",
      "queue_length{server=\"10.0.0.1:1\"} 5",
      "server_is_primary{server=\"10.0.0.1:1\"} 1",
      "database_term{database=\"bookings\"} 6",
      "held_quota_shards 2",
      "configuration_version 17",
      "configuration_trusted 1",
      "platform_reachable 1",
      "draining 1"
    };
    for (const std::string& end : lines) {
      std::string line = "mustardshift_";
      line += end;
      CPPUNIT_ASSERT_MESSAGE(line, HasLine(text, line));
    }
  }

  void BoundsLabels()
  {
    MetricsRegistry metrics(MetricsRegistry::Limits{ 3, 2, 2 });
    for (int i = 0; i < 50; ++i) {
      const std::string name = "name-" + std::to_string(i);
      metrics.ObserveRequest(OrganisationName(name), Verdict::Run, Duration(1));
      metrics.SetConnections(ServerAddress(name), 1);
    }
    const std::string text = metrics.ToText();
    Section("histograms count the surplus as other", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 },
                           CountLines(text, "mustardshift_request_seconds_count"));
      CPPUNIT_ASSERT(HasLine(text, RequestCount("other", 47)));
    });
    Section("gauges leave it out", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, CountLines(text, "mustardshift_connections{"));
    });
    Section("every reason fits", [&] {
      for (const auto& [reason, name] : kReasonNames) {
        metrics.CountRefusal(reason);
      }
      CPPUNIT_ASSERT_EQUAL(kReasonNames.size(),
                           CountLines(metrics.ToText(), "mustardshift_refusals_total{"));
    });
  }

  void ForgetsWhatTheConfigurationLacks()
  {
    MetricsRegistry metrics(MetricsRegistry::Limits{ 2, 2, 2 });
    for (const std::string name : { "gone", "kept", "surplus" }) {
      metrics.ObserveRequest(OrganisationName(name), Verdict::Run, Duration(1));
    }
    metrics.SetConnections(ServerAddress("10.0.0.1:1"), 1);
    Configuration configuration;
    configuration.organisations.push_back({ OrganisationName("kept"), 1, 1, 1, {} });
    metrics.Retain(configuration);
    metrics.ObserveRequest(OrganisationName("new"), Verdict::Run, Duration(1));
    const std::string text = metrics.ToText();
    CPPUNIT_ASSERT(text.find("gone") == std::string::npos);
    CPPUNIT_ASSERT(text.find("10.0.0.1:1") == std::string::npos);
    for (const std::string name : { "kept", "new", "other" }) {
      CPPUNIT_ASSERT_MESSAGE(text, HasLine(text, RequestCount(name, 1)));
    }
  }

  void CountsAcrossThreads()
  {
    constexpr int kThreads = 4;
    constexpr int kRounds = 500;
    MetricsRegistry metrics;
    Configuration configuration;
    configuration.organisations.push_back({ OrganisationName("kept"), 1, 1, 1, {} });
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
      threads.emplace_back([&, thread] {
        for (int round = 0; round < kRounds; ++round) {
          metrics.ObserveRequest(OrganisationName("kept"), Verdict::Run, Duration(1));
          metrics.ObserveRequest(
            OrganisationName(std::to_string(thread)), Verdict::Run, Duration(1));
          if (round % 50 == 0) {
            metrics.Retain(configuration);
            metrics.ToText();
          }
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    CPPUNIT_ASSERT(HasLine(metrics.ToText(), RequestCount("kept", kThreads * kRounds)));
  }

  void ReportsHealth()
  {
    HealthPage health(VmId("vm-a"));
    Section("a VM that starts is not healthy", [&] {
      CPPUNIT_ASSERT_EQUAL(503, health.Status());
      CPPUNIT_ASSERT_EQUAL(
        std::string("{\"vm\":\"vm-a\",\"healthy\":false,\"reasons\":[\"starting\"]}\n"),
        health.Body());
    });
    Section("it is healthy once no reason is left", [&] {
      health.Set(HealthReason::Draining, true);
      health.Set(HealthReason::Starting, false);
      CPPUNIT_ASSERT_EQUAL(503, health.Status());
      health.Set(HealthReason::Draining, false);
      CPPUNIT_ASSERT_EQUAL(200, health.Status());
      CPPUNIT_ASSERT_EQUAL(std::string("{\"vm\":\"vm-a\",\"healthy\":true,\"reasons\":[]}\n"),
                           health.Body());
    });
    Section("every reason has a name of its own", [] {
      std::set<std::string_view> names;
      for (int value = 0; value <= static_cast<int>(HealthReason::NoDatabase); ++value) {
        names.insert(NameOf(kHealthReasonNames, static_cast<HealthReason>(value)));
      }
      CPPUNIT_ASSERT(!names.contains("unknown"));
      CPPUNIT_ASSERT_EQUAL(kHealthReasonNames.size(), names.size());
    });
  }

  void ServesOverHttp()
  {
    MetricsRegistry metrics;
    HealthPage health(VmId("vm-a"));
    const auto server = MonitoringServer::Start("127.0.0.1:0", metrics, health);
    CPPUNIT_ASSERT_MESSAGE(server ? "" : server.error(), server.has_value());
    const int port = server->Port();
    Section("health", [&] {
      const std::string response = Request(port, "GET", "/health");
      CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 503 "));
      CPPUNIT_ASSERT(!nlohmann::json::parse(BodyOf(response))["healthy"].get<bool>());
      health.Set(HealthReason::Starting, false);
      CPPUNIT_ASSERT(Request(port, "GET", "/health").starts_with("HTTP/1.1 200 "));
      CPPUNIT_ASSERT(BodyOf(Request(port, "HEAD", "/health")).empty());
    });
    Section("metrics", [&] {
      const std::string response = Request(port, "GET", "/metrics");
      CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 200 "));
      CPPUNIT_ASSERT(HasLine(BodyOf(response), "mustardshift_draining 0"));
    });
    Section("nothing else", [&] {
      for (const std::string path :
           { "/", "/healthy", "/health/x", "/../etc/passwd", "/etc/passwd" }) {
        const std::string response = Request(port, "GET", path);
        CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 4"));
      }
      CPPUNIT_ASSERT(Request(port, "POST", "/health").starts_with("HTTP/1.1 4"));
    });
    Section("an address in use is named", [&] {
      const std::string address = "127.0.0.1:" + std::to_string(port);
      const auto second = MonitoringServer::Start(address, metrics, health);
      CPPUNIT_ASSERT(!second.has_value());
      CPPUNIT_ASSERT_MESSAGE(second.error(), second.error().find(address) != std::string::npos);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MonitoringTest);

} // namespace mustardshift
