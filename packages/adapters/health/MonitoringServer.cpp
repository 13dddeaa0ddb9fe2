#include "adapters/health/MonitoringServer.h"

#include <CivetServer.h>

#include <utility>
#include <vector>

namespace mustardshift {

namespace {

void Respond(mg_connection* aConnection,
             int aStatus,
             const std::string& aType,
             const std::string& aBody,
             bool aWithBody)
{
  const std::string head =
    "HTTP/1.1 " + std::to_string(aStatus) + (aStatus == 200 ? " OK" : " Service Unavailable") +
    "\r\nContent-Type: " + aType + "\r\nContent-Length: " + std::to_string(aBody.size()) +
    "\r\nCache-Control: no-store\r\nConnection: close\r\n\r\n";
  const std::string text = aWithBody ? head + aBody : head;
  mg_write(aConnection, text.data(), text.size());
}

class MetricsHandler : public CivetHandler
{
public:
  explicit MetricsHandler(const MetricsRegistry& aMetrics)
    : metrics(aMetrics)
  {
  }

  // NOLINTNEXTLINE(readability-identifier-naming): civetweb's name
  bool handleGet(CivetServer* /*aServer*/, mg_connection* aConnection) override
  {
    Respond(aConnection, 200, "text/plain; version=0.0.4", this->metrics.ToText(), true);
    return true;
  }

private:
  const MetricsRegistry& metrics;
};

class HealthHandler : public CivetHandler
{
public:
  explicit HealthHandler(const HealthPage& aHealth)
    : health(aHealth)
  {
  }

  // NOLINTNEXTLINE(readability-identifier-naming): civetweb's name
  bool handleGet(CivetServer* /*aServer*/, mg_connection* aConnection) override
  {
    Respond(aConnection, this->health.Status(), "application/json", this->health.Body(), true);
    return true;
  }

  // NOLINTNEXTLINE(readability-identifier-naming): civetweb's name
  bool handleHead(CivetServer* /*aServer*/, mg_connection* aConnection) override
  {
    Respond(aConnection, this->health.Status(), "application/json", this->health.Body(), false);
    return true;
  }

private:
  const HealthPage& health;
};

} // namespace

struct MonitoringServer::Implementation
{
  Implementation(const std::vector<std::string>& aOptions,
                 const MetricsRegistry& aMetrics,
                 const HealthPage& aHealth)
    : metrics(aMetrics)
    , health(aHealth)
    , server(aOptions)
  {
    // The dollar sign makes civetweb match the whole path; it would serve /health/x too.
    this->server.addHandler("/metrics$", this->metrics);
    this->server.addHandler("/health$", this->health);
  }

  MetricsHandler metrics;
  HealthHandler health;
  /** Declared last, so that its threads end before the handlers. */
  CivetServer server;
};

tl::expected<MonitoringServer, std::string> MonitoringServer::Start(const std::string& aAddress,
                                                                    const MetricsRegistry& aMetrics,
                                                                    const HealthPage& aHealth)
{
  // A client that sends nothing holds a thread for at most the request timeout.
  const std::vector<std::string> options{
    "listening_ports",    aAddress, "num_threads",       "4",
    "request_timeout_ms", "2000",   "enable_keep_alive", "no"
  };
  try {
    return MonitoringServer(std::make_unique<Implementation>(options, aMetrics, aHealth));
  } catch (const CivetException&) {
    return tl::unexpected("the monitoring server can't listen on " + aAddress +
                          ", expected a free address of this VM");
  }
}

MonitoringServer::MonitoringServer(std::unique_ptr<Implementation> aImplementation)
  : implementation(std::move(aImplementation))
{
}

MonitoringServer::MonitoringServer(MonitoringServer&& aOther) noexcept = default;
MonitoringServer& MonitoringServer::operator=(MonitoringServer&& aOther) noexcept = default;
MonitoringServer::~MonitoringServer() = default;

int MonitoringServer::Port() const
{
  const std::vector<int> ports = this->implementation->server.getListeningPorts();
  return ports.empty() ? 0 : ports.front();
}

} // namespace mustardshift
