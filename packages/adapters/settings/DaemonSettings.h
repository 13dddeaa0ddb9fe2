#pragma once

#include "adapters/log/LogLevel.h"
#include "adapters/settings/PeerSettings.h"
#include "adapters/settings/TlsSettings.h"
#include "adapters/settings/Tunables.h"
#include "core/base/Names.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardshift {

/** Settings of one daemon. All addresses are "IP:port". */
struct DaemonSettings
{
  VmId vm;
  FailureDomainName failureDomain;
  /** Where clients connect. */
  std::string callerAddress;
  /** Where operators connect. */
  std::string operatorAddress;
  /** Where other VMs connect. */
  std::string peerAddress;
  /** Where /metrics and /health are served. */
  std::string metricsAddress;
  /** Where the platform's services are. */
  std::string platformAddress;
  std::vector<PeerSettings> peers;
  /** Nothing when connections aren't encrypted. */
  std::optional<TlsSettings> tls;
  LogLevel logLevel = LogLevel::Info;
  Tunables tunables;

  friend bool operator==(const DaemonSettings&, const DaemonSettings&) = default;
};

} // namespace mustardshift
