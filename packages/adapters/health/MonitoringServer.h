#pragma once

#include "adapters/health/HealthPage.h"
#include "adapters/metrics/MetricsRegistry.h"

#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace mustardshift {

/** Serves /metrics and /health over HTTP on one address, with the civetweb server that
    prometheus-cpp depends on. prometheus-cpp's own Exposer serves metrics only and doesn't give
    access to its server.

    Thread safety: requests run on threads of the server; destroy it from one thread. */
class MonitoringServer
{
public:
  /** Starts serving. Returns a sentence that says what is wrong when it can't.

      @param aAddress  "IP:port"; port 0 takes a free one.
      @param aMetrics  has to outlive the server.
      @param aHealth   has to outlive the server. */
  static tl::expected<MonitoringServer, std::string> Start(const std::string& aAddress,
                                                           const MetricsRegistry& aMetrics,
                                                           const HealthPage& aHealth);

  MonitoringServer(MonitoringServer&& aOther) noexcept;
  MonitoringServer& operator=(MonitoringServer&& aOther) noexcept;
  /** Waits for running requests and closes the port. */
  ~MonitoringServer();

  int Port() const;

private:
  struct Implementation;

  explicit MonitoringServer(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> implementation;
};

} // namespace mustardshift
