#include "core/failover/FailoverStateMachine.h"

#include "core/base/Assert.h"
#include "core/failover/Majority.h"
#include "core/failover/VmRank.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

using namespace failover_action; // NOLINT(google-build-using-namespace): this file only

FailoverStateMachine::FailoverStateMachine(FailoverOptions aOptions, std::mt19937_64 aRandom)
  : options(std::move(aOptions))
  , random(aRandom)
{
  MUSTARDSHIFT_ASSERT(!this->options.servers.empty());
  MUSTARDSHIFT_ASSERT(!this->options.database.IsEmpty());
  MUSTARDSHIFT_ASSERT(!this->options.self.IsEmpty());
}

FailoverStateMachine::Actions FailoverStateMachine::Handle(const FailoverEvent& aEvent,
                                                           Instant aNow)
{
  this->now = aNow;
  this->actions.clear();
  std::visit([this](const auto& aAlternative) { this->On(aAlternative); }, aEvent);
  this->Advance();
  return std::exchange(this->actions, {});
}

void FailoverStateMachine::On(const failover_event::Tick& /*aEvent*/) {}

void FailoverStateMachine::On(const failover_event::MembersChanged& aEvent)
{
  this->members = aEvent.members;
  std::erase(this->members, this->options.self);
  this->rank = RankOf(this->options.database, this->options.self, this->members);
}

void FailoverStateMachine::On(const failover_event::SuspicionChanged& aEvent)
{
  if (aEvent.term != this->knownTerm) {
    return;
  }
  this->isPrimarySuspected = aEvent.suspected;
  const bool isBeforeFencing =
    this->phase == FailoverPhase::Querying || this->phase == FailoverPhase::Reading;
  if (!this->isPrimarySuspected && isBeforeFencing && this->cause == Cause::Suspicion) {
    this->Enter(FailoverPhase::Idle, Duration{ 0 });
  }
  if (this->isPrimarySuspected && this->phase == FailoverPhase::Promoting) {
    // The new primary failed before all replicas were told to follow it. A new attempt replaces it.
    this->Enter(FailoverPhase::Idle, Duration{ 0 });
  }
}

void FailoverStateMachine::On(const failover_event::PeerAnswered& aEvent)
{
  if (this->phase == FailoverPhase::Querying && aEvent.term == this->knownTerm &&
      aEvent.peer != this->options.self) {
    this->peerAnswers[aEvent.peer] = { aEvent.failureDomain, aEvent.suspects };
  }
}

void FailoverStateMachine::On(const failover_event::PrimaryLearned& aEvent)
{
  this->AdoptNewerPrimary(aEvent.term, aEvent.primary);
}

void FailoverStateMachine::On(const failover_event::ServersDrained& aEvent)
{
  this->drainedServers = aEvent.servers;
}

void FailoverStateMachine::On(const failover_event::PlatformStateChanged& aEvent)
{
  // If this VM was paused, the last answer may date from before the pause.
  this->isPlatformReachable =
    aEvent.reachable && this->now - aEvent.lastAnswer <= this->options.reportLifetime;
}

void FailoverStateMachine::On(const failover_event::ServerReported& aEvent)
{
  this->StoreReport(aEvent.server, aEvent.report);
}

void FailoverStateMachine::On(const failover_event::AcceptTermAnswered& aEvent)
{
  this->StoreReport(aEvent.server, aEvent.report);
  if (this->phase != FailoverPhase::Fencing || aEvent.term != this->proposedRow.term) {
    return;
  }
  if (aEvent.accepted) {
    this->acceptedReports[aEvent.server] = aEvent.report;
    this->unansweredServers.erase(aEvent.server);
  } else if (aEvent.report.acceptedTerm > this->proposedRow.term) {
    this->AbandonTerm();
  }
}

