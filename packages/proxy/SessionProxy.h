#pragma once

#include "core/base/Instant.h"
#include "proxy/ProxySettings.h"
#include "proxy/RecordDecoder.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/coordination/AttachmentExchange.h"
#include "proxy/coordination/EraCheckedStore.h"
#include "proxy/coordination/FleetCoordinator.h"
#include "proxy/coordination/FleetRole.h"
#include "proxy/coordination/FleetView.h"
#include "proxy/coordination/PeerTableReader.h"
#include "proxy/coordination/TableCopy.h"
#include "proxy/coordination/TableFollower.h"
#include "proxy/log/EventLog.h"
#include "proxy/pool/ServerHealth.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/position/PositionExchange.h"
#include "proxy/promotion/PrimaryDemoter.h"
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

/** The session proxy of one VM, without its sockets: follows the store's tables, itself or through
    other VMs, pools connections to the database servers, promotes replicas when primaries have to
   be replaced, and creates client sessions.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network,
         EraReportingStore Store,
         PromotionOrderSender Orders,
         PeerMessenger Messenger,
         PeerTableReader Peers,
         RecordDecoder Decoder>
class SessionProxy
{
public:
  /** Period of the checks that no event triggers. */
  static constexpr Duration kCheckPeriod = std::chrono::milliseconds(200);
  /** Delay between the disappearance of a server's row and the removal of the server. Rows that
      expired while the store was unavailable are written again within about two seconds. */
  static constexpr Duration kRemovalDelay = std::chrono::milliseconds(2500);

  /** Time after a return of the store from an older copy in which operators write their rows again.
      Until then, what the rows show may be older than what was accepted. */
  static constexpr Duration kOperatorRewriteTime = std::chrono::seconds(3);

  /** In a large fleet, changes of the list of servers that come in quick succession are read
      together after this time. Many servers that start would cost a call for each change and each
      watcher. */
  static constexpr Duration kServerBurstPause = std::chrono::milliseconds(400);

  /** Precondition: all references outlive the proxy.
      @param aOnStatementEnd  called once for each statement that has ended, to record it in
                              the metrics. */
  SessionProxy(ProxySettings aSettings,
               Network& aNetwork,
               Store& aStore,
               Orders& aOrders,
               Messenger& aMessenger,
               Peers& aPeers,
               Scheduler& aScheduler,
               EventLog& aLog,
               std::function<void(const StatementOutcome&)> aOnStatementEnd)
    : settings(std::move(aSettings))
    , scheduler(aScheduler)
    , log(aLog)
    , store(aStore, aScheduler, aLog)
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
    , demoter(this->settings.vm,
              this->settings.peerAddress,
              this->settings.incarnation,
              this->pool,
              aMessenger,
              this->fleet,
              this->cluster,
              this->health,
              aScheduler,
              aLog,
              [this] { return this->attachment.AttachedAddresses(); })
    , driver(this->settings.vm,
             this->pool,
             this->demoter,
             this->store,
             aOrders,
             this->cluster,
             this->fleet,
             this->health,
             aScheduler,
             aLog)
    , throttler(this->buckets, aScheduler)
    , tokenExchange(this->settings.vm,
                    this->settings.domain,
                    this->settings.peerAddress,
                    this->settings.incarnation,
                    aMessenger,
                    this->fleet,
                    this->buckets,
                    this->throttler,
                    aScheduler)
    , positionExchange(this->settings.vm,
                       this->settings.domain,
                       this->settings.peerAddress,
                       this->settings.incarnation,
                       aMessenger,
                       this->fleet,
                       this->positions)
    , attachment(
        this->settings.vm,
        this->settings.domain,
        this->settings.peerAddress,
        this->settings.incarnation,
        this->settings.membersPerDomain,
        aMessenger,
        this->fleet,
        this->operatorCopy,
        this->serverCopy,
        this->cluster,
        [this](Instant aNow, const AttachmentAnswer& aAnswer, const std::string& aMember) {
          this->OnAttachmentAnswer(aNow, aAnswer, aMember);
        },
        [this](Instant aNow, const VmId& aMember) {
          this->tokenExchange.MarkSilent(aNow, aMember);
        })
    , coordinator(
        this->settings.vm,
        this->settings.domain,
        this->settings.peerAddress,
        this->settings.membersPerDomain,
        this->settings.processorShare,
        this->settings.incarnation ^ StableHash(this->settings.vm.Text()),
        this->store,
        this->cluster,
        this->fleet,
        this->buckets,
        aScheduler,
        aLog,
        [this](Instant aNow) { this->OnFleetRead(aNow); },
        [this](Instant aNow, FleetRole aRole) { this->OnRole(aNow, aRole); })
    , operatorFollower(this->store,
                       aPeers,
                       aScheduler,
                       aLog,
                       std::string(Decoder::kOperatorTable),
                       this->operatorCopy,
                       this->settings.configurationWatchTimeout,
                       this->OperatorHandlers())
    , serverFollower(this->store,
                     aPeers,
                     aScheduler,
                     aLog,
                     std::string(Decoder::kServerTable),
                     this->serverCopy,
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
    this->store.AddRiseHandler(
      [this](Instant aNow, std::uint64_t aEra) { this->OnEraRise(aNow, aEra); });
    this->operatorFollower.SetSkipStore(
      [this](Instant aNow) { return this->attachment.AreOperatorsCurrent(aNow); });
    this->serverFollower.SetSkipStore(
      [this](Instant aNow) { return this->attachment.AreServersCurrent(aNow); });
    this->serverFollower.SetBurstPause(
      [this] { return this->fleet.IsLarge() ? kServerBurstPause : Duration(0); });
  }
  SessionProxy(const SessionProxy&) = delete;
  SessionProxy& operator=(const SessionProxy&) = delete;
  ~SessionProxy() = default;

  /** Starts watching the store's tables and the periodic checks. Precondition: called once. */
  void Start(Instant aNow)
  {
    this->throttler.SetProcessStart(aNow);
    this->coordinator.Start(aNow);
    this->RunPeriodicChecks(aNow);
  }

  /** Whether new sessions can be served. */
  bool IsReady(Instant aNow) const
  {
    return this->cluster.IsTrusted(aNow) && this->cluster.HasServerList() && this->IsInFleet(aNow);
  }

  /** Creates a session; its Open() returns whether the client may use it. */
  std::shared_ptr<ClientSession<Network>> MakeSession(std::string aDatabase, std::string aKeyHash)
  {
    return std::make_shared<ClientSession<Network>>(
      this->context, std::move(aDatabase), std::move(aKeyHash));
  }

  /** Sets where limits that are reached are counted. aReporter has to outlive the proxy. */
  void SetLimitReporter(LimitReporter& aReporter)
  {
    this->context.limitReporter = &aReporter;
    this->attachment.SetLimits(this->settings.maxAttachedVms, &aReporter);
  }

  /** Refuses new sessions and statements from now on, because the process exits soon. */
  void RefuseStatements() { this->context.isStopping = true; }

  /** Handles a datagram that another VM sent. */
  void OnDatagram(Instant aNow, std::string_view aBytes)
  {
    if (!this->tokenExchange.OnDatagram(aNow, aBytes) &&
        !this->positionExchange.OnDatagram(aNow, aBytes) &&
        !this->attachment.OnDatagram(aNow, aBytes) && !this->demoter.OnDatagram(aNow, aBytes)) {
      this->log.Write(
        aNow, "peer", "malformed-datagram", { { "bytes", std::to_string(aBytes.size()) } });
    }
  }

  /** This VM's copy of a table, for other VMs; null if there is none, or if this VM is not a member
      and could serve an old one. */
  const TableCopy* CopyForPeers(std::string_view aTable) const
  {
    if (this->coordinator.Role() != FleetRole::Member) {
      return nullptr;
    }
    if (aTable == Decoder::kOperatorTable) {
      return this->MayBeOutdated() ? nullptr : &this->operatorCopy;
    }
    return aTable == Decoder::kServerTable ? &this->serverCopy : nullptr;
  }

  FleetRole Role() const { return this->coordinator.Role(); }
  const ClusterState& Cluster() const { return this->cluster; }
  const ServerPool<Network>& Pool() const { return this->pool; }
  const FleetView& Fleet() const { return this->fleet; }

