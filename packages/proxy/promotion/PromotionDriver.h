#pragma once

#include "core/base/Instant.h"
#include "core/base/NameTable.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/coordination/FleetView.h"
#include "proxy/coordination/TableStore.h"
#include "proxy/log/EventLog.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/promotion/ChooseCandidate.h"
#include "proxy/promotion/PrimaryDemoter.h"
#include "proxy/promotion/PromotionOrderSender.h"
#include "proxy/promotion/PromotionReason.h"
#include "proxy/promotion/PromotionRecord.h"
#include "proxy/promotion/PromotionRecords.h"
#include "proxy/promotion/ServerPoller.h"
#include "proxy/schedule/Scheduler.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** Replaces primaries: claims the promotion lease, finds the replica that has received most of the
    log, and orders the platform to promote it.

    The lease row names one holder. Before each order it is written on condition of its version, and
    the era and the version of that write are the fencing token, so that an order whose answer was
    lost can't take effect after a later one. The holder keeps the lease as long as it renews its
    own row in the fleet table, and sends orders only until the lease expires.

    In groups whose commits are acknowledged once replicas have received them, a promotion has these
    steps, so that the old primary can't acknowledge a commit that the promoted replica lacks:

    1. The replicas are asked for their positions. If too few answer, the attempt ends.
    2. The promotion is stored as open (PromotionRecord). An order without an answer may be carried
       out seconds later, so an open promotion is never given up: the holder of the lease repeats
       the steps until another server leads the group.
    3. The primary is demoted by a VM that reaches it. This comes before the pause, during which
       commits that wait for replicas hold the connections to the primary.
    4. The replicas are asked again, with those that have been listed since, and paused. A primary
       that no VM reaches can't acknowledge commits through a paused replica.
    5. The order is sent. Until another server leads, each replica that appears is paused.

    A promotion ends the pause; where none follows, the holder ends it.

    A replica that is silent, or that has left, may hold commits that were acknowledged through it
    alone. It therefore goes on counting when its entry is gone (UpdateReplicas()), until enough of
    the others were seen to have received what the primary had after that. A primary that has just
    taken the lead may hold acknowledged commits alone in the same way
    (PromotionRecord::requiredOffset).

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network,
         TableStore Store,
         PromotionOrderSender Orders,
         PeerMessenger Messenger>
class PromotionDriver
{
public:
  /** Pause after an accepted order. The new primary appears in the list of servers within this
      time. */
  static constexpr Duration kAcceptedPause = std::chrono::seconds(3);
  /** Pause after a failed attempt. */
  static constexpr Duration kFailedPause = std::chrono::milliseconds(500);
  /** Interval at which the replicas of a group that needs no new primary are checked for a pause.
      Covers a pause command of an earlier holder that arrived late. */
  static constexpr Duration kResumeInterval = std::chrono::seconds(30);
  /** Time between the demotion of a primary that still served and the final positions. A replica
      that confirmed a commit just before the demotion is listed by then. */
  static constexpr Duration kListingDelay = std::chrono::milliseconds(100);
  /** Interval between the checks whether the other replicas have all that a silent one can hold. */
  static constexpr Duration kAbsenceCheckInterval = std::chrono::seconds(1);
  /** Time in which a replica receives what the primary had when it was asked. */
  static constexpr Duration kCatchUpDelay = std::chrono::milliseconds(250);

  /** All arguments have to outlive the driver. */
  PromotionDriver(VmId aSelf,
                  ServerPool<Network>& aPool,
                  PrimaryDemoter<Network, Messenger>& aDemoter,
                  Store& aStore,
                  Orders& aOrders,
                  ClusterState& aCluster,
                  FleetView& aFleet,
                  ServerHealth& aHealth,
                  Scheduler& aScheduler,
                  EventLog& aLog)
    : self(std::move(aSelf))
    , store(aStore)
    , orders(aOrders)
    , cluster(aCluster)
    , fleet(aFleet)
    , scheduler(aScheduler)
    , log(aLog)
    , demoter(aDemoter)
    , poller(aPool, aCluster, aHealth, aScheduler)
    , records(aStore, aLog)
  {
  }
  PromotionDriver(const PromotionDriver&) = delete;
  PromotionDriver& operator=(const PromotionDriver&) = delete;
  ~PromotionDriver() = default;

  /** Claims the promotion lease if it is this VM's turn; if this VM holds the lease, starts the
      promotions that are due.
      @param aLeaseUntil  end of the promotion lease, if this VM holds the lease. */
  void Step(Instant aNow, Instant aLeaseUntil)
  {
    this->leaseUntil = aLeaseUntil;
    this->LogHolderChange(aNow);
    if (!this->IsHolder(aNow)) {
      // Claims the lease before any promotion is needed, so that no promotion has to wait for the
      // lease.
      if (aNow < aLeaseUntil && this->MayClaimNow(aNow)) {
        this->ClaimPromotionLease();
      }
      // Another holder can pause replicas and then stop. If this VM takes the lease over, it ends
      // such a pause.
      for (auto& [group, state] : this->groupStates) {
        state.nextResumeAt = aNow;
      }
      // The next holder may change the records.
      this->ForgetCompletePositions();
      this->records.Unload();
      return;
    }
    if (!this->cluster.Configuration().syncReplicas.empty() && !this->records.IsLoaded() &&
        aNow >= this->nextLoadAt) {
      this->nextLoadAt = aNow + kFailedPause;
      this->records.Load([this](Instant aThen) { this->Step(aThen, this->leaseUntil); });
    }
    this->RemoveUnusedRecord();
    for (const auto& [group, limit] : this->cluster.Configuration().connectionLimits) {
      this->StepGroup(aNow, group);
    }
  }

  /** Handles that the store has returned from an older copy: the lease row and the records may be
      gone, and are read again before this VM acts. Precondition: the FleetView still has what it
      knew before. Thread safety: as for the object. */
  void OnEraRise(Instant aNow)
  {
    const bool isHolder = this->IsHolder(aNow);
    if (!isHolder) {
      this->ForgetCompletePositions();
    }
    this->records.OnEraRise(isHolder);
    this->fleet.OnEraRise(aNow, isHolder);
  }

  /** Handles a change of the list of servers. Precondition: the ClusterState has it. Thread safety:
     as for the object. */
  void OnServersChanged(Instant aNow)
  {
    if (!this->IsHolder(aNow)) {
      return;
    }
    for (const auto& [group, syncReplicas] : this->cluster.Configuration().syncReplicas) {
      GroupState& state = this->groupStates[group];
      if (std::exchange(state.isWaitingForReplicas, false)) {
        // One that was missing may be back.
        state.nextAttemptAt = aNow;
      }
      this->StepGroup(aNow, group);
    }
  }

