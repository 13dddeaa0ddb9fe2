#include "daemon/Daemon.h"

#include "adapters/clock/SystemBootClock.h"
#include "adapters/log/Log.h"
#include "daemon/control/PlatformRows.h"

#include <algorithm>
#include <grpcpp/server_builder.h>
#include <thread>
#include <utility>

namespace mustardshift {

namespace {

constexpr std::size_t kRequestLoopCapacity = 65536;
constexpr std::size_t kControlLoopCapacity = 4096;
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/** Number of probe intervals between probes of all servers of a database, on its monitors and on
    the other VMs. */
constexpr unsigned kMonitorRoundsPerFullProbe = 5;
constexpr unsigned kRoundsPerFullProbe = 25;
constexpr Duration kPingInterval = std::chrono::seconds(1);
constexpr Duration kLoanInterval = std::chrono::milliseconds(250);
constexpr Duration kEntitlementInterval = std::chrono::seconds(1);
constexpr Duration kDatabasePollInterval = std::chrono::seconds(1);
constexpr Duration kRegistrationPollInterval = std::chrono::seconds(2);
constexpr Duration kVmListPollInterval = std::chrono::seconds(10);
constexpr Duration kShardPollInterval = std::chrono::seconds(1);
/** Connections count as entitled only if the shard leases last for this time, the maximum duration
    of a request. */
constexpr Duration kEntitlementLookahead = std::chrono::seconds(60);
constexpr Duration kTableTimeout = std::chrono::milliseconds(800);
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(20);

const Log kLog(Component::Daemon);

/** Creates a number that identifies this process among the successive processes of the VM. It is
    the wall-clock time, so it grows from start to start unless the clock is set back; the
    registration then refuses the claims of the smaller number. */
std::uint64_t MakeIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace

Daemon::Daemon(DaemonSettings aSettings)
  : settings(std::move(aSettings))
  , incarnation(MakeIncarnation())
  , health(this->settings.vm)
  , requestLoop(kRequestLoopCapacity)
  , platformLoop(kControlLoopCapacity)
  , failoverTableLoop(kControlLoopCapacity)
  , table(this->settings.platformAddress, this->settings.vm.Text())
  , failoverTable(this->settings.platformAddress, this->settings.vm.Text())
  , objects(this->settings.platformAddress, this->settings.vm.Text())
  , directory(this->settings.platformAddress, this->settings.vm.Text())
  , trust(this->settings.vm)
  , gate{ this->trust, false, "" }
  , quota(this->settings.vm, this->incarnation)
  , processor(this->requestLoop,
              this->settings.vm.Text(),
              this->settings.failureDomain,
              this->gate,
              this->quota,
              [this](const OrganisationName& aOrganisation,
                     const Outcome<CallerAnswer>& aAnswer,
                     Duration aElapsed) { this->ObserveRequest(aOrganisation, aAnswer, aElapsed); })
  , transactions(this->requestLoop, this->processor, this->settings.tunables.transactionTimeout)
  , peers(this->settings.vm,
          this->incarnation,
          this->settings.failureDomain,
          this->trust,
          this->quota,
          this->MakePeerHooks())
  , failover(this->requestLoop,
             this->failoverTableLoop,
             this->failoverTable,
             this->peers,
             { this->settings.vm, this->settings.failureDomain, this->incarnation },
             this->MakeFailoverHooks())
  , registration(this->table,
                 this->settings.vm,
                 { this->incarnation,
                   this->settings.callerAddress,
                   this->settings.operatorAddress,
                   this->settings.peerAddress,
                   this->settings.failureDomain },
                 this->MakeRegistrationHooks())
  , configuration(this->table, this->objects, this->registration, this->MakeConfigurationHooks())
  , shards(this->table,
           this->settings.vm,
           this->incarnation,
           [this](const QuotaShardHolder& aHolder) { this->OnShardsChanged(aHolder); })
  , callerService(this->requestLoop,
                  this->processor,
                  this->transactions,
                  this->settings.tunables.requestTimeout)
  , operatorService(*this)
{
}

Daemon::~Daemon()
{
  if (this->isRunning) {
    this->Shutdown();
  }
}

RegistrationManager::Hooks Daemon::MakeRegistrationHooks()
{
  RegistrationManager::Hooks hooks;
  hooks.registered = [this](Instant aSent, Instant aAnswered) {
    this->requestLoop.Post([this, aSent, aAnswered](Instant /*aNow*/) {
      this->trust.OnRegistered(aSent, aAnswered, this->incarnation);
    });
  };
  hooks.read = [this](Instant aSent,
                      Instant aAnswered,
                      const std::vector<RegistrationRow>& aRows,
                      const std::map<VmId, VmRow>& aVms) {
    this->requestLoop.Post([this, aSent, aAnswered, aRows, aVms](Instant aNow) {
      this->trust.OnRegistrationsRead(aSent, aAnswered, aRows);
      this->SetRegisteredVms(aVms);
      std::vector<MemberRow> members;
      members.reserve(aRows.size());
      for (const RegistrationRow& row : aRows) {
        const VmRow& vm = aVms.at(row.vm.vm);
        members.push_back({ row, vm.peerAddress, vm.failureDomain });
      }
      this->peers.OnMemberRowsRead(aSent, aNow, members);
    });
  };
  return hooks;
}

ConfigurationManager::Hooks Daemon::MakeConfigurationHooks()
{
  ConfigurationManager::Hooks hooks;
  hooks.headRead = [this](Instant aSent, std::uint64_t aHead) {
    this->requestLoop.Post(
      [this, aSent, aHead](Instant /*aNow*/) { this->trust.OnHeadRead(aSent, aHead); });
  };
  hooks.changed = [this](const std::shared_ptr<const Configuration>& aConfiguration) {
    this->OnConfigurationChanged(aConfiguration);
  };
  hooks.mayAcceptChanges = [this] {
    bool mayAccept = false;
    this->requestLoop.PostAndWait(
      [this, &mayAccept](Instant aNow) { mayAccept = this->trust.MayAcceptChanges(aNow); });
    return mayAccept;
  };
  hooks.changeSent = [this](std::uint64_t aBase) {
    this->requestLoop.PostAndWait(
      [this, aBase](Instant /*aNow*/) { this->trust.OnChangeSent(aBase); });
  };
  hooks.changeResolved = [this](std::uint64_t aBase, bool aIsAccepted) {
    this->requestLoop.PostAndWait([this, aBase, aIsAccepted](Instant /*aNow*/) {
      this->trust.OnChangeResult(aBase, aIsAccepted);
    });
  };
  hooks.accepted = [this](std::uint64_t aVersion, const std::string& aEncoded) {
    this->requestLoop.Post([this, aVersion, aEncoded](Instant aNow) {
      this->peers.PushChange(aVersion, aEncoded);
      this->peers.Ping(aNow);
    });
  };
  return hooks;
}

PeerCoordinator::Hooks Daemon::MakePeerHooks()
{
  PeerCoordinator::Hooks hooks;
  hooks.primaryLearned = [this](Instant aNow, const KnownPrimary& aPrimary) {
    this->failover.LearnPrimary(aNow, aPrimary);
  };
  hooks.changePushed = [this](const std::string& aEncoded) {
    this->platformLoop.TryPost(
      [this, aEncoded](Instant /*aNow*/) { this->configuration.ApplyPushedChange(aEncoded); });
  };
  hooks.newerVersionReported = [this] {
    this->platformLoop.TryPost([this](Instant /*aNow*/) { this->PollConfiguration(); });
  };
  hooks.checkSuspicion = [this](const KnownPrimary& aSuspected,
                                const std::function<void(Instant, bool)>& aCallback) {
    this->failover.CheckSuspicion(aSuspected, aCallback);
  };
  hooks.suspicionAnswered = [this](Instant aNow,
                                   const VmId& aPeer,
                                   const FailureDomainName& aFailureDomain,
                                   const KnownPrimary& aKnown,
                                   std::uint64_t aTerm,
                                   bool aSuspects) {
    this->failover.ObservePeerAnswer(aNow, aPeer, aFailureDomain, aKnown, aTerm, aSuspects);
  };
  hooks.knownPrimaries = [this] { return this->failover.KnownPrimaries(); };
  hooks.membersChanged = [this](Instant aNow, const std::vector<VmId>& aMembers) {
    this->failover.SetMembers(aNow, aMembers);
  };
  return hooks;
}

FailoverDriver::Hooks Daemon::MakeFailoverHooks()
{
  FailoverDriver::Hooks hooks;
  hooks.adopted =
    [this](Instant aNow, const DatabaseName& aDatabase, const GroupPrimary& aPrimary) {
      this->processor.SetPrimary(aNow, aDatabase, aPrimary);
    };
  hooks.promoted = [this](const DatabaseName& aDatabase, Duration aElapsed) {
    this->metrics.ObservePromotion(aDatabase, aElapsed);
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(aElapsed);
    kLog.Info("The promotion for " + aDatabase.Text() + " took " + std::to_string(elapsed.count()) +
              " ms from the suspicion.");
  };
  return hooks;
}

tl::expected<void, std::string> Daemon::Start()
{
  PeerNodeOptions options;
  options.self = this->settings.vm;
  options.listenAddress = this->settings.peerAddress;
  options.seed = this->incarnation;
  auto node = PeerNode::Start(
    options, [this](const VmId& aPeer, PeerMessage aMessage, std::size_t /*aSize*/) {
      // If the request loop is full, the message is dropped, as if the network had lost it.
      this->requestLoop.TryPost([this, aPeer, message = std::move(aMessage)](Instant aNow) {
        this->peers.Receive(aNow, aPeer, message);
      });
    });
  if (!node) {
    return tl::unexpected("the peer address " + this->settings.peerAddress +
                          " can't be used: " + node.error().message);
  }
  this->peerNode = std::move(*node);
  this->peers.SetNode(*this->peerNode);
  this->processor.SetWaitObserver([this](Instant aNow, const OrganisationName& aOrganisation) {
    this->peers.RequestTokens(aNow, aOrganisation);
  });
  this->peers.OnVmListRead(Instant::min(), SystemBootClock{}.Now(), this->ListMembers({}));
  tl::expected<void, std::string> servers = this->StartServers();
  if (!servers) {
    return servers;
  }
  this->StartTimers();
  this->requestLoop.Start();
  this->failoverTableLoop.Start();
  this->platformLoop.Start();
  this->isRunning = true;
  kLog.Info("This VM serves callers at " + this->settings.callerAddress + ".");
  return {};
}

std::shared_ptr<grpc::ServerCredentials> Daemon::MakeCredentials(ClientCertificates aClients) const
{
  return this->certificates ? this->certificates->ServerCredentials(aClients)
                            : grpc::InsecureServerCredentials();
}

tl::expected<void, std::string> Daemon::StartServers()
{
  if (this->settings.tls) {
    auto opened = ReloadingCertificates::Open(*this->settings.tls);
    if (!opened) {
      return tl::unexpected(opened.error());
    }
    this->certificates = std::move(*opened);
  }
  auto monitor =
    MonitoringServer::Start(this->settings.metricsAddress, this->metrics, this->health);
  if (!monitor) {
    return tl::unexpected(monitor.error());
  }
  this->monitoring.emplace(std::move(*monitor));
  int callerPort = 0;
  grpc::ServerBuilder callers;
  callers.AddListeningPort(this->settings.callerAddress,
                           this->MakeCredentials(ClientCertificates::NotRequested),
                           &callerPort);
  callers.RegisterService(&this->callerService);
  this->callerServer = callers.BuildAndStart();
  if (!this->callerServer || callerPort == 0) {
    return tl::unexpected("the caller address " + this->settings.callerAddress + " can't be used");
  }
  int operatorPort = 0;
  grpc::ServerBuilder operators;
  operators.AddListeningPort(this->settings.operatorAddress,
                             this->MakeCredentials(ClientCertificates::Required),
                             &operatorPort);
  operators.RegisterService(&this->operatorService);
  this->operatorServer = operators.BuildAndStart();
  if (!this->operatorServer || operatorPort == 0) {
    return tl::unexpected("the operator address " + this->settings.operatorAddress +
                          " can't be used");
  }
  return {};
}

void Daemon::ScheduleRepeating(EventLoop& aLoop,
                               Duration aInterval,
                               std::function<void(Instant)> aTask)
{
  aLoop.Schedule(SystemBootClock{}.Now() + aInterval,
                 [this, &aLoop, aInterval, task = std::move(aTask)](Instant aNow) {
                   task(aNow);
                   this->ScheduleRepeating(aLoop, aInterval, task);
                 });
}

void Daemon::StartTimers()
{
  this->ScheduleRepeating(
    this->requestLoop, kTickInterval, [this](Instant aNow) { this->failover.Tick(aNow); });
  this->ScheduleRepeating(this->requestLoop,
                          this->settings.tunables.probeInterval,
                          [this](Instant aNow) { this->ProbeServers(aNow); });
  this->ScheduleRepeating(
    this->requestLoop, kPingInterval, [this](Instant aNow) { this->peers.Ping(aNow); });
  this->ScheduleRepeating(
    this->requestLoop, kLoanInterval, [this](Instant aNow) { this->peers.RequestLoans(aNow); });
  this->ScheduleRepeating(this->requestLoop, kEntitlementInterval, [this](Instant aNow) {
    this->ApplyEntitlements(aNow);
    this->UpdateMonitoring(aNow);
  });
  this->ScheduleRepeating(this->platformLoop,
                          this->settings.tunables.configurationPollInterval,
                          [this](Instant /*aNow*/) { this->PollConfiguration(); });
  this->ScheduleRepeating(
    this->platformLoop, kDatabasePollInterval, [this](Instant /*aNow*/) { this->PollDatabases(); });
  this->ScheduleRepeating(this->platformLoop, kRegistrationPollInterval, [this](Instant /*aNow*/) {
    this->PollRegistrations();
  });
  this->ScheduleRepeating(this->platformLoop, kShardPollInterval, [this](Instant /*aNow*/) {
    this->PollShards(this->isDraining);
  });
  this->ScheduleRepeating(
    this->platformLoop, kVmListPollInterval, [this](Instant /*aNow*/) { this->PollVmList(); });
  this->platformLoop.TryPost([this](Instant /*aNow*/) {
    this->PollRegistrations();
    this->PollConfiguration();
    this->PollShards(false);
    this->PollDatabases();
  });
}

void Daemon::ObserveRequest(const OrganisationName& aOrganisation,
                            const Outcome<CallerAnswer>& aAnswer,
                            Duration aElapsed)
{
  const Verdict verdict = aAnswer ? Verdict::Run : aAnswer.error().verdict;
  this->metrics.ObserveRequest(aOrganisation, verdict, aElapsed);
  if (!aAnswer) {
    this->metrics.CountRefusal(aAnswer.error().reason);
  }
}

void Daemon::UpdateMonitoring(Instant aNow)
{
  const bool isTrusted = this->trust.IsTrusted(aNow);
  const Configuration& present = this->processor.GetConfiguration();
  this->metrics.SetConfigurationVersion(present.version);
  this->metrics.SetConfigurationTrusted(isTrusted);
  this->metrics.SetPlatformReachable(this->trust.Report(aNow).reachesPlatform);
  this->metrics.SetDraining(this->isDraining);
  this->metrics.SetHeldShards(this->heldShards ? this->heldShards->HeldShards(aNow).size() : 0);
  bool hasDatabase = present.databases.empty();
  for (const auto& [name, dispatcher] : this->processor.Dispatchers()) {
    this->metrics.SetTerm(name, dispatcher->Primary().term);
    for (const ServerStatus& server : dispatcher->Servers(aNow)) {
      this->metrics.SetConnections(server.address, server.connections);
      this->metrics.SetQueueLength(server.address, server.queued);
      this->metrics.SetPrimary(server.address, server.isPrimary);
      hasDatabase = hasDatabase || server.isReachable;
    }
  }
  this->health.Set(HealthReason::Starting, present.version == 0);
  this->health.Set(HealthReason::Draining, this->isDraining);
  this->health.Set(HealthReason::FailureDomainDrained,
                   present.drainedFailureDomains.contains(this->settings.failureDomain));
  this->health.Set(HealthReason::ConfigurationUntrusted, !isTrusted);
  this->health.Set(HealthReason::NoDatabase, !hasDatabase);
}

void Daemon::ProbeServers(Instant aNow)
{
  const Duration interval = this->settings.tunables.probeInterval;
  const unsigned round = this->probeRound++;
  for (const auto& [name, dispatcher] : this->processor.Dispatchers()) {
    const GroupPrimary primary = dispatcher->Primary();
    const bool isMonitor = primary.term == 0 || this->failover.IsMonitor(name);
    if (round % (isMonitor ? kMonitorRoundsPerFullProbe : kRoundsPerFullProbe) == 0) {
      this->Probe(aNow, name, ProbeScope::AllServers);
    } else if (dispatcher->PrimaryAnsweredAt() + interval > aNow) {
      // The primary answered a request within the last probe interval, so no probe is needed.
      this->failover.ObserveAnswer(aNow, name, primary);
    } else if (isMonitor) {
      this->Probe(aNow, name, ProbeScope::PrimaryOnly);
    }
  }
}

void Daemon::Probe(Instant aNow, const DatabaseName& aDatabase, ProbeScope aScope)
{
  this->processor.FindDispatcher(aDatabase)->Probe(
    aNow,
    aScope,
    [this, aDatabase](Instant aLater,
                      const ServerAddress& aServer,
                      const Outcome<database::v1::ServerReport>& aReport) {
      this->failover.ObserveProbe(aLater, aDatabase, aServer, aReport);
    });
}

void Daemon::ReportPlatformState(bool aAnswered)
{
  const Instant answered = SystemBootClock{}.Now();
  this->requestLoop.Post([this, aAnswered, answered](Instant aNow) {
    this->failover.SetPlatformState(aNow, aAnswered, answered);
  });
}

void Daemon::PollConfiguration()
{
  this->ReportPlatformState(this->configuration.Poll());
}

void Daemon::PollDatabases()
{
  const auto rows = this->table.Scan(std::string(kDatabasePrefix), 0, kTableTimeout);
  if (!rows) {
    return;
  }
  std::vector<KnownPrimary> primaries;
  for (const TableRow& row : *rows) {
    if (const std::optional<DatabaseRow> decoded = DecodeDatabaseRow(row.value)) {
      primaries.push_back(
        { DatabaseName(row.key.substr(kDatabasePrefix.size())), decoded->term, decoded->primary });
    }
  }
  this->requestLoop.Post([this, primaries](Instant aNow) {
    for (const KnownPrimary& primary : primaries) {
      this->failover.LearnPrimary(aNow, primary);
    }
  });
}

void Daemon::PollRegistrations()
{
  if (this->isDraining || !this->registration.Poll(SystemBootClock{}.Now())) {
    return;
  }
  std::vector<RegistrationRow> lapsed;
  this->requestLoop.PostAndWait(
    [this, &lapsed](Instant aNow) { lapsed = this->trust.ExpiredRegistrations(aNow); });
  this->registration.Remove(lapsed);
}

void Daemon::PollShards(bool aIsLeaving)
{
  std::set<VmId> live;
  bool withinEntitlement = false;
  this->requestLoop.PostAndWait([this, &live, &withinEntitlement](Instant aNow) {
    const std::vector<VmId> serving = this->peers.ServingPeers(aNow);
    live = { serving.begin(), serving.end() };
    withinEntitlement = this->connectionsAreWithinEntitlement;
  });
  this->shards.Poll(SystemBootClock{}.Now(), live, aIsLeaving, withinEntitlement);
}

void Daemon::OnShardsChanged(const QuotaShardHolder& aHolder)
{
  this->requestLoop.PostAndWait([this, &aHolder](Instant aNow) {
    this->heldShards = aHolder;
    const std::vector<HeldQuotaShard> held = aHolder.HeldShards(aNow);
    this->quota.SetShards(aNow, held);
    std::vector<std::uint32_t> numbers;
    numbers.reserve(held.size());
    for (const HeldQuotaShard& shard : held) {
      numbers.push_back(shard.shard.index);
    }
    this->peers.SetHeldShards(std::move(numbers));
    this->ApplyEntitlements(aNow);
  });
}

void Daemon::ApplyEntitlements(Instant aNow)
{
  if (!this->heldShards) {
    return;
  }
  this->connectionsAreWithinEntitlement = true;
  for (const DatabaseGroup& group : this->processor.GetConfiguration().databases) {
    const auto dispatcher = this->processor.FindDispatcher(group.name);
    const unsigned entitled =
      this->heldShards->ConnectionAllowance(aNow + kEntitlementLookahead, group.connectionLimit);
    dispatcher->SetEntitlement(entitled);
    dispatcher->Preconnect(aNow);
    this->connectionsAreWithinEntitlement =
      this->connectionsAreWithinEntitlement && dispatcher->HighestConnectionCount() <= entitled;
  }
}

void Daemon::OnConfigurationChanged(const std::shared_ptr<const Configuration>& aConfiguration)
{
  this->requestLoop.PostAndWait([this, aConfiguration](Instant aNow) {
    this->processor.Configure(aNow, aConfiguration);
    this->metrics.Retain(*aConfiguration);
    this->peers.SetDrainedFailureDomains(aConfiguration->drainedFailureDomains);
    this->failover.Configure(aNow, *aConfiguration);
    this->ApplyEntitlements(aNow);
    this->trust.SetVersion(aConfiguration->version);
  });
}

void Daemon::SetRegisteredVms(const std::map<VmId, VmRow>& aVms)
{
  this->registeredVms = aVms;
  this->gate.alternativeAddress.clear();
  for (const auto& [vm, row] : aVms) {
    if (vm != this->settings.vm && row.failureDomain != this->settings.failureDomain) {
      this->gate.alternativeAddress = row.callerAddress;
    }
  }
}

std::vector<ListedMember> Daemon::ListMembers(const std::vector<ListedVm>& aListed) const
{
  std::vector<ListedMember> members;
  members.reserve(this->settings.peers.size());
  for (const PeerSettings& peer : this->settings.peers) {
    members.push_back({ peer.vm, peer.address, false });
  }
  // The platform's list has only addresses; the registrations map them to VM ids.
  for (const ListedVm& listed : aListed) {
    for (const auto& [vm, row] : this->registeredVms) {
      if (listed.leaving && listed.address == row.callerAddress) {
        std::erase_if(members,
                      [&id = vm](const ListedMember& aMember) { return aMember.vm == id; });
        members.push_back({ vm, row.peerAddress, true });
      }
    }
  }
  return members;
}

void Daemon::PollVmList()
{
  const Instant sent = SystemBootClock{}.Now();
  const auto listed = this->directory.List(kTableTimeout);
  if (!listed) {
    return;
  }
  this->requestLoop.Post([this, sent, vms = *listed](Instant aNow) {
    this->peers.OnVmListRead(sent, aNow, this->ListMembers(vms));
  });
}

void Daemon::BeginDrain()
{
  if (this->isDraining.exchange(true)) {
    return;
  }
  Log(Component::Drain).Info("This VM is draining and accepts no new work.");
  this->requestLoop.PostAndWait([this](Instant aNow) {
    this->gate.isDraining = true;
    this->health.Set(HealthReason::Draining, true);
    this->peers.SetDrainState(PeerDrainState::Draining);
    this->peers.Ping(aNow);
  });
}

bool Daemon::IsIdle()
{
  bool idle = true;
  this->requestLoop.PostAndWait([this, &idle](Instant /*aNow*/) {
    idle = this->processor.RunningRequests() == 0 && this->transactions.OpenTransactions() == 0;
  });
  return idle;
}

void Daemon::Shutdown()
{
  this->BeginDrain();
  const Instant until = SystemBootClock{}.Now() + this->settings.tunables.shutdownTimeout;
  while (!this->IsIdle() && SystemBootClock{}.Now() < until) {
    std::this_thread::sleep_for(kIdleCheckInterval);
  }
  this->platformLoop.PostAndWait([this](Instant /*aNow*/) { this->registration.Deregister(); });
  this->isRunning = false;
  const auto grace = std::chrono::system_clock::now() + std::chrono::milliseconds(200);
  this->callerServer->Shutdown(grace);
  this->operatorServer->Shutdown(grace);
  this->platformLoop.Stop();
  this->failoverTableLoop.Stop();
  this->peerNode->Stop();
  this->requestLoop.Stop();
  kLog.Info("This VM has stopped.");
}

} // namespace mustardshift