private:
  using CheckedStore = EraCheckedStore<Store>;
  using Follower = TableFollower<CheckedStore, Peers>;

  /** Whether this VM may use its part of what the VMs share: rates and connections. */
  bool IsInFleet(Instant aNow) const
  {
    return this->coordinator.Role() == FleetRole::Attached ? this->attachment.HasMember(aNow)
                                                           : this->coordinator.HasLease(aNow);
  }

  /** Handles that the store has returned from an older copy. What may be gone is read again at
      once, since watches that are open can take seconds to fail. */
  void OnEraRise(Instant aNow, std::uint64_t aEra)
  {
    // Before the FleetView drops what the decision depends on.
    this->driver.OnEraRise(aNow);
    this->coordinator.OnEraRise(aNow, aEra);
    this->operatorFollower.Refresh(aNow);
    this->serverFollower.Refresh(aNow);
  }

  void OnRole(Instant aNow, FleetRole aRole)
  {
    this->attachment.SetRole(aNow, aRole);
    this->operatorFollower.SetStoreIsFallback(aRole == FleetRole::Attached);
    this->serverFollower.SetStoreIsFallback(aRole == FleetRole::Attached);
    if (!this->areFollowersStarted) {
      this->areFollowersStarted = true;
      this->operatorFollower.Start(aNow);
      this->serverFollower.Start(aNow);
    }
  }

  void OnAttachmentAnswer(Instant aNow,
                          const AttachmentAnswer& aAnswer,
                          const std::string& aMemberAddress)
  {
    if (this->coordinator.Role() == FleetRole::Attached) {
      this->fleet.ApplyRoster(aNow, aAnswer.roster);
    }
    if (aAnswer.operatorDigest != this->operatorCopy.Digest()) {
      this->operatorFollower.ReadFromPeer(aNow, aMemberAddress);
    }
    if (aAnswer.serverDigest != this->serverCopy.Digest()) {
      this->serverFollower.ReadFromPeer(aNow, aMemberAddress);
    }
    this->coordinator.OnRoster(aNow, aAnswer.isInvited);
  }

  typename Follower::Handlers OperatorHandlers()
  {
    return { [this](Instant aNow, const auto& aRows) {
              this->NoteOperatorEra(aNow);
              // An evacuation that is in force stays so until its row can be expected again.
              if (!this->isRewriteAwaited) {
                this->evacuatedDomains.clear();
              }
              this->ApplyOperatorRows(aNow, aRows);
              this->attachment.NoteOperatorsRead(aNow);
              this->attachment.NotifyFollowers();
            },
             [this](Instant aNow, const auto& aRows) {
               if (!aRows.empty()) {
                 this->ApplyOperatorRows(aNow, aRows);
                 this->attachment.NotifyFollowers();
               }
             },
             [this](Instant aAsOf) {
               if (!this->MayBeOutdated()) {
                 this->cluster.Confirm(aAsOf);
                 this->attachment.SendConfirmations();
               }
             } };
  }

  /** Handles that a whole operators' table was read. If it is of a later era than the one before,
      its rows may be older than what was accepted, until the operators have written them again. */
  void NoteOperatorEra(Instant aNow)
  {
    const std::uint64_t era = this->operatorCopy.Version().era;
    const std::uint64_t previous = std::exchange(this->operatorEra, era);
    // Reset by ApplyConfiguration() if the table has a configuration that is not older.
    this->isConfigurationBehind = era != 0 && this->cluster.HasConfiguration();
    if (era <= previous || !this->cluster.HasConfiguration()) {
      return;
    }
    this->isRewriteAwaited = true;
    this->scheduler.Schedule(aNow + kOperatorRewriteTime, [this, era](Instant aThen) {
      if (era == this->operatorEra) {
        this->isRewriteAwaited = false;
        this->operatorFollower.Refresh(aThen);
      }
    });
  }

  /** Whether the copy of the operators' table may lack what was accepted: the store has returned
     from an older copy, and this VM or another one has a newer configuration in force, or rows that
      operators write again can still be missing. */
  bool MayBeOutdated() const
  {
    return this->isRewriteAwaited || this->isConfigurationBehind ||
           this->fleet.MayHaveNewerConfiguration(this->settings.vm,
                                                 this->cluster.Configuration().version);
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
    const bool isOlder = aConfiguration.version < this->cluster.Configuration().version;
    this->isConfigurationBehind = isOlder && this->operatorEra != 0;
    const std::string unusable = std::to_string(aConfiguration.unusableOrganisations);
    const bool isApplied = this->cluster.ApplyConfigurationIfNewer(std::move(aConfiguration));
    this->log.WriteAlways(aNow,
                          "configuration",
                          isApplied ? "in-force" : "not-newer",
                          { { "version", version }, { "unusable_organisations", unusable } });
    if (isApplied) {
      this->coordinator.ApplyShares(aNow);
    }
  }

  typename Follower::Handlers ServerHandlers()
  {
    return { [this](Instant aNow, const auto& aRows) {
              this->ApplyServerList(aNow, aRows);
              this->attachment.NoteServersRead(aNow);
              this->attachment.NotifyFollowers();
            },
             [this](Instant aNow, const auto& aRows) {
               if (!aRows.empty()) {
                 this->ApplyServerChanges(aNow, aRows);
                 this->attachment.NotifyFollowers();
               }
             },
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
        // The entry names no server to use. One that is in use is kept for a while, since it writes
        // its entry again with its next heartbeat.
        this->log.Write(
          aNow, "servers", "unreadable", { { "server", row.key }, { "why", server.error() } });
        this->ScheduleRemoval(aNow, id);
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
    this->driver.OnServersChanged(aNow);
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
    this->attachment.UpdateWatcher(aNow);
    this->UpdateFleetSize(aNow);
    this->driver.Step(aNow, this->coordinator.PromotionLeaseEnd());
  }

  /** Divides the servers' connections among the VMs. */
  void UpdateFleetSize(Instant aNow)
  {
    this->pool.SetFleetSize(this->IsInFleet(aNow) ? std::optional(this->fleet.VmCount())
                                                  : std::nullopt);
  }

  void RunPeriodicChecks(Instant aNow)
  {
    // First, so that an exception does not end the checks.
    this->scheduler.Schedule(aNow + kCheckPeriod,
                             [this](Instant aThen) { this->RunPeriodicChecks(aThen); });
    this->UpdateFleetSize(aNow);
    this->RemoveUnlistedServers(aNow);
    this->cluster.ExpireNotPrimaryMarks(aNow);
    this->attachment.Step(aNow);
    this->coordinator.SetAttachedVms(this->attachment.AttachedCount());
    if (this->coordinator.Role() == FleetRole::Attached && !this->attachment.HasMember(aNow)) {
      this->coordinator.Reconsider(aNow);
    }
    this->prober.Step(aNow, [&](const DatabaseName& aGroup) {
      return this->positionExchange.MustProbe(aNow, aGroup);
    });
    this->positionExchange.SendRequests(aNow);
    this->coordinator.SetUnreachablePrimaries(aNow, this->prober.UnreachablePrimaries(aNow));
    this->coordinator.SetPromotionPending(aNow, this->driver.NeedsPromotion(aNow));
    this->driver.Step(aNow, this->coordinator.PromotionLeaseEnd());
    this->pool.CloseUnused(aNow, this->settings.idleConnectionTimeout);
  }

  ProxySettings settings;
  Scheduler& scheduler;
  EventLog& log;
  CheckedStore store;
  ClusterState cluster;
  ServerHealth health;
  PositionTable positions;
  ReplicaPositions replicaPositions;
  ServerChooser chooser;
  OrganisationBuckets buckets;
  FleetView fleet;
  ServerPool<Network> pool;
  ServerProber<Network> prober;
  PrimaryDemoter<Network, Messenger> demoter;
  PromotionDriver<Network, CheckedStore, Orders, Messenger> driver;
  Throttler throttler;
  TokenExchange<Messenger> tokenExchange;
  PositionExchange<Messenger> positionExchange;
  TableCopy operatorCopy;
  TableCopy serverCopy;
  AttachmentExchange<Messenger> attachment;
  FleetCoordinator<CheckedStore> coordinator;
  std::set<FailureDomainName> evacuatedDomains;
  /** Era of the latest read of the whole operators' table. */
  std::uint64_t operatorEra = 0;
  /** Rows that operators write again after a return of the store can be missing. */
  bool isRewriteAwaited = false;
  /** The table has an older configuration than the one in force, or none. */
  bool isConfigurationBehind = false;
  /** Servers whose rows have disappeared, each with the instant at which this was seen. */
  std::map<ServerId, Instant> pendingRemovals;
  bool areFollowersStarted = false;
  Follower operatorFollower;
  Follower serverFollower;
  SessionContext<Network> context;
};

} // namespace mustardshift::proxy