  /** Whether any group needs a new primary; the fleet table is then read more often. */
  bool NeedsPromotion(Instant aNow) const
  {
    for (const auto& [group, limit] : this->cluster.Configuration().connectionLimits) {
      if (FindPromotionReason(aNow, group, this->cluster, this->fleet)) {
        return true;
      }
    }
    return false;
  }

private:
  using Replies = typename ServerPoller<Network>::Replies;

  /** State of the promotion in one group. */
  struct GroupState
  {
    bool isRunning = false;
    /** The primary is being demoted. A pause before that would take the connections that the
       command needs. */
    bool isDemoting = false;
    /** A command to resume is on its way to a replica; a pause could overtake it. */
    bool isResuming = false;
    Instant nextAttemptAt{};
    /** See PromotionCandidates; nothing if this VM has not ordered the open promotion. */
    std::optional<LogPosition> completePosition;
    /** Processes that the replicas had when they were asked, by their starts. */
    std::map<ServerId, std::int64_t> askedProcesses;
    PromotionCandidates candidates;
    /** Servers whose promotion the platform has rejected since the group began to need a new
        primary. */
    std::set<ServerId> rejectedCandidates;
    /** Newest term in which a replica receives. */
    std::uint64_t ledTerm = 0;
    /** Term above the newest one that the replicas know. */
    std::uint64_t nextTerm = 0;
    /** The primary that was listed last; empty if none was, or if it is a replica by now. */
    ServerId latestPrimary;
    /** Why the group needed a new primary when this was last checked. */
    std::optional<PromotionReason> latestReason;
    /** The latest attempt ended because too few replicas had answered. */
    bool isWaitingForReplicas = false;
    /** Instant from which the replicas that count are stored again after a failed write. */
    Instant nextStoreAt{};
    Instant nextAbsenceCheckAt{};
    /** Server that the latest accepted order names, and when it was accepted. */
    ServerId confirmedPrimary;
    Instant confirmedAt{};
    /** Replicas that were told to pause, and that no promotion or command has resumed since. */
    std::set<ServerId> pausedReplicas;
    /** Instant from which the replicas are told to receive again, unless a primary is needed. */
    Instant nextResumeAt{};
  };

  void ForgetCompletePositions()
  {
    for (auto& [group, state] : this->groupStates) {
      state.completePosition.reset();
    }
  }

  void StepGroup(Instant aNow, const DatabaseName& aGroup)
  {
    GroupState& state = this->groupStates[aGroup];
    this->NotePrimary(aGroup, state);
    if (this->IsOrderOpen(aGroup) && !this->HasNewPrimary(aGroup)) {
      this->PauseNewReplicas(aNow, aGroup);
    }
    // Without the record it is unknown whether the replicas may receive.
    if (state.isRunning || state.isResuming ||
        (this->IsSynchronous(aGroup) && !this->records.IsLoaded())) {
      return;
    }
    if (const auto lost = this->records.LostRecord(aGroup)) {
      if (aNow >= state.nextStoreAt) {
        this->WriteRecord(aNow, aGroup, *lost);
      }
      return;
    }
    if (this->IsOrderOpen(aGroup) && this->HasNewPrimary(aGroup)) {
      this->OnNewPrimary(aNow, aGroup, *this->cluster.PrimaryOf(aGroup));
      return;
    }
    const bool isOutdated = this->IsSynchronous(aGroup) && this->records.IsOutdated(aGroup);
    if (this->IsSynchronous(aGroup) && !isOutdated && this->StoreReplicas(aNow, aGroup)) {
      return;
    }
    if (aNow < state.nextAttemptAt) {
      return;
    }
    if (this->IsOrderOpen(aGroup)) {
      this->RepeatPromotion(aNow, aGroup);
      return;
    }
    const auto reason = this->FindReason(aNow, aGroup);
    if (!reason) {
      state.rejectedCandidates.clear();
      if (isOutdated) {
        this->VerifyRecord(aNow, aGroup);
        return;
      }
      this->ResumeReplicas(aNow, aGroup);
      this->CheckAbsentReplicas(aNow, aGroup);
      return;
    }
    if (*reason == PromotionReason::Leaving && !isOutdated) {
      // The primary still serves. Without these, one that leaves just after a replica would never
      // be replaced.
      this->ResumeReplicas(aNow, aGroup);
      this->CheckAbsentReplicas(aNow, aGroup);
      if (state.isResuming) {
        return;
      }
    }
    this->CollectPositions(aNow, aGroup, *reason);
  }

  /** Ends an open promotion once the server that the latest order names leads. If another one does,
      the latest order may still be carried out: an order for the present primary supersedes it, and
      takes effect at once. */
  void OnNewPrimary(Instant aNow, const DatabaseName& aGroup, const ServerId& aPrimary)
  {
    GroupState& state = this->groupStates[aGroup];
    const bool isConfirmed =
      aPrimary == state.confirmedPrimary && aNow >= state.confirmedAt + kAcceptedPause;
    if (aPrimary == this->records.Of(aGroup).candidate || isConfirmed) {
      this->CloseRecord(aNow, aGroup);
    } else if (aNow >= state.nextAttemptAt) {
      state.isRunning = true;
      this->Order(aGroup, aPrimary);
    }
  }

  /** The process that leads or, if none is listed, led last. A record that the store has lost later
      versions of may name an earlier one. */
  ServerProcess LatestLeader(const DatabaseName& aGroup) const
  {
    if (const auto primary = this->cluster.PrimaryOf(aGroup)) {
      return { *primary, this->cluster.Find(*primary)->startedAtMs };
    }
    return this->records.IsOutdated(aGroup) ? ServerProcess()
                                            : this->records.Of(aGroup).formerPrimary;
  }

  /** The server that led last, if its process is listed as a replica; it may be promoted again. */
  std::optional<ServerId> FormerPrimary(const DatabaseName& aGroup) const
  {
    const ServerProcess process = this->LatestLeader(aGroup);
    const ServerRecord* server = this->cluster.Find(process.id);
    const bool isReplica = server != nullptr && server->role == ServerRole::Replica &&
                           server->startedAtMs == process.startedAtMs;
    return isReplica ? std::optional(process.id) : std::nullopt;
  }

  /** Notes the former primary as a candidate if it has answered that it is a replica, and no other
      server that has answered knows of a later term. */
  void NoteFormerPrimary(const DatabaseName& aGroup, const Replies& aReplies)
  {
    auto& candidates = this->groupStates[aGroup].candidates;
    candidates.formerPrimary.reset();
    const auto former = this->FormerPrimary(aGroup);
    const auto answer = former ? aReplies.find(*former) : aReplies.end();
    if (answer == aReplies.end() || !answer->second.serverStatus ||
        answer->second.serverStatus->isPrimary) {
      return;
    }
    const std::uint64_t term = answer->second.serverStatus->term;
    const bool isLatest = std::all_of(aReplies.begin(), aReplies.end(), [&](const auto& aEntry) {
      return !aEntry.second.serverStatus || aEntry.second.serverStatus->term <= term;
    });
    if (isLatest && term >= this->records.Of(aGroup).term) {
      candidates.formerPrimary = former;
    }
  }