void FailoverStateMachine::On(const failover_event::PromoteAnswered& aEvent)
{
  this->StoreReport(aEvent.server, aEvent.report);
  const bool isAwaited = this->phase == FailoverPhase::Promoting &&
                         aEvent.term == this->knownTerm && aEvent.server == this->knownPrimary;
  if (!isAwaited) {
    return;
  }
  if (!aEvent.accepted) {
    this->AbandonTerm();
    return;
  }
  if (this->unansweredServers.erase(aEvent.server) > 0) {
    this->failedAttempts = 0;
    this->actions.emplace_back(Announce{ this->knownTerm, this->knownPrimary });
  }
}

void FailoverStateMachine::On(const failover_event::FollowAnswered& aEvent)
{
  this->StoreReport(aEvent.server, aEvent.report);
  if (this->phase == FailoverPhase::Promoting && aEvent.term == this->knownTerm) {
    this->unansweredServers.erase(aEvent.server);
  }
}

void FailoverStateMachine::On(const failover_event::RowWritten& aEvent)
{
  const bool isAwaited =
    this->phase == FailoverPhase::Recording || this->phase == FailoverPhase::ReadingBack;
  if (isAwaited && aEvent.operationId == this->proposedRow.operationId) {
    this->StartPromoting();
  }
}

void FailoverStateMachine::On(const failover_event::RowConflicted& aEvent)
{
  const bool isAwaited =
    this->phase == FailoverPhase::Recording || this->phase == FailoverPhase::ReadingBack;
  if (isAwaited && aEvent.operationId == this->proposedRow.operationId) {
    if (aEvent.currentRow.operationId == this->proposedRow.operationId) {
      this->StartPromoting();
      return;
    }
    this->BackOff();
  }
  this->AdoptNewerPrimary(aEvent.currentRow.term, aEvent.currentRow.primary);
}

void FailoverStateMachine::On(const failover_event::RowWriteOutcomeUnknown& aEvent)
{
  if (this->phase == FailoverPhase::Recording &&
      aEvent.operationId == this->proposedRow.operationId) {
    this->StartReading(FailoverPhase::ReadingBack);
  }
}

void FailoverStateMachine::On(const failover_event::RowRead& aEvent)
{
  this->isPlatformReachable = true;
  this->isRowKnown = true;
  if (aEvent.request == this->lastReadRequest && this->phase == FailoverPhase::ReadingBack) {
    if (aEvent.row.operationId == this->proposedRow.operationId) {
      this->StartPromoting();
    } else if (aEvent.row.version == this->proposedRow.version) {
      // The row is unchanged. The first write may still take effect, but repeating it is safe: both
      // writes are identical, and only one can succeed.
      this->StartRecording();
    } else {
      this->BackOff();
    }
  }
  this->AdoptNewerPrimary(aEvent.row.term, aEvent.row.primary);
  if (aEvent.request != this->lastReadRequest || this->phase != FailoverPhase::Reading) {
    return;
  }
  const Cause currentCause = this->FindCause();
  if (currentCause == Cause::NotPromoted) {
    this->StartPromoting();
  } else if (currentCause == Cause::UnrecordedTerm || currentCause == Cause::Drained ||
             (currentCause == Cause::Suspicion && this->cause == Cause::Suspicion)) {
    this->StartFencing(aEvent.row);
  } else {
    // Either there is no cause any more, or the primary became suspected while the row was read. In
    // the latter case the peers have not been asked yet.
    this->Enter(FailoverPhase::Idle, Duration{ 0 });
  }
}

void FailoverStateMachine::On(const failover_event::RowReadFailed& aEvent)
{
  if (aEvent.request != this->lastReadRequest) {
    return;
  }
  if (this->phase == FailoverPhase::Reading) {
    this->BackOff();
  } else if (this->phase == FailoverPhase::ReadingBack) {
    // Delays the next read, so that the VMs don't overload the platform with reads in an outage.
    this->phaseDeadline = this->now + this->NextBackoff();
  }
}

