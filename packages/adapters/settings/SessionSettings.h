#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <string>
#include <vector>

namespace mustardshift {

/** Settings of a daemon that serves sessions and keeps its state in the platform's store. */
struct SessionSettings
{
  VmId vm;
  FailureDomainName failureDomain;
  /** Clients' sessions, "IP:port". */
  std::string sessionsAddress;
  /** The load balancer's probe. */
  std::string readinessAddress;
  /** Failure domains of the deployment; empty if they are not known. */
  std::vector<FailureDomainName> failureDomains;
  /** Cores that this VM has. */
  double processorShare = 1;
  /** Datagrams of other VMs, and requests for copies of tables over TCP; empty for none. */
  std::string peerAddress;
  /** Metrics as text; empty for none. */
  std::string metricsAddress;
  std::string storeAddress;
  /** Where promotions are ordered. */
  std::string ordersAddress;
  /** A key that was withdrawn has to stop working within this time. */
  Duration withdrawnKeyBound = std::chrono::seconds(5);
  /** Work on servers of a failure domain that was taken out has to end within this time. */
  Duration evacuationBound = std::chrono::seconds(5);
  /** Time between the signal to stop and the end of the process. */
  Duration shutdownGrace = std::chrono::seconds(6);

  /** How far an organisation's operations may exceed rate and burst in any span of rateWindow: by
      this part, and by this number of operations. */
  Duration rateWindow = std::chrono::seconds(5);
  double rateOvershoot = 0;
  double rateSlack = 0;

  friend bool operator==(const SessionSettings&, const SessionSettings&) = default;
};

} // namespace mustardshift