  /** Sends another order for an open promotion. The primary is demoted and the replicas are paused
      before anything is decided, since the old primary may be back. */
  void RepeatPromotion(Instant aNow, const DatabaseName& aGroup)
  {
    GroupState& state = this->groupStates[aGroup];
    const PromotionRecord& record = this->records.Of(aGroup);
    this->log.WriteAlways(aNow,
                          "promotion",
                          "needed",
                          { { "group", aGroup.Text() },
                            { "why", "order open" },
                            { "primary", record.primary.Text() } });
    state.isRunning = true;
    state.ledTerm = record.term;
    this->DemotePrimary(aNow, aGroup);
  }

  /** Why the group needs a new primary. If the entry of a primary lapses that had to be replaced,
      this goes on without another delay. */
  std::optional<PromotionReason> FindReason(Instant aNow, const DatabaseName& aGroup)
  {
    GroupState& state = this->groupStates[aGroup];
    auto reason = FindPromotionReason(aNow, aGroup, this->cluster, this->fleet);
    if (!reason && state.latestReason && this->cluster.WithoutPrimarySince(aGroup)) {
      reason = PromotionReason::Missing;
    }
    state.latestReason = reason;
    return reason;
  }

  /** Removes the record of a group that the configuration does not have, at most one at a time. */
  void RemoveUnusedRecord()
  {
    if (!this->records.IsLoaded() || !this->cluster.HasConfiguration()) {
      return;
    }
    const auto& groups = this->cluster.Configuration().connectionLimits;
    this->records.RemoveOne([&](const DatabaseName& aGroup) { return !groups.contains(aGroup); });
  }

  std::vector<ServerRecord> ListedServers(const DatabaseName& aGroup) const
  {
    std::vector<ServerRecord> servers;
    for (const ServerId& id : this->cluster.ServersOf(aGroup)) {
      servers.push_back(*this->cluster.Find(id));
    }
    return servers;
  }

  /** The replicas that count for a promotion now. */
  RecordedReplicas CurrentReplicas(const DatabaseName& aGroup) const
  {
    return UpdateReplicas(this->records.Of(aGroup).replicas,
                          this->ListedServers(aGroup),
                          this->ReplacedPrimary(aGroup));
  }

  /** Stores the primary and the replicas that count, if they have changed. Returns whether a write
      was started. */
  bool StoreReplicas(Instant aNow, const DatabaseName& aGroup)
  {
    if (aNow < this->groupStates[aGroup].nextStoreAt || !this->cluster.HasServerList()) {
      return false;
    }
    PromotionRecord record = this->records.Of(aGroup);
    record.replicas = this->CurrentReplicas(aGroup);
    if (!record.isOrderOpen) {
      record.primary = this->groupStates[aGroup].latestPrimary;
      record.formerPrimary = this->LatestLeader(aGroup);
    }
    if (record == this->records.Of(aGroup)) {
      return false;
    }
    if (record.replicas != this->records.Of(aGroup).replicas) {
      // One that is gone should count no longer than necessary.
      this->groupStates[aGroup].nextAbsenceCheckAt = aNow;
    }
    this->WriteRecord(aNow, aGroup, record);
    return true;
  }

  /** Writes a record outside a promotion; no attempt starts meanwhile, since writes of one row must
      not overlap. */
  void WriteRecord(Instant aNow, const DatabaseName& aGroup, const PromotionRecord& aRecord)
  {
    GroupState& state = this->groupStates[aGroup];
    state.isRunning = true;
    state.nextStoreAt = aNow + kFailedPause;
    this->records.Write(aGroup, aRecord, [this, aGroup](Instant aThen, bool aIsStored) {
      GroupState& state = this->groupStates[aGroup];
      state.isRunning = false;
      if (aIsStored) {
        state.nextStoreAt = aThen;
        this->StepGroupIfHolder(aThen, aGroup);
      }
    });
  }

  /** Finds out whether an order may be open although the record does not say so, since the store
      has lost later versions of it: an order is preceded by a pause of the replicas, which only its
      promotion ends. */
  void VerifyRecord(Instant aNow, const DatabaseName& aGroup)
  {
    const std::set<ServerId> replicas = this->ReplicasOf(aGroup);
    if (replicas.empty()) {
      return;
    }
    this->groupStates[aGroup].isRunning = true;
    ServerCommand status;
    status.kind = ServerCommandKind::Status;
    this->poller.Run(
      aNow,
      replicas,
      status,
      true,
      [this, aGroup, count = replicas.size()](Instant aThen, const Replies& aReplies) {
        this->EndAttempt(aThen, aGroup, kFailedPause);
        if (!this->IsHolder(aThen) || !this->records.IsLoaded()) {
          return;
        }
        PromotionRecord record = this->records.Of(aGroup);
        record.replicas = this->CurrentReplicas(aGroup);
        record.primary = this->groupStates[aGroup].latestPrimary;
        record.formerPrimary = this->LatestLeader(aGroup);
        for (const auto& [replica, reply] : aReplies) {
          if (reply.serverStatus) {
            record.isOrderOpen = record.isOrderOpen || reply.serverStatus->pausedTerm > 0;
            record.term = std::max(record.term, reply.serverStatus->term);
          }
        }
        if (record.isOrderOpen || aReplies.size() == count) {
          this->log.WriteAlways(
            aThen,
            "promotion",
            "record-verified",
            { { "group", aGroup.Text() }, { "order", record.isOrderOpen ? "open" : "none" } });
          this->WriteRecord(aThen, aGroup, record);
        }
      });
  }

  void StepGroupIfHolder(Instant aNow, const DatabaseName& aGroup)
  {
    if (this->IsHolder(aNow)) {
      this->StepGroup(aNow, aGroup);
    }
  }

  /** Finds out whether the listed replicas have all that only one that is gone or the primary may
      hold: asks the primary for its position and, after kCatchUpDelay, the replicas for theirs. */
  void CheckAbsentReplicas(Instant aNow, const DatabaseName& aGroup)
  {
    GroupState& state = this->groupStates[aGroup];
    const auto primary = this->cluster.PrimaryOf(aGroup);
    const std::set<ServerProcess> gone = this->GoneReplicas(aGroup);
    const bool isCovered = gone.empty() && this->records.Of(aGroup).requiredOffset == 0;
    if (isCovered || !primary || aNow < state.nextAbsenceCheckAt) {
      return;
    }
    state.nextAbsenceCheckAt = aNow + kAbsenceCheckInterval;
    ServerCommand status;
    status.kind = ServerCommandKind::Status;
    this->poller.Run(
      aNow,
      { *primary },
      status,
      true,
      [this, aGroup, gone, status, primary = *primary](Instant aThen, const Replies& aReplies) {
        const auto reply = aReplies.find(primary);
        if (reply == aReplies.end() || !reply->second.serverStatus ||
            !reply->second.serverStatus->isPrimary) {
          return;
        }
        this->scheduler.Schedule(
          aThen + kCatchUpDelay,
          [this, aGroup, gone, status, position = reply->second.serverStatus->receivedPosition](
            Instant aLater) {
            const std::set<ServerId> replicas = this->ReplicasOf(aGroup);
            if (replicas.empty()) {
              return;
            }
            this->poller.Run(
              aLater,
              replicas,
              status,
              true,
              [this, aGroup, gone, position](Instant aLast, const Replies& aPositions) {
                this->ForgetIfReplaceable(aLast, aGroup, gone, position, aPositions);
              });
          });
      });
  }

