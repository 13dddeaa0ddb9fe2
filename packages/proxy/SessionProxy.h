#pragma once

#include "core/base/Instant.h"
#include "proxy/ProxySettings.h"
#include "proxy/RecordDecoder.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/coordination/ConfigurationConfirmationExchange.h"
#include "proxy/coordination/FleetCoordinator.h"
#include "proxy/coordination/FleetView.h"
#include "proxy/coordination/OperatorTableDigest.h"
#include "proxy/coordination/TableFollower.h"
#include "proxy/log/EventLog.h"
#include "proxy/pool/ServerHealth.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/position/PositionExchange.h"
#include "proxy/promotion/PromotionDriver.h"
#include "proxy/promotion/ServerProber.h"
#include "proxy/rate/OrganisationBuckets.h"
#include "proxy/rate/Throttler.h"
#include "proxy/rate/TokenExchange.h"
#include "proxy/schedule/Scheduler.h"
#include "proxy/session/ClientSession.h"
#include "proxy/session/PositionTable.h"
#include "proxy/session/ReplicaPositions.h"
#include "proxy/session/SessionContext.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace mustardshift::proxy {

/** The session proxy of one VM, without its sockets: watches the store's tables, pools connections
    to the database servers, promotes replicas when primaries have to be replaced, and creates
    client sessions.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network,
         TableStore Store,
         PromotionOrderSender Orders,
         PeerMessenger Messenger,
         RecordDecoder Decoder>
class SessionProxy
{
public:
  /** Period of the checks that no event triggers. */
  static constexpr Duration kCheckPeriod = std::chrono::milliseconds(200);
  /** Delay between the disappearance of a server's row and the removal of the server. Rows that
      expired while the store was unavailable are written again within about two seconds. */
  static constexpr Duration kRemovalDelay = std::chrono::milliseconds(2500);

  /** Precondition: all references outlive the proxy.
      @param aOnStatementEnd  called once for each statement that has ended, to record it in
                              the metrics. */
  SessionProxy(ProxySettings aSettings,
               Network& aNetwork,
               Store& aStore,
               Orders& aOrders,
               Messenger& aMessenger,
               Scheduler& aScheduler,
               EventLog& aLog,
               std::function<void(const StatementOutcome&)> aOnStatementEnd)
    : settings(std::move(aSettings))
    , scheduler(aScheduler)
    , log(aLog)
    , cluster(this->settings.maxConfirmationAge)
    , positions(this->settings.maxRouteStaleness)
    , chooser(this->cluster,
              this->health,
              this->positions,
              this->replicaPositions,
              this->settings.sessionLimits)
    , buckets(this->settings.vm, this->settings.rateTolerance)
    , pool(aNetwork, this->cluster, this->health, aScheduler, aLog)
    , prober(this->pool, this->cluster, this->health, this->positions, aScheduler)
    , driver(this->settings.vm,
             this->pool,
             aStore,
             aOrders,
             this->cluster,
             this->fleet,
             this->health,
             aScheduler,
             aLog)
    , throttler(this->buckets, aScheduler)
    , tokenExchange(this->settings.vm,
                    this->settings.domain,
                    this->settings.incarnation,
                    aMessenger,
                    this->fleet,
                    this->buckets,
                    this->throttler,
                    aScheduler)
    , positionExchange(this->settings.vm,
                       this->settings.domain,
                       this->settings.incarnation,
                       aMessenger,
                       this->fleet,
                       this->positions)
    , confirmationExchange(this->settings.vm,
                           this->settings.domain,
                           this->settings.incarnation,
                           aMessenger,
                           this->fleet,
                           this->operatorDigest,
                           this->cluster)
    , coordinator(this->settings.vm,
                  this->settings.domain,
                  this->settings.peerAddress,
                  aStore,
                  this->cluster,
                  this->fleet,
                  this->buckets,
                  aScheduler,
                  aLog,
                  [this](Instant aNow) { this->OnFleetRead(aNow); })
    , operatorFollower(aStore,
                       aScheduler,
                       aLog,
                       std::string(Decoder::kOperatorTable),
                       this->settings.configurationWatchTimeout,
                       this->OperatorHandlers())
    , serverFollower(aStore,
                     aScheduler,
                     aLog,
                     std::string(Decoder::kServerTable),
                     this->settings.serverWatchTimeout,
                     this->ServerHandlers())
    , context{ this->cluster,
               this->pool,
               this->health,
               this->positions,
               this->replicaPositions,
               this->chooser,
               this->buckets,
               this->throttler,
               aScheduler,
               aLog,
               this->settings.sessionLimits,
               std::move(aOnStatementEnd) }
  {
    this->operatorFollower.SetSkipWatch(
      [this](Instant aNow) { return this->confirmationExchange.IsCurrent(aNow); });
  }
  SessionProxy(const SessionProxy&) = delete;
  SessionProxy& operator=(const SessionProxy&) = delete;
  ~SessionProxy() = default;

  /** Starts watching the store's tables and the periodic checks. Precondition: called once. */
  void Start(Instant aNow)
  {
    this->throttler.SetProcessStart(aNow);
    this->operatorFollower.Start(aNow);
    this->serverFollower.Start(aNow);
    this->coordinator.Start(aNow);
    this->RunPeriodicChecks(aNow);
  }

  /** Whether new sessions can be served. */
  bool IsReady(Instant aNow) const
  {
    return this->cluster.IsTrusted(aNow) && this->cluster.HasServerList() &&
           this->coordinator.IsReady(aNow);
  }

  /** Creates a session; its Open() returns whether the client may use it. */
  std::shared_ptr<ClientSession<Network>> MakeSession(std::string aDatabase, std::string aKeyHash)
  {
    return std::make_shared<ClientSession<Network>>(
      this->context, std::move(aDatabase), std::move(aKeyHash));
  }

  /** Handles a datagram that another VM sent. */
  void OnDatagram(Instant aNow, std::string_view aBytes)
  {
    if (!this->tokenExchange.OnDatagram(aNow, aBytes) &&
        !this->positionExchange.OnDatagram(aNow, aBytes) &&
        !this->confirmationExchange.OnDatagram(aNow, aBytes)) {
      this->log.Write(
        aNow, "peer", "malformed-datagram", { { "bytes", std::to_string(aBytes.size()) } });
    }
  }

  const ClusterState& Cluster() const { return this->cluster; }
  const ServerPool<Network>& Pool() const { return this->pool; }
  const FleetView& Fleet() const { return this->fleet; }