void FailoverStateMachine::Advance()
{
  switch (this->phase) {
    case FailoverPhase::Idle:
      this->AdvanceIdle();
      return;
    case FailoverPhase::Querying:
      this->AdvanceQuerying();
      return;
    case FailoverPhase::Fencing:
      this->AdvanceFencing();
      return;
    case FailoverPhase::Recording:
      this->AdvanceRecording();
      return;
    case FailoverPhase::Promoting:
      this->AdvancePromoting();
      return;
    case FailoverPhase::Reading:
      if (this->now >= this->phaseDeadline) {
        this->BackOff();
      }
      return;
    case FailoverPhase::ReadingBack:
      if (this->now >= this->phaseDeadline) {
        this->StartReading(FailoverPhase::ReadingBack);
      }
      return;
    case FailoverPhase::BackingOff:
      if (this->now >= this->phaseDeadline) {
        this->Enter(FailoverPhase::Idle, Duration{ 0 });
      }
      return;
  }
}

void FailoverStateMachine::AdvanceIdle()
{
  const bool isRowStale = !this->isRowKnown || this->HighestAcceptedTerm() > this->knownTerm;
  if (!isRowStale) {
    this->nextIdleRead.reset();
  } else if (!this->nextIdleRead) {
    // The VM that promotes the primary announces it to its peers. Waiting for the announcement
    // usually saves one read of the row per VM.
    this->nextIdleRead =
      this->now + (this->isRowKnown ? this->Jittered(this->options.delayPerRank) : Duration{ 0 });
  }
  if (this->nextIdleRead && this->now >= *this->nextIdleRead) {
    this->nextIdleRead = this->now + this->Jittered(this->options.platformTimeout);
    this->RequestRow();
  }

  const Cause currentCause = this->FindCause();
  if (currentCause != this->cause) {
    this->cause = currentCause;
    this->attemptAt = this->now + this->AttemptDelay(currentCause);
  }
  if (this->cause == Cause::None) {
    this->failedAttempts = 0;
    this->ResendRoles();
    return;
  }
  if (this->now < this->attemptAt || !this->isPlatformReachable) {
    return;
  }
  if (this->cause != Cause::Suspicion) {
    this->StartReading(FailoverPhase::Reading);
    return;
  }
  this->peerAnswers.clear();
  this->Enter(FailoverPhase::Querying, this->options.queryTimeout);
  this->actions.emplace_back(QueryPeers{ this->knownTerm, this->knownPrimary });
}

void FailoverStateMachine::AdvanceQuerying()
{
  std::size_t suspectingVms = 1;
  bool otherDomainAgrees = false;
  for (const auto& [peer, answer] : this->peerAnswers) {
    if (answer.suspects) {
      ++suspectingVms;
      otherDomainAgrees = otherDomainAgrees || answer.failureDomain != this->options.failureDomain;
    }
  }
  const std::size_t respondingVms = this->peerAnswers.size() + 1;
  const std::size_t vmCount = this->members.size() + 1;
  const bool isOver = this->now >= this->phaseDeadline || respondingVms >= vmCount;
  const std::size_t requiredVms = MajorityOf(isOver ? respondingVms : vmCount);
  if (otherDomainAgrees && suspectingVms >= requiredVms) {
    this->StartReading(FailoverPhase::Reading);
  } else if (isOver) {
    this->BackOff();
  }
}

void FailoverStateMachine::AdvanceFencing()
{
  if (this->acceptedReports.size() >= MajorityOf(this->options.servers.size())) {
    if (!this->fencedMajorityAt) {
      this->fencedMajorityAt = this->now;
    }
    this->ChoosePrimary();
    return;
  }
  if (this->now >= this->phaseDeadline) {
    this->BackOff();
    return;
  }
  this->SendServerCommands();
}

void FailoverStateMachine::AdvanceRecording()
{
  if (this->now >= this->phaseDeadline) {
    this->StartReading(FailoverPhase::ReadingBack);
  }
}

void FailoverStateMachine::AdvancePromoting()
{
  if (this->unansweredServers.empty()) {
    this->Enter(FailoverPhase::Idle, Duration{ 0 });
    return;
  }
  if (this->now < this->phaseDeadline) {
    this->SendServerCommands();
    return;
  }
  if (this->unansweredServers.contains(this->knownPrimary)) {
    this->BackOff();
    return;
  }
  this->Enter(FailoverPhase::Idle, Duration{ 0 });
}