  std::set<ServerProcess> GoneReplicas(const DatabaseName& aGroup) const
  {
    std::set<ServerProcess> gone;
    for (const auto& [process, replica] : this->records.Of(aGroup).replicas) {
      if (replica.IsGone()) {
        gone.insert(process);
      }
    }
    return gone;
  }

  /** Lets replicas that are gone no longer count, and drops the required offset, if so many of the
      others have all that the primary had that one of these answers before each promotion.
      @param aPosition  end of the primary's log after the replicas were gone. */
  void ForgetIfReplaceable(Instant aNow,
                           const DatabaseName& aGroup,
                           const std::set<ServerProcess>& aGone,
                           LogPosition aPosition,
                           const Replies& aReplies)
  {
    const auto complete = std::count_if(aReplies.begin(), aReplies.end(), [&](const auto& aEntry) {
      const auto& status = aEntry.second.serverStatus;
      return status && status->receivedPosition >= aPosition;
    });
    const std::size_t needed =
      std::min(this->SyncReplicasOf(aGroup), this->ReplicasOf(aGroup).size());
    if (!this->IsHolder(aNow) || !this->records.IsLoaded() || this->IsOrderOpen(aGroup) ||
        this->groupStates[aGroup].isRunning || std::cmp_less(complete, needed)) {
      return;
    }
    PromotionRecord record = this->records.Of(aGroup);
    std::erase_if(record.replicas, [&](const auto& aEntry) {
      return aEntry.second.IsGone() && aGone.contains(aEntry.first);
    });
    record.requiredOffset = 0;
    this->log.WriteAlways(aNow,
                          "promotion",
                          "replicas-complete",
                          { { "group", aGroup.Text() }, { "gone", std::to_string(aGone.size()) } });
    this->WriteRecord(aNow, aGroup, record);
  }

  std::size_t SyncReplicasOf(const DatabaseName& aGroup) const
  {
    const auto& syncReplicas = this->cluster.Configuration().syncReplicas;
    const auto entry = syncReplicas.find(aGroup);
    const std::size_t count = entry == syncReplicas.end() ? 0 : entry->second;
    return this->IsOrderOpen(aGroup) ? std::max<std::size_t>(1, count) : count;
  }

  /** Whether commits of the group are acknowledged once replicas have received them. An open
      promotion ends as it began, whatever the configuration says by then. */
  bool IsSynchronous(const DatabaseName& aGroup) const
  {
    return this->cluster.Configuration().syncReplicas.contains(aGroup) || this->IsOrderOpen(aGroup);
  }

  bool IsOrderOpen(const DatabaseName& aGroup) const
  {
    return this->records.Of(aGroup).isOrderOpen;
  }

  /** Remembers the primary that was listed last, since its entry can be gone when it has to be
      replaced. */
  void NotePrimary(const DatabaseName& aGroup, GroupState& aState) const
  {
    if (const auto primary = this->cluster.PrimaryOf(aGroup)) {
      aState.latestPrimary = *primary;
      return;
    }
    if (aState.latestPrimary.Text().empty()) {
      aState.latestPrimary = this->records.Of(aGroup).primary;
    }
    const ServerRecord* server = this->cluster.Find(aState.latestPrimary);
    if (server != nullptr && server->role == ServerRole::Replica) {
      aState.latestPrimary = ServerId();
    }
  }

  /** Whether a server is listed as the primary that is not the one being replaced. */
  bool HasNewPrimary(const DatabaseName& aGroup) const
  {
    const std::optional<ServerId> primary = this->cluster.PrimaryOf(aGroup);
    return primary && *primary != this->records.Of(aGroup).primary;
  }

  void LogHolderChange(Instant aNow)
  {
    const auto& lease = this->fleet.PromotionLease();
    if (!lease || lease->holder == this->lastLoggedHolder) {
      return;
    }
    this->lastLoggedHolder = lease->holder;
    this->log.WriteAlways(
      aNow,
      "promotion",
      "duty-held",
      { { "holder", lease->holder.Text() }, { "fence", std::to_string(lease->fencingToken) } });
  }

  bool IsHolder(Instant aNow) const
  {
    return aNow < this->leaseUntil && this->fleet.MayPromote(aNow) &&
           this->fleet.PromotionLease() && this->fleet.PromotionLease()->holder == this->self;
  }

  bool MayClaimNow(Instant aNow) const
  {
    return !this->isClaiming && this->fleet.MayClaimPromotionLease(aNow, this->self);
  }

  /** Receives the new fencing token; nothing if it could not be written. */
  using FencingTokenHandler = std::function<void(Instant, std::optional<std::uint64_t>)>;

  /** Writes the lease row with this VM as the holder, on condition of the row's version, which
      gives the next fencing token. Groups that request a token while a write is in progress share
      its token, since concurrent writes would conflict. Sharing is safe because the platform
      compares tokens per group, and each group uses a token for a single order. */
  void AdvanceFencingToken(FencingTokenHandler aHandler)
  {
    this->fencingTokenHandlers.push_back(std::move(aHandler));
    if (this->fencingTokenHandlers.size() > 1) {
      return;
    }
    const PromotionLeaseRow row{
      this->self, this->fleet.PromotionLease() ? this->fleet.PromotionLease()->fencingToken : 0
    };
    this->store.Write(
      RowChange{ std::string(FleetView::kTable),
                 std::string(FleetView::kPromotionLeaseKey),
                 EncodePromotionLeaseRow(row),
                 this->fleet.PromotionLeaseRowVersion() },
      [this](Instant aNow, auto aVersion) { this->OnLeaseWritten(aNow, aVersion); });
  }