private:
  using Follower = TableFollower<Store>;

  typename Follower::Handlers OperatorHandlers()
  {
    return { [this](Instant aNow, const auto& aRows) {
              this->evacuatedDomains.clear();
              this->operatorDigest.ReplaceRows(aRows);
              this->ApplyOperatorRows(aNow, aRows);
            },
             [this](Instant aNow, const auto& aRows) {
               this->operatorDigest.ApplyRowChanges(aRows);
               this->ApplyOperatorRows(aNow, aRows);
             },
             [this](Instant aAsOf) { this->cluster.Confirm(aAsOf); } };
  }

  void ApplyOperatorRows(Instant aNow, const std::vector<StoredRow>& aRows)
  {
    for (const StoredRow& row : aRows) {
      auto record = Decoder::DecodeOperatorRow(row);
      if (!record) {
        this->log.WriteAlways(
          aNow, "configuration", "unreadable", { { "key", row.key }, { "why", record.error() } });
        continue;
      }
      if (auto* configuration = std::get_if<SessionConfiguration>(&*record)) {
        this->ApplyConfiguration(aNow, std::move(*configuration));
      } else if (const auto* evacuation = std::get_if<EvacuationRecord>(&*record)) {
        this->log.WriteAlways(aNow,
                              "failure-domain",
                              row.isRemoved ? "in-service" : "out-of-service",
                              { { "domain", evacuation->domain.Text() } });
        if (row.isRemoved) {
          this->evacuatedDomains.erase(evacuation->domain);
        } else {
          this->evacuatedDomains.insert(evacuation->domain);
        }
      }
    }
    this->cluster.SetEvacuatedDomains(this->evacuatedDomains, aNow);
  }

  void ApplyConfiguration(Instant aNow, SessionConfiguration aConfiguration)
  {
    const std::string version = std::to_string(aConfiguration.version);
    const bool isApplied = this->cluster.ApplyConfigurationIfNewer(std::move(aConfiguration));
    this->log.WriteAlways(
      aNow, "configuration", isApplied ? "in-force" : "not-newer", { { "version", version } });
    if (isApplied) {
      this->coordinator.ApplyShares(aNow);
    }
  }

  typename Follower::Handlers ServerHandlers()
  {
    return { [this](Instant aNow, const auto& aRows) { this->ApplyServerList(aNow, aRows); },
             [this](Instant aNow, const auto& aRows) { this->ApplyServerChanges(aNow, aRows); },
             [](Instant) {} };
  }

  void ApplyServerList(Instant aNow, const std::vector<StoredRow>& aRows)
  {
    std::set<ServerId> listedServers;
    for (const StoredRow& row : aRows) {
      listedServers.insert(ServerId(row.key));
    }
    for (const auto& [id, server] : this->cluster.Servers()) {
      if (!listedServers.contains(id)) {
        this->ScheduleRemoval(aNow, id);
      }
    }
    this->ApplyServerChanges(aNow, aRows);
    this->cluster.SetServerListRead();
  }

  void ApplyServerChanges(Instant aNow, const std::vector<StoredRow>& aRows)
  {
    for (const StoredRow& row : aRows) {
      const ServerId id(row.key);
      if (row.isRemoved) {
        this->ScheduleRemoval(aNow, id);
        continue;
      }
      const auto server = Decoder::DecodeServerRow(row);
      if (!server) {
        this->log.Write(
          aNow, "servers", "unreadable", { { "server", row.key }, { "why", server.error() } });
        continue;
      }
      this->pendingRemovals.erase(id);
      const ServerRecord* knownRecord = this->cluster.Find(id);
      if (knownRecord == nullptr || !(*knownRecord == *server)) {
        this->log.WriteAlways(aNow,
                              "servers",
                              "changed",
                              { { "server", row.key },
                                { "group", server->group.Text() },
                                { "domain", server->domain.Text() },
                                { "state", std::string(NameOf(kServerStateNames, server->state)) },
                                { "role", std::string(NameOf(kServerRoleNames, server->role)) } });
      }
      if (knownRecord != nullptr && knownRecord->startedAtMs != server->startedAtMs) {
        this->health.Forget(id);
      }
      this->cluster.PutServer(*server, aNow);
    }
  }

  void ScheduleRemoval(Instant aNow, const ServerId& aId)
  {
    if (this->cluster.Find(aId) == nullptr ||
        !this->pendingRemovals.try_emplace(aId, aNow).second) {
      return;
    }
    this->log.WriteAlways(aNow, "servers", "entry-gone", { { "server", aId.Text() } });
  }

  void RemoveUnlistedServers(Instant aNow)
  {
    std::erase_if(this->pendingRemovals, [&](const auto& aEntry) {
      if (aNow - aEntry.second < kRemovalDelay) {
        return false;
      }
      this->cluster.RemoveServer(aEntry.first, aNow);
      this->health.Forget(aEntry.first);
      this->replicaPositions.Forget(aEntry.first);
      return true;
    });
  }

  void OnFleetRead(Instant aNow)
  {
    this->UpdateFleetSize(aNow);
    this->driver.Step(aNow, this->coordinator.PromotionLeaseEnd());
  }

  /** Divides the servers' connections among the VMs whose lease has not expired. */
  void UpdateFleetSize(Instant aNow)
  {
    if (!this->coordinator.IsReady(aNow)) {
      this->pool.SetFleetSize(std::nullopt);
      return;
    }
    const auto& members = this->fleet.Members();
    const auto liveCount = std::count_if(members.begin(), members.end(), [&](const auto& aEntry) {
      return !this->fleet.HasMemberExpired(aEntry.first);
    });
    this->pool.SetFleetSize(std::max<std::size_t>(1, static_cast<std::size_t>(liveCount)));
  }

  void RunPeriodicChecks(Instant aNow)
  {
    this->UpdateFleetSize(aNow);
    this->RemoveUnlistedServers(aNow);
    this->cluster.ExpireNotPrimaryMarks(aNow);
    this->confirmationExchange.Step(aNow);
    this->prober.Step(aNow, [&](const DatabaseName& aGroup) {
      return this->positionExchange.Fetch(aNow, aGroup, ServerProber<Network>::kMaxPositionAge);
    });
    this->coordinator.SetUnreachablePrimaries(aNow, this->prober.UnreachablePrimaries(aNow));
    this->coordinator.SetPromotionPending(aNow, this->driver.NeedsPromotion(aNow));
    this->driver.Step(aNow, this->coordinator.PromotionLeaseEnd());
    this->pool.CloseUnused(aNow, this->settings.idleConnectionTimeout);
    this->scheduler.Schedule(aNow + kCheckPeriod,
                             [this](Instant aThen) { this->RunPeriodicChecks(aThen); });
  }

  ProxySettings settings;
  Scheduler& scheduler;
  EventLog& log;
  ClusterState cluster;
  ServerHealth health;
  PositionTable positions;
  ReplicaPositions replicaPositions;
  ServerChooser chooser;
  OrganisationBuckets buckets;
  FleetView fleet;
  ServerPool<Network> pool;
  ServerProber<Network> prober;
  PromotionDriver<Network, Store, Orders> driver;
  Throttler throttler;
  TokenExchange<Messenger> tokenExchange;
  PositionExchange<Messenger> positionExchange;
  OperatorTableDigest operatorDigest;
  ConfigurationConfirmationExchange<Messenger> confirmationExchange;
  FleetCoordinator<Store> coordinator;
  std::set<FailureDomainName> evacuatedDomains;
  /** Servers whose rows have disappeared, each with the instant at which this was seen. */
  std::map<ServerId, Instant> pendingRemovals;
  Follower operatorFollower;
  Follower serverFollower;
  SessionContext<Network> context;
};

} // namespace mustardshift::proxy
