#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace mustardshift {

/** A setting that was not given, and the value that is used instead. */
struct DefaultedSetting
{
  std::string key;
  std::string value;

  friend bool operator==(const DefaultedSetting&, const DefaultedSetting&) = default;
};

/** Settings of a daemon that serves sessions and keeps its state in the platform's store. */
struct SessionSettings
{
  VmId vm;
  FailureDomainName failureDomain;
  /** Clients' sessions, "IP:port". */
  std::string sessionsAddress;
  /** The load balancer's probe; empty for none. */
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
  /** Where promotions are ordered; empty if nobody takes orders. */
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

  /** Length of the windows for which the organisations' usage is reported; zero for no reports. */
  Duration usageWindow{ 0 };
  /** The report of a window is due this long after its end. */
  Duration usageDeadline = std::chrono::seconds(10);
  /** How far a reported count may differ from the truth, as a part of it. */
  double usageTolerance = 0.05;

  /** Memory that the process may use, in MB; the default is that of a small VM. */
  std::size_t memoryLimitMb = 160;
  /** File descriptors that the process may open; the default is the usual limit of a process. */
  std::size_t descriptorLimit = 1024;

  /** Time from a client's connection to its START. */
  Duration clientStartTimeout = std::chrono::seconds(10);
  /** Longest time for a line of a client, from its first byte to its end. */
  Duration clientLineTimeout = std::chrono::seconds(30);
  /** Longest time in which a client takes an answer. */
  Duration clientAnswerTimeout = std::chrono::seconds(120);
  /** For this long, a line or an answer may have any rate; then at least clientMinRateKb. */
  Duration clientProgressGrace = std::chrono::seconds(5);
  /** KiB per second. */
  std::size_t clientMinRateKb = 4;
  /** Session variables and prepared statements of one session, in KiB. */
  std::size_t sessionStateLimitKb = 4096;
  /** Rows of one result, in MiB. */
  std::size_t resultLimitMb = 16;
  /** Descriptors that clients may not use; by default derived from descriptorLimit. */
  std::optional<std::size_t> descriptorReserve;
  /** Connections to each of the addresses for readiness and metrics; by default derived from
      descriptorLimit. */
  std::optional<std::size_t> httpConnectionLimit;
  /** Connections of other VMs to the peer address; by default derived from descriptorLimit. */
  std::optional<std::size_t> peerConnectionLimit;
  /** Time for a request to one of these addresses, and for taking its answer. */
  Duration httpRequestTimeout = std::chrono::seconds(10);
  /** Time without a request after which a connection to one of them is closed. */
  Duration httpIdleTimeout = std::chrono::seconds(75);
  /** VMs that may be attached to this one if it is a member. */
  std::size_t attachedVmLimit = 2000;

  /** Optional settings that were not given. */
  std::vector<DefaultedSetting> defaulted;

  friend bool operator==(const SessionSettings&, const SessionSettings&) = default;
};

} // namespace mustardshift