  void OnLeaseWritten(Instant aNow, const tl::expected<StoreVersion, StoreFailure>& aVersion)
  {
    const auto fencingToken = aVersion ? FencingTokenOf(*aVersion) : std::nullopt;
    std::string outcome = "written";
    if (!aVersion) {
      outcome = NameOf(kStoreFailureNames, aVersion.error());
    } else if (!fencingToken) {
      outcome = "version out of range";
    }
    if (fencingToken) {
      this->fleet.SetPromotionLease({ this->self, *fencingToken }, *aVersion);
    } else if (!aVersion && aVersion.error() == StoreFailure::EraChanged) {
      // The write may have replaced the row of a VM that has claimed the lease in the new era.
      this->fleet.BarPromotions(aNow + FleetView::kPromotionLeaseTakeoverDelay);
    }
    this->log.WriteAlways(
      aNow,
      "promotion",
      "fence-raised",
      { { "fence", std::to_string(fencingToken.value_or(0)) }, { "outcome", std::move(outcome) } });
    const auto handlers = std::exchange(this->fencingTokenHandlers, {});
    for (const FencingTokenHandler& handler : handlers) {
      handler(aNow, fencingToken);
    }
  }

  void ClaimPromotionLease()
  {
    this->isClaiming = true;
    // If the answer is lost, the next read of the fleet table shows the outcome.
    this->AdvanceFencingToken([this](Instant, auto) { this->isClaiming = false; });
  }

  /** Starts a promotion. */
  void CollectPositions(Instant aNow, const DatabaseName& aGroup, PromotionReason aReason)
  {
    GroupState& state = this->groupStates[aGroup];
    const std::optional<ServerId> primary = this->cluster.PrimaryOf(aGroup);
    state.candidates = this->FindReplicas(aGroup, aReason);
    const std::set<ServerId> replicas = this->ReplicasToAsk(aGroup, state);
    this->log.WriteAlways(aNow,
                          "promotion",
                          "needed",
                          { { "group", aGroup.Text() },
                            { "why", std::string(NameOf(kPromotionReasonNames, aReason)) },
                            { "primary", primary ? primary->Text() : "none" },
                            { "replicas", std::to_string(replicas.size()) },
                            { "sync", std::to_string(state.candidates.syncReplicas) } });
    if (replicas.empty()) {
      state.rejectedCandidates.clear();
      state.nextAttemptAt = aNow + kFailedPause;
      return;
    }
    state.isRunning = true;
    this->RecordAskedProcesses(aGroup, replicas);
    ServerCommand status;
    status.kind = ServerCommandKind::Status;
    // Where commits are acknowledged without the replicas, what a busy one has applied decides at
    // once.
    this->poller.Run(aNow,
                     replicas,
                     status,
                     state.candidates.syncReplicas > 0,
                     [this, aGroup](Instant aThen, const Replies& aReplies) {
                       this->OnStatus(aThen, aGroup, aReplies);
                     });
  }

  /** The primary that is replaced, and that is no candidate: the listed one or, while an order is
      open, the one at the time of that order, which may be listed as a replica by now. */
  std::optional<ServerId> ReplacedPrimary(const DatabaseName& aGroup) const
  {
    const PromotionRecord& record = this->records.Of(aGroup);
    const ServerId& primary =
      record.isOrderOpen ? record.primary : this->groupStates.at(aGroup).latestPrimary;
    return primary.Text().empty() ? std::nullopt : std::optional(primary);
  }

  /** @param aReason  nothing while an order is open. */
  PromotionCandidates FindReplicas(const DatabaseName& aGroup,
                                   std::optional<PromotionReason> aReason) const
  {
    const std::optional<ServerId> primary = this->ReplacedPrimary(aGroup);
    const std::vector<ServerId> readyServers = this->cluster.ReadyServers(aGroup);
    PromotionCandidates candidates;
    candidates.readyReplicas.insert(readyServers.begin(), readyServers.end());
    if (primary) {
      candidates.readyReplicas.erase(*primary);
    }
    candidates.replicaCount = this->CurrentReplicas(aGroup).size();
    candidates.syncReplicas = this->SyncReplicasOf(aGroup);
    candidates.requiredOffset = this->records.Of(aGroup).requiredOffset;
    if (this->IsOrderOpen(aGroup)) {
      candidates.orderedReplica = this->records.Of(aGroup).candidate;
      candidates.completePosition = this->groupStates.at(aGroup).completePosition;
    }
    candidates.isPrimaryServing = aReason == PromotionReason::Leaving && !this->IsOrderOpen(aGroup);
    return candidates;
  }

  /** Returns the replicas whose positions are needed. A replica that is leaving can hold
     acknowledged commits that the others lack. One that the platform refused to promote may have
     come back. */
  std::set<ServerId> ReplicasToAsk(const DatabaseName& aGroup, const GroupState& aState) const
  {
    if (aState.candidates.syncReplicas == 0) {
      std::set<ServerId> replicas = aState.candidates.readyReplicas;
      for (const ServerId& rejected : aState.rejectedCandidates) {
        replicas.erase(rejected);
      }
      return replicas;
    }
    return this->ReplicasOf(aGroup);
  }

  std::set<ServerId> ReplicasOf(const DatabaseName& aGroup) const
  {
    const std::vector<ServerId> servers = this->cluster.ServersOf(aGroup);
    std::set<ServerId> replicas(servers.begin(), servers.end());
    if (const auto primary = this->ReplacedPrimary(aGroup)) {
      replicas.erase(*primary);
    }
    return replicas;
  }

  void OnStatus(Instant aNow, const DatabaseName& aGroup, const Replies& aReplies)
  {
    GroupState& state = this->groupStates[aGroup];
    PromotionCandidates& candidates = state.candidates;
    std::uint64_t newestTerm = 0;
    std::uint64_t ledTerm = 0;
    for (const auto& [replica, reply] : aReplies) {
      if (reply.serverStatus) {
        candidates.receivedPositions[replica] = reply.serverStatus->receivedPosition;
        newestTerm = std::max(newestTerm, reply.serverStatus->newestTerm);
        ledTerm = std::max(ledTerm, reply.serverStatus->term);
      } else if (candidates.syncReplicas == 0 && reply.position) {
        candidates.receivedPositions[replica] = *reply.position;
      }
    }
    this->NoteFormerPrimary(aGroup, aReplies);
    const std::optional<ServerId> candidate = this->Decide(aNow, aGroup);
    if (!candidate) {
      return;
    }
    if (candidates.syncReplicas == 0) {
      this->Order(aGroup, *candidate);
      return;
    }
    state.ledTerm = ledTerm;
    state.nextTerm = newestTerm + 1;
    this->OpenRecord(aGroup, *candidate);
  }

  /** Stores that an order may be carried out from now on, then demotes the primary and sends the
      order. */
  void OpenRecord(const DatabaseName& aGroup, const ServerId& aCandidate)
  {
    this->groupStates[aGroup].confirmedPrimary = ServerId();
    this->groupStates[aGroup].completePosition.reset();
    PromotionRecord record;
    record.candidate = aCandidate;
    record.primary = this->groupStates[aGroup].latestPrimary;
    record.replicas = this->CurrentReplicas(aGroup);
    record.requiredOffset = this->records.Of(aGroup).requiredOffset;
    record.term = this->groupStates[aGroup].ledTerm;
    record.formerPrimary = this->LatestLeader(aGroup);
    record.isOrderOpen = true;
    this->records.Write(aGroup, record, [this, aGroup](Instant aThen, bool aIsStored) {
      if (aIsStored && this->IsHolder(aThen)) {
        this->DemotePrimary(aThen, aGroup);
      } else {
        this->EndAttempt(aThen, aGroup, kFailedPause);
      }
    });
  }