void FailoverStateMachine::Enter(FailoverPhase aPhase, Duration aTimeout)
{
  this->phase = aPhase;
  this->phaseDeadline = this->now + aTimeout;
  if (aPhase == FailoverPhase::Idle) {
    this->cause = Cause::None;
  }
}

void FailoverStateMachine::BackOff()
{
  this->Enter(FailoverPhase::BackingOff, this->NextBackoff());
}

Duration FailoverStateMachine::NextBackoff()
{
  constexpr unsigned kMaxDoublings = 16;
  const Duration pause =
    std::min(this->options.initialBackoff * (1U << std::min(this->failedAttempts, kMaxDoublings)),
             this->options.maxBackoff);
  ++this->failedAttempts;
  return this->Jittered(pause);
}

void FailoverStateMachine::StartReading(FailoverPhase aPhase)
{
  this->Enter(aPhase, this->options.platformTimeout);
  this->RequestRow();
}

void FailoverStateMachine::RequestRow()
{
  this->actions.emplace_back(ReadRow{ ++this->lastReadRequest });
}

void FailoverStateMachine::StartFencing(const PrimaryRow& aRow)
{
  ++this->operationCount;
  this->proposedRow.version = aRow.version;
  // A term that some server has already accepted may be used again: a term has a primary only after
  // the compare-and-set, which succeeds for one primary only.
  this->proposedRow.term = std::max(aRow.term + 1, this->HighestAcceptedTerm());
  this->proposedRow.primary = ServerAddress();
  this->proposedRow.operationId = this->options.self.Text() + "/" +
                                  std::to_string(this->options.incarnation) + "/" +
                                  std::to_string(this->operationCount);
  this->acceptedReports.clear();
  this->fencedMajorityAt.reset();
  this->unansweredServers = { this->options.servers.begin(), this->options.servers.end() };
  this->resendAt = this->now;
  this->Enter(FailoverPhase::Fencing, this->options.phaseTimeout);
}

void FailoverStateMachine::ChoosePrimary()
{
  const std::vector<ServerAddress> candidates = this->CandidateServers();
  const bool isWaitOver = this->unansweredServers.empty() ||
                          this->now >= *this->fencedMajorityAt + this->options.candidateWait;
  const bool hasDeprioritisedCandidate =
    std::any_of(candidates.begin(), candidates.end(), [this](const ServerAddress& aServer) {
      return this->IsDeprioritised(aServer);
    });
  if (hasDeprioritisedCandidate && !isWaitOver) {
    return;
  }
  const auto hasLowerPriority = [this](const ServerAddress& aLeft, const ServerAddress& aRight) {
    const LogPosition left = this->acceptedReports[aLeft].position;
    const LogPosition right = this->acceptedReports[aRight].position;
    if (left != right) {
      return left < right;
    }
    // If positions are equal, a known primary that is not suspected keeps its role.
    return aRight == this->knownPrimary && aLeft != this->knownPrimary && !this->isPrimarySuspected;
  };
  this->proposedRow.primary =
    *std::max_element(candidates.begin(), candidates.end(), hasLowerPriority);
  this->StartRecording();
}

std::vector<ServerAddress> FailoverStateMachine::CandidateServers() const
{
  std::vector<ServerAddress> all;
  std::vector<ServerAddress> preferred;
  for (const auto& [server, report] : this->acceptedReports) {
    all.push_back(server);
    if (!this->IsDeprioritised(server)) {
      preferred.push_back(server);
    }
  }
  // Deprioritised servers are left out only if the remaining servers form a majority without them.
  return preferred.size() < MajorityOf(this->options.servers.size()) ? all : preferred;
}

void FailoverStateMachine::StartRecording()
{
  this->Enter(FailoverPhase::Recording, this->options.platformTimeout);
  this->actions.emplace_back(CompareAndSetRow{ this->proposedRow });
}

