#pragma once

#include "adapters/health/HealthPage.h"
#include "adapters/health/MonitoringServer.h"
#include "adapters/metrics/MetricsRegistry.h"
#include "adapters/peer/PeerNode.h"
#include "adapters/platform/ObjectStoreClient.h"
#include "adapters/platform/TableClient.h"
#include "adapters/platform/VmDirectoryClient.h"
#include "adapters/settings/DaemonSettings.h"
#include "adapters/tls/ReloadingCertificates.h"
#include "core/base/Outcome.h"
#include "core/configuration/ConfigurationTrust.h"
#include "core/rate/OrganisationQuotaTable.h"
#include "daemon/control/ConfigurationManager.h"
#include "daemon/control/QuotaShardManager.h"
#include "daemon/control/RegistrationManager.h"
#include "daemon/failover/FailoverDriver.h"
#include "daemon/loop/EventLoop.h"
#include "daemon/peer/PeerCoordinator.h"
#include "daemon/request/RequestProcessor.h"
#include "daemon/request/ServingState.h"
#include "daemon/request/TransactionTable.h"
#include "daemon/service/CallerService.h"
#include "daemon/service/OperatorService.h"

#include <atomic>
#include <grpcpp/server.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace mustardshift {

/** The daemon of an entry VM: owns its components and the threads that they run on.

    - The request loop owns requests, quotas, configuration trust, failover decisions and the state
      that peers reported.
    - The platform loop reads and writes the configuration, registrations and quota shards in the
      platform's table.
    - The failover table loop does the table calls of promotions, so that they don't wait behind
      other platform calls.
    - The peer node and gRPC have their own threads. Messages and caller requests are posted to the
      request loop; operator calls also use the platform loop.

    Thread safety: Start and Shutdown must be called from one thread. */
class Daemon
{
public:
  explicit Daemon(DaemonSettings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Opens the ports and starts to serve. Returns an error message if it fails. */
  tl::expected<void, std::string> Start();

  /** Refuses new work, waits until requests and transactions end or the shutdown timeout passes,
      gives up this VM's leases and stops. */
  void Shutdown();

private:
  friend class OperatorService;

  RegistrationManager::Hooks MakeRegistrationHooks();
  ConfigurationManager::Hooks MakeConfigurationHooks();
  PeerCoordinator::Hooks MakePeerHooks();
  FailoverDriver::Hooks MakeFailoverHooks();

  tl::expected<void, std::string> StartServers();
  std::shared_ptr<grpc::ServerCredentials> MakeCredentials(ClientCertificates aClients) const;
  void StartTimers();
  void ObserveRequest(const OrganisationName& aOrganisation,
                      const Outcome<CallerAnswer>& aAnswer,
                      Duration aElapsed);
  void UpdateMonitoring(Instant aNow);
  void ProbeServers(Instant aNow);
  void Probe(Instant aNow, const DatabaseName& aDatabase, ProbeScope aScope);
  void ScheduleRepeating(EventLoop& aLoop, Duration aInterval, std::function<void(Instant)> aTask);
  void PollConfiguration();
  void PollDatabases();
  void PollRegistrations();
  void PollShards(bool aIsLeaving);
  void OnShardsChanged(const QuotaShardHolder& aHolder);
  void ApplyEntitlements(Instant aNow);
  void OnConfigurationChanged(const std::shared_ptr<const Configuration>& aConfiguration);
  void SetRegisteredVms(const std::map<VmId, VmRow>& aVms);
  void PollVmList();
  std::vector<ListedMember> ListMembers(const std::vector<ListedVm>& aListed) const;
  void ReportPlatformState(bool aAnswered);
  void BeginDrain();
  bool IsIdle();

  DaemonSettings settings;
  std::uint64_t incarnation;
  MetricsRegistry metrics;
  HealthPage health;
  EventLoop requestLoop;
  EventLoop platformLoop;
  EventLoop failoverTableLoop;
  TableClient table;
  TableClient failoverTable;
  ObjectStoreClient objects;
  VmDirectoryClient directory;

  // Accessed only on the request loop once it runs.
  ConfigurationTrust trust;
  ServingState gate;
  OrganisationQuotaTable quota;
  RequestProcessor processor;
  TransactionTable transactions;
  PeerCoordinator peers;
  FailoverDriver failover;
  /** Copy of the platform loop's leases, so that the request loop notices their expiry while the
      platform is unreachable. */
  std::optional<QuotaShardHolder> heldShards;
  bool connectionsAreWithinEntitlement = true;
  unsigned probeRound = 0;
  std::map<VmId, VmRow> registeredVms;

  // Accessed only on the platform loop once it runs.
  RegistrationManager registration;
  ConfigurationManager configuration;
  QuotaShardManager shards;
  Instant nextRegistrationPoll{};

  std::unique_ptr<PeerNode> peerNode;
  CallerService callerService;
  OperatorService operatorService;
  std::unique_ptr<grpc::Server> callerServer;
  std::unique_ptr<grpc::Server> operatorServer;
  std::unique_ptr<ReloadingCertificates> certificates;
  std::optional<MonitoringServer> monitoring;
  std::atomic<bool> isDraining{ false };
  bool isRunning = false;
};

} // namespace mustardshift