  /** Stores that no order is open any more, because another server leads the group. */
  void CloseRecord(Instant aNow, const DatabaseName& aGroup)
  {
    GroupState& state = this->groupStates[aGroup];
    state.isRunning = true;
    state.completePosition.reset();
    // The promotion has ended the pause of all that received it.
    state.pausedReplicas.clear();
    state.nextResumeAt = aNow;
    PromotionRecord record;
    record.primary = this->cluster.PrimaryOf(aGroup).value_or(ServerId());
    record.formerPrimary = this->LatestLeader(aGroup);
    // The promoted server has what was acknowledged before, so silent replicas no longer count.
    record.replicas = UpdateReplicas({}, this->ListedServers(aGroup), record.primary);
    record.requiredOffset = this->records.Of(aGroup).requiredOffset;
    for (const auto& [replica, position] : state.candidates.receivedPositions) {
      record.requiredOffset = std::max(record.requiredOffset, position.offset);
    }
    this->records.Write(aGroup, record, [this, aGroup](Instant aThen, bool) {
      this->EndAttempt(aThen, aGroup, Duration(0));
    });
  }

  /** Demotes the primary, which may still serve some VMs, then collects the final positions. */
  void DemotePrimary(Instant aNow, const DatabaseName& aGroup)
  {
    const std::optional<ServerId> primary = this->ReplacedPrimary(aGroup);
    if (!primary) {
      this->CollectFinalPositions(aNow, aGroup, false);
      return;
    }
    this->groupStates[aGroup].isDemoting = true;
    this->demoter.Demote(aNow,
                         aGroup,
                         *primary,
                         this->groupStates[aGroup].ledTerm + 1,
                         [this, aGroup](Instant aThen, bool aIsDemoted) {
                           if (!aIsDemoted) {
                             this->CollectFinalPositions(aThen, aGroup, false);
                             return;
                           }
                           this->scheduler.Schedule(
                             aThen + kListingDelay, [this, aGroup](Instant aLater) {
                               this->CollectFinalPositions(aLater, aGroup, true);
                             });
                         });
  }

  /** Asks all replicas that are listed by now, and pauses those that receive.
      @param aIsDemoted  whether the old primary can't acknowledge commits any more. */
  void CollectFinalPositions(Instant aNow, const DatabaseName& aGroup, bool aIsDemoted)
  {
    GroupState& state = this->groupStates[aGroup];
    state.isDemoting = false;
    state.candidates = this->FindReplicas(aGroup, std::nullopt);
    std::set<ServerId> replicas = this->ReplicasOf(aGroup);
    if (const auto former = this->FormerPrimary(aGroup)) {
      replicas.insert(*former);
    }
    if (replicas.empty()) {
      this->EndAttempt(aNow, aGroup, kFailedPause);
      return;
    }
    this->RecordAskedProcesses(aGroup, replicas);
    ServerCommand status;
    status.kind = ServerCommandKind::Status;
    this->poller.Run(aNow,
                     replicas,
                     status,
                     true,
                     [this, aGroup, aIsDemoted](Instant aThen, const Replies& aReplies) {
                       this->OnFinalStatus(aThen, aGroup, aIsDemoted, aReplies);
                     });
  }

  void OnFinalStatus(Instant aNow,
                     const DatabaseName& aGroup,
                     bool aIsDemoted,
                     const Replies& aReplies)
  {
    GroupState& state = this->groupStates[aGroup];
    const std::set<ServerId> replicas = this->ReplicasOf(aGroup);
    std::set<ServerId> receiving;
    std::uint64_t ledTerm = 0;
    bool isLed = false;
    for (const auto& [replica, reply] : aReplies) {
      if (!reply.serverStatus || !replicas.contains(replica)) {
        continue;
      }
      ledTerm = std::max(ledTerm, reply.serverStatus->term);
      isLed = isLed || reply.serverStatus->isPrimary;
      state.candidates.receivedPositions[replica] = reply.serverStatus->receivedPosition;
      state.nextTerm = std::max(state.nextTerm, reply.serverStatus->newestTerm + 1);
      if (reply.serverStatus->pausedTerm == 0) {
        receiving.insert(replica);
      }
    }
    if (isLed) {
      // An earlier order has been carried out; the list of servers will show it.
      this->EndAttempt(aNow, aGroup, kFailedPause);
      return;
    }
    if (ledTerm > this->records.Of(aGroup).term) {
      this->OnLaterTerm(aNow, aGroup, ledTerm);
      return;
    }
    this->NoteFormerPrimary(aGroup, aReplies);
    if (receiving.empty()) {
      this->OrderIfDecided(aNow, aGroup);
      return;
    }
    this->SendPause(aNow,
                    aGroup,
                    receiving,
                    [this, aGroup, aIsDemoted, positions = state.candidates.receivedPositions](
                      Instant aThen, bool areAllPaused) {
                      if (aIsDemoted) {
                        // Nothing was acknowledged since these positions.
                        this->groupStates[aGroup].candidates.receivedPositions.insert(
                          positions.begin(), positions.end());
                      }
                      if (areAllPaused || aIsDemoted) {
                        this->OrderIfDecided(aThen, aGroup);
                      } else {
                        this->EndAttempt(aThen, aGroup, kFailedPause);
                      }
                    });
  }

  /** Handles that a server has led a later term and is gone again: all listed ones are replicas of
     that term, the one that was to be replaced among them. */
  void OnLaterTerm(Instant aNow, const DatabaseName& aGroup, std::uint64_t aTerm)
  {
    this->groupStates[aGroup].completePosition.reset();
    PromotionRecord record = this->records.Of(aGroup);
    record.primary = ServerId();
    record.candidate = ServerId();
    record.formerPrimary = {};
    record.term = aTerm;
    this->WriteRecord(aNow, aGroup, record);
  }

  /** Sends the order, once the record names the candidate. */
  void OrderIfDecided(Instant aNow, const DatabaseName& aGroup)
  {
    const std::optional<ServerId> candidate = this->Decide(aNow, aGroup);
    if (!candidate) {
      return;
    }
    GroupState& state = this->groupStates[aGroup];
    const auto chosen = state.candidates.receivedPositions.find(*candidate);
    if (chosen != state.candidates.receivedPositions.end() && !state.completePosition) {
      state.completePosition = chosen->second;
    }
    PromotionRecord record = this->records.Of(aGroup);
    if (record.candidate == *candidate || !record.isOrderOpen) {
      this->Order(aGroup, *candidate);
      return;
    }
    if (!record.candidate.Text().empty()) {
      this->SupersedeCandidate(aNow, aGroup, *candidate);
      return;
    }
    this->StoreCandidate(aGroup, *candidate);
  }