void FailoverStateMachine::StartPromoting()
{
  const bool isOwnRecord =
    this->phase == FailoverPhase::Recording || this->phase == FailoverPhase::ReadingBack;
  if (isOwnRecord) {
    this->AdoptNewerPrimary(this->proposedRow.term, this->proposedRow.primary);
    if (this->knownTerm != this->proposedRow.term) {
      // A primary of a later term is already known.
      this->Enter(FailoverPhase::Idle, Duration{ 0 });
      return;
    }
  }
  this->Enter(FailoverPhase::Promoting, this->options.phaseTimeout);
  this->unansweredServers = { this->options.servers.begin(), this->options.servers.end() };
  this->resendAt = this->now;
}

void FailoverStateMachine::SendServerCommands()
{
  if (this->now < this->resendAt) {
    return;
  }
  this->resendAt = this->now + this->options.resendInterval;
  for (const ServerAddress& server : this->unansweredServers) {
    if (this->phase == FailoverPhase::Fencing) {
      this->actions.emplace_back(AcceptTerm{ server, this->proposedRow.term });
    } else if (server == this->knownPrimary) {
      this->actions.emplace_back(Promote{ server, this->knownTerm });
    } else {
      this->actions.emplace_back(Follow{ server, this->knownTerm, this->knownPrimary });
    }
  }
}

void FailoverStateMachine::ResendRoles()
{
  // A replica that restarted, or whose Follow was lost, does not replicate. The VMs of the
  // first two ranks send Follow again. One VM is not enough, because it may have failed without
  // being detected yet.
  constexpr unsigned kResendingRanks = 2;
  if (this->now < this->nextRoleResend || this->rank >= kResendingRanks ||
      this->knownPrimary.IsEmpty()) {
    return;
  }
  const auto primary = this->lastReports.find(this->knownPrimary);
  if (primary == this->lastReports.end() || !this->IsFresh(primary->second) ||
      !primary->second.report.leads || primary->second.report.acceptedTerm != this->knownTerm) {
    return;
  }
  this->nextRoleResend = this->now + this->Jittered(this->options.roleResendInterval);
  if (primary->second.report.position.term < this->knownTerm) {
    // A server that does not refuse requests of old terms may still act as primary of the previous
    // term, and its report does not show the term in which it acts. A log entry of the current term
    // proves that it was promoted.
    this->actions.emplace_back(Promote{ this->knownPrimary, this->knownTerm });
  }
  for (const auto& [server, replica] : this->lastReports) {
    if (server == this->knownPrimary || !this->IsFresh(replica) ||
        replica.report.acceptedTerm > this->knownTerm) {
      continue;
    }
    const bool isInOldTerm = replica.report.acceptedTerm < this->knownTerm;
    const bool isStuck = replica.report.position != primary->second.report.position &&
                         this->now - replica.positionUnchangedSince >= this->options.takeoverDelay;
    if (isInOldTerm || isStuck) {
      this->actions.emplace_back(Follow{ server, this->knownTerm, this->knownPrimary });
    }
  }
}

void FailoverStateMachine::AdoptNewerPrimary(std::uint64_t aTerm, const ServerAddress& aPrimary)
{
  if (aTerm <= this->knownTerm || aPrimary.IsEmpty()) {
    return;
  }
  this->knownTerm = aTerm;
  this->knownPrimary = aPrimary;
  this->isRowKnown = true;
  this->isPrimarySuspected = false;
  this->actions.emplace_back(AdoptPrimary{ aTerm, aPrimary });
  this->failedAttempts = 0;
  this->Enter(FailoverPhase::Idle, Duration{ 0 });
}

void FailoverStateMachine::StoreReport(const ServerAddress& aServer, const ServerReport& aReport)
{
  const auto [entry, isNew] =
    this->lastReports.try_emplace(aServer, ReceivedReport{ aReport, this->now, this->now });
  if (isNew) {
    return;
  }
  ReceivedReport& lastReport = entry->second;
  // A server's accepted term never decreases, so this report is older and arrived late.
  if (aReport.acceptedTerm < lastReport.report.acceptedTerm) {
    return;
  }
  if (aReport.position != lastReport.report.position) {
    lastReport.positionUnchangedSince = this->now;
  }
  lastReport.report = aReport;
  lastReport.receivedAt = this->now;
}