  /** Sends the order for another candidate than the earlier one. The latter may lead for a moment
     if its order is carried out just before, so the VMs send it no statements meanwhile: what it
      acknowledges would be lost. */
  void SupersedeCandidate(Instant aNow, const DatabaseName& aGroup, const ServerId& aCandidate)
  {
    const PromotionRecord& record = this->records.Of(aGroup);
    this->demoter.Supersede(aNow,
                            aGroup,
                            record.candidate,
                            record.term + 1,
                            [this, aGroup, aCandidate](Instant aThen, bool) {
                              if (this->IsHolder(aThen) && this->records.IsLoaded()) {
                                this->StoreCandidate(aGroup, aCandidate);
                              } else {
                                this->EndAttempt(aThen, aGroup, kFailedPause);
                              }
                            });
  }

  /** Stores the candidate of an open promotion, then sends the order. */
  void StoreCandidate(const DatabaseName& aGroup, const ServerId& aCandidate)
  {
    PromotionRecord record = this->records.Of(aGroup);
    record.candidate = aCandidate;
    if (record.primary == aCandidate) {
      // It is a replica by now; when it is listed as the primary, the order has been carried out.
      record.primary = ServerId();
    }
    this->records.Write(
      aGroup, record, [this, aGroup, candidate = aCandidate](Instant aThen, bool aIsStored) {
        if (aIsStored) {
          this->Order(aGroup, candidate);
        } else {
          this->EndAttempt(aThen, aGroup, kFailedPause);
        }
      });
  }

  /** Pauses replicas and updates their positions.
      @param aHandler  receives whether all of them are paused. */
  void SendPause(Instant aNow,
                 const DatabaseName& aGroup,
                 const std::set<ServerId>& aReplicas,
                 std::function<void(Instant, bool)> aHandler)
  {
    GroupState& state = this->groupStates[aGroup];
    state.pausedReplicas.insert(aReplicas.begin(), aReplicas.end());
    this->log.WriteAlways(aNow,
                          "promotion",
                          "pausing",
                          { { "group", aGroup.Text() },
                            { "term", std::to_string(state.nextTerm) },
                            { "positions", PositionsText(state.candidates) } });
    ServerCommand pause;
    pause.kind = ServerCommandKind::Pause;
    pause.term = state.nextTerm;
    this->poller.Run(aNow,
                     aReplicas,
                     pause,
                     true,
                     [this, aGroup, aReplicas, handler = std::move(aHandler)](
                       Instant aThen, const Replies& aReplies) {
                       GroupState& state = this->groupStates[aGroup];
                       bool areAllPaused = true;
                       for (const ServerId& replica : aReplicas) {
                         const auto reply = aReplies.find(replica);
                         const bool isPaused =
                           reply != aReplies.end() && reply->second.serverStatus;
                         areAllPaused = areAllPaused && isPaused;
                         if (isPaused) {
                           state.candidates.receivedPositions[replica] =
                             reply->second.serverStatus->receivedPosition;
                           continue;
                         }
                         // A replica that refuses goes on receiving; its status is the best that is
                         // known of it.
                         if (reply == aReplies.end()) {
                           state.candidates.receivedPositions.erase(replica);
                         }
                         this->log.WriteAlways(
                           aThen,
                           "promotion",
                           "not-paused",
                           { { "group", aGroup.Text() },
                             { "replica", replica.Text() },
                             { "error",
                               reply == aReplies.end()
                                 ? std::string("no answer")
                                 : std::string(NameOf(kErrorCodeNames, reply->second.error)) } });
                       }
                       handler(aThen, areAllPaused);
                     });
  }

  /** Pauses replicas that have been listed since the pause, while an order is open. */
  void PauseNewReplicas(Instant aNow, const DatabaseName& aGroup)
  {
    GroupState& state = this->groupStates[aGroup];
    std::set<ServerId> replicas = this->ReplicasOf(aGroup);
    for (const ServerId& paused : state.pausedReplicas) {
      replicas.erase(paused);
    }
    if (replicas.empty() || state.isDemoting) {
      return;
    }
    state.nextTerm = std::max(state.nextTerm, this->records.Of(aGroup).term + 1);
    this->SendPause(aNow, aGroup, replicas, [this, aGroup, replicas](Instant, bool areAllPaused) {
      // Those that did not answer are told again with the next step.
      if (!areAllPaused) {
        for (const ServerId& replica : replicas) {
          this->groupStates[aGroup].pausedReplicas.erase(replica);
        }
      }
    });
  }

  /** Tells the replicas of a group with acknowledging replicas to receive again, if this is due and
      no order is open. */
  void ResumeReplicas(Instant aNow, const DatabaseName& aGroup)
  {
    GroupState& state = this->groupStates[aGroup];
    if (!this->cluster.Configuration().syncReplicas.contains(aGroup) || !this->records.IsLoaded() ||
        this->IsOrderOpen(aGroup) || aNow < state.nextResumeAt) {
      return;
    }
    state.nextResumeAt = aNow + kResumeInterval;
    const std::set<ServerId> replicas = this->ReplicasOf(aGroup);
    std::erase_if(state.pausedReplicas,
                  [&](const ServerId& aReplica) { return !replicas.contains(aReplica); });
    if (!state.pausedReplicas.empty()) {
      this->SendResume(aNow, aGroup, state.pausedReplicas);
      return;
    }
    // A pause that arrived late can have hit a server that leads by now.
    const std::vector<ServerId> servers = this->cluster.ServersOf(aGroup);
    if (!servers.empty()) {
      this->ResumePausedReplicas(aNow, aGroup, { servers.begin(), servers.end() });
    }
  }

  /** Resumes those replicas that are paused. The others are sent nothing: a command to resume that
      gets no answer may be carried out seconds later, during the pause for a promotion. */
  void ResumePausedReplicas(Instant aNow,
                            const DatabaseName& aGroup,
                            const std::set<ServerId>& aReplicas)
  {
    ServerCommand status;
    status.kind = ServerCommandKind::Status;
    this->poller.Run(
      aNow,
      aReplicas,
      status,
      true,
      [this, aGroup, count = aReplicas.size()](Instant aThen, const Replies& aReplies) {
        GroupState& state = this->groupStates[aGroup];
        if (aReplies.size() < count) {
          state.nextResumeAt = aThen + kFailedPause;
        }
        std::set<ServerId> paused;
        for (const auto& [replica, reply] : aReplies) {
          if (reply.serverStatus && reply.serverStatus->pausedTerm > 0) {
            paused.insert(replica);
          }
        }
        if (!paused.empty() && !state.isRunning && this->IsHolder(aThen) &&
            !this->IsOrderOpen(aGroup)) {
          this->SendResume(aThen, aGroup, paused);
        }
      });
  }