void FailoverStateMachine::AbandonTerm()
{
  this->BackOff();
  this->RequestRow();
}

FailoverStateMachine::Cause FailoverStateMachine::FindCause() const
{
  if (!this->isRowKnown) {
    return Cause::None;
  }
  // An unrecorded term takes precedence over a suspicion: another VM is promoting a primary and
  // gets time to finish.
  if (this->knownPrimary.IsEmpty() || this->HighestAcceptedTerm() > this->knownTerm) {
    return Cause::UnrecordedTerm;
  }
  if (this->IsPromotionMissing()) {
    return Cause::NotPromoted;
  }
  if (this->isPrimarySuspected) {
    return Cause::Suspicion;
  }
  return this->CanReplaceDrainedPrimary() ? Cause::Drained : Cause::None;
}

bool FailoverStateMachine::IsDeprioritised(const ServerAddress& aServer) const
{
  return (this->isPrimarySuspected && aServer == this->knownPrimary) ||
         this->drainedServers.contains(aServer);
}

bool FailoverStateMachine::CanReplaceDrainedPrimary() const
{
  if (!this->drainedServers.contains(this->knownPrimary)) {
    return false;
  }
  const auto isReady = [this](const auto& aReceived) {
    const ServerReport& report = aReceived.second.report;
    return !this->drainedServers.contains(aReceived.first) && this->IsFresh(aReceived.second) &&
           report.acceptedTerm == this->knownTerm &&
           (report.position.term == this->knownTerm || report.position.offset == 0);
  };
  const auto ready = std::count_if(this->lastReports.begin(), this->lastReports.end(), isReady);
  return static_cast<std::size_t>(ready) >= MajorityOf(this->options.servers.size());
}

bool FailoverStateMachine::IsFresh(const ReceivedReport& aReport) const
{
  return this->now - aReport.receivedAt <= this->options.reportLifetime;
}

bool FailoverStateMachine::IsPromotionMissing() const
{
  // After this number of failed attempts, a primary that answers but can't be promoted is replaced
  // like one that does not answer.
  constexpr unsigned kMaxAttempts = 2;
  const auto primary = this->lastReports.find(this->knownPrimary);
  return primary != this->lastReports.end() && this->failedAttempts < kMaxAttempts &&
         this->now - primary->second.receivedAt <= this->options.takeoverDelay &&
         !primary->second.report.leads && primary->second.report.acceptedTerm <= this->knownTerm &&
         this->HighestAcceptedTerm() <= this->knownTerm;
}

std::uint64_t FailoverStateMachine::HighestAcceptedTerm() const
{
  std::uint64_t highest = 0;
  for (const auto& [server, received] : this->lastReports) {
    highest = std::max(highest, received.report.acceptedTerm);
  }
  return highest;
}

Duration FailoverStateMachine::AttemptDelay(Cause aCause)
{
  const bool isUnfinished = aCause == Cause::UnrecordedTerm || aCause == Cause::NotPromoted;
  const Duration base = isUnfinished ? this->options.takeoverDelay : Duration{ 0 };
  const unsigned cappedRank = std::min(this->rank, this->options.maxDelayRank);
  const Duration jitter = this->rank > this->options.maxDelayRank ? this->options.maxBackoff
                                                                  : this->options.delayPerRank / 4;
  return base + this->options.delayPerRank * cappedRank + this->Jittered(jitter) - jitter / 2;
}

Duration FailoverStateMachine::Jittered(Duration aDuration)
{
  std::uniform_int_distribution<Duration::rep> distribution(aDuration.count() / 2,
                                                            aDuration.count() * 3 / 2);
  return Duration{ distribution(this->random) };
}

} // namespace mustardshift