  void SendResume(Instant aNow, const DatabaseName& aGroup, const std::set<ServerId>& aReplicas)
  {
    this->groupStates[aGroup].isResuming = true;
    ServerCommand resume;
    resume.kind = ServerCommandKind::Resume;
    this->poller.Run(
      aNow,
      aReplicas,
      resume,
      true,
      [this, aGroup, count = aReplicas.size()](Instant aThen, const Replies& aReplies) {
        GroupState& state = this->groupStates[aGroup];
        state.isResuming = false;
        for (const auto& [replica, reply] : aReplies) {
          state.pausedReplicas.erase(replica);
        }
        if (aReplies.size() < count) {
          state.nextResumeAt = aThen + kFailedPause;
        }
      });
  }

  /** Records which processes are asked; the answer of another one under the same id counts for
      nothing. */
  void RecordAskedProcesses(const DatabaseName& aGroup, const std::set<ServerId>& aServers)
  {
    auto& processes = this->groupStates[aGroup].askedProcesses;
    processes.clear();
    for (const ServerId& id : aServers) {
      processes[id] = this->cluster.Find(id)->startedAtMs;
    }
  }

  /** Whether a server that was asked is still the same process. */
  bool IsAskedProcess(const GroupState& aState, const ServerId& aServer) const
  {
    const auto asked = aState.askedProcesses.find(aServer);
    const ServerRecord* server = this->cluster.Find(aServer);
    return asked != aState.askedProcesses.end() && server != nullptr &&
           server->startedAtMs == asked->second;
  }

  /** Takes into account which replicas have been listed, have left, or have started again since
      they were asked. */
  void UpdateCandidates(const DatabaseName& aGroup)
  {
    GroupState& state = this->groupStates[aGroup];
    PromotionCandidates& candidates = state.candidates;
    if (candidates.syncReplicas == 0) {
      return;
    }
    candidates.replicaCount = this->CurrentReplicas(aGroup).size();
    const std::set<ServerId> replicas = this->ReplicasOf(aGroup);
    std::erase_if(candidates.receivedPositions, [&](const auto& aEntry) {
      return !replicas.contains(aEntry.first) || !this->IsAskedProcess(state, aEntry.first);
    });
  }

  /** Chooses the replica to promote. Ends the attempt, and returns nothing, if there is none, or if
      no order is open and no promotion is due any more. */
  std::optional<ServerId> Decide(Instant aNow, const DatabaseName& aGroup)
  {
    GroupState& state = this->groupStates[aGroup];
    PromotionCandidates& candidates = state.candidates;
    this->UpdateCandidates(aGroup);
    const auto candidate = ChooseCandidate(candidates);
    const bool isDue = this->IsOrderOpen(aGroup) || this->FindReason(aNow, aGroup).has_value();
    state.isWaitingForReplicas = !candidate;
    if (candidate && isDue && this->IsHolder(aNow)) {
      return *candidate;
    }
    this->log.WriteAlways(
      aNow,
      "promotion",
      "given-up",
      { { "group", aGroup.Text() },
        { "why",
          !candidate ? std::string(NameOf(kNoCandidateReasonNames, candidate.error()))
                     : (!isDue ? "no longer needed" : "promotion lease lost") },
        { "positions", PositionsText(candidates) } });
    this->EndAttempt(aNow, aGroup, kFailedPause);
    return std::nullopt;
  }

  void Order(const DatabaseName& aGroup, const ServerId& aCandidate)
  {
    this->AdvanceFencingToken([this, aGroup, aCandidate](Instant aThen, auto aFencingToken) {
      if (!aFencingToken || !this->IsHolder(aThen)) {
        this->EndAttempt(aThen, aGroup, kFailedPause);
        return;
      }
      this->SendOrder(aThen, aGroup, aCandidate, *aFencingToken);
    });
  }

  /** Positions that replicas have reported, for the log. */
  static std::string PositionsText(const PromotionCandidates& aCandidates)
  {
    std::string text;
    for (const auto& [id, position] : aCandidates.receivedPositions) {
      text += (text.empty() ? "" : " ") + id.Text() + ":" + std::to_string(position.term) + "." +
              std::to_string(position.offset);
    }
    return text;
  }

  void SendOrder(Instant aNow,
                 const DatabaseName& aGroup,
                 const ServerId& aCandidate,
                 std::uint64_t aFencingToken)
  {
    const PromotionOrder order{ aGroup, aCandidate, this->self, aFencingToken };
    this->log.WriteAlways(aNow,
                          "promotion",
                          "ordered",
                          { { "group", aGroup.Text() },
                            { "candidate", aCandidate.Text() },
                            { "fence", std::to_string(order.fencingToken) },
                            { "positions", PositionsText(this->groupStates[aGroup].candidates) } });
    this->orders.Send(order, [this, order](Instant aThen, PromotionOrderResult aResult) {
      this->log.WriteAlways(
        aThen,
        "promotion",
        "answered",
        { { "group", order.group.Text() },
          { "candidate", order.candidate.Text() },
          { "fence", std::to_string(order.fencingToken) },
          { "result", std::string(NameOf(kPromotionOrderResultNames, aResult)) } });
      if (aResult == PromotionOrderResult::Accepted) {
        this->groupStates[order.group].confirmedPrimary = order.candidate;
        this->groupStates[order.group].confirmedAt = aThen;
      }
      if (aResult == PromotionOrderResult::Rejected) {
        this->groupStates[order.group].rejectedCandidates.insert(order.candidate);
      }
      this->EndAttempt(aThen,
                       order.group,
                       aResult == PromotionOrderResult::Accepted ? kAcceptedPause : kFailedPause);
    });
  }

  void EndAttempt(Instant aNow, const DatabaseName& aGroup, Duration aPause)
  {
    GroupState& state = this->groupStates[aGroup];
    state.isRunning = false;
    state.nextAttemptAt = aNow + aPause;
  }

  VmId self;
  Store& store;
  Orders& orders;
  ClusterState& cluster;
  FleetView& fleet;
  Scheduler& scheduler;
  EventLog& log;
  PrimaryDemoter<Network, Messenger>& demoter;
  ServerPoller<Network> poller;
  PromotionRecords<Store> records;
  /** Instant from which a failed read of the records is repeated. */
  Instant nextLoadAt{};
  Instant leaseUntil{};
  std::map<DatabaseName, GroupState> groupStates;
  /** The holder that was most recently logged. */
  std::optional<VmId> lastLoggedHolder;
  bool isClaiming = false;
  /** Handlers that wait for the fencing token that is being written. */
  std::vector<FencingTokenHandler> fencingTokenHandlers;
};

} // namespace mustardshift::proxy
