#include "core/failover/FailoverDecision.h"

#include "core/base/Assert.h"
#include "core/failover/Majority.h"
#include "core/failover/VmRank.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

using namespace failover_action; // NOLINT(google-build-using-namespace): this file only

FailoverDecision::FailoverDecision(FailoverOptions aOptions, std::mt19937_64 aRandom)
  : options(std::move(aOptions))
  , random(aRandom)
{
  MUSTARDSHIFT_ASSERT(!this->options.servers.empty());
  MUSTARDSHIFT_ASSERT(!this->options.database.IsEmpty());
  MUSTARDSHIFT_ASSERT(!this->options.self.IsEmpty());
}

FailoverDecision::Actions FailoverDecision::Handle(const FailoverEvent& aEvent, Instant aNow)
{
  this->now = aNow;
  this->actions.clear();
  std::visit([this](const auto& aAlternative) { this->On(aAlternative); }, aEvent);
  this->Advance();
  return std::exchange(this->actions, {});
}

void FailoverDecision::On(const failover_event::Tick& /*aEvent*/) {}

void FailoverDecision::On(const failover_event::MembersChanged& aEvent)
{
  this->members = aEvent.members;
  std::erase(this->members, this->options.self);
  this->rank = RankOf(this->options.database, this->options.self, this->members);
}

void FailoverDecision::On(const failover_event::SuspicionChanged& aEvent)
{
  if (aEvent.term != this->knownTerm) {
    return;
  }
  this->suspected = aEvent.suspected;
  const bool isOnlyDeciding =
    this->phase == FailoverPhase::Querying || this->phase == FailoverPhase::Reading;
  if (!this->suspected && isOnlyDeciding && this->cause == Cause::Suspicion) {
    this->Enter(FailoverPhase::Idle, Duration{ 0 });
  }
  if (this->suspected && this->phase == FailoverPhase::Promoting) {
    // The new primary is gone before all replicas have been told; a new attempt replaces it.
    this->Enter(FailoverPhase::Idle, Duration{ 0 });
  }
}

void FailoverDecision::On(const failover_event::PeerAnswered& aEvent)
{
  if (this->phase == FailoverPhase::Querying && aEvent.term == this->knownTerm &&
      aEvent.peer != this->options.self) {
    this->peerAnswers[aEvent.peer] = { aEvent.failureDomain, aEvent.suspects };
  }
}

void FailoverDecision::On(const failover_event::PrimaryLearned& aEvent)
{
  this->Learn(aEvent.term, aEvent.primary);
}

void FailoverDecision::On(const failover_event::ServersDrained& aEvent)
{
  this->drained = aEvent.servers;
}

void FailoverDecision::On(const failover_event::PlatformStateChanged& aEvent)
{
  // A VM that was paused may be told of an answer from before the pause.
  this->platformReachable =
    aEvent.reachable && this->now - aEvent.lastAnswer <= this->options.reportLifetime;
}

void FailoverDecision::On(const failover_event::ServerReported& aEvent)
{
  this->Note(aEvent.server, aEvent.report);
}

void FailoverDecision::On(const failover_event::AcceptTermAnswered& aEvent)
{
  this->Note(aEvent.server, aEvent.report);
  if (this->phase != FailoverPhase::Fencing || aEvent.term != this->proposed.term) {
    return;
  }
  if (aEvent.accepted) {
    this->fenced[aEvent.server] = aEvent.report;
    this->unanswered.erase(aEvent.server);
  } else if (aEvent.report.acceptedTerm > this->proposed.term) {
    this->GiveUpTerm();
  }
}

void FailoverDecision::On(const failover_event::PromoteAnswered& aEvent)
{
  this->Note(aEvent.server, aEvent.report);
  const bool isAwaited = this->phase == FailoverPhase::Promoting &&
                         aEvent.term == this->knownTerm && aEvent.server == this->knownPrimary;
  if (!isAwaited) {
    return;
  }
  if (!aEvent.accepted) {
    this->GiveUpTerm();
    return;
  }
  if (this->unanswered.erase(aEvent.server) > 0) {
    this->failures = 0;
    this->actions.emplace_back(Announce{ this->knownTerm, this->knownPrimary });
  }
}

void FailoverDecision::On(const failover_event::FollowAnswered& aEvent)
{
  this->Note(aEvent.server, aEvent.report);
  if (this->phase == FailoverPhase::Promoting && aEvent.term == this->knownTerm) {
    this->unanswered.erase(aEvent.server);
  }
}

void FailoverDecision::On(const failover_event::RowWritten& aEvent)
{
  const bool isAwaited =
    this->phase == FailoverPhase::Recording || this->phase == FailoverPhase::ReadingBack;
  if (isAwaited && aEvent.operationId == this->proposed.operationId) {
    this->StartPromoting();
  }
}

void FailoverDecision::On(const failover_event::RowConflicted& aEvent)
{
  const bool isAwaited =
    this->phase == FailoverPhase::Recording || this->phase == FailoverPhase::ReadingBack;
  if (isAwaited && aEvent.operationId == this->proposed.operationId) {
    if (aEvent.present.operationId == this->proposed.operationId) {
      this->StartPromoting();
      return;
    }
    this->BackOff();
  }
  this->Learn(aEvent.present.term, aEvent.present.primary);
}

void FailoverDecision::On(const failover_event::RowWriteLost& aEvent)
{
  if (this->phase == FailoverPhase::Recording && aEvent.operationId == this->proposed.operationId) {
    this->StartReading(FailoverPhase::ReadingBack);
  }
}

void FailoverDecision::On(const failover_event::RowRead& aEvent)
{
  this->platformReachable = true;
  this->isRowKnown = true;
  if (aEvent.request == this->readRequest && this->phase == FailoverPhase::ReadingBack) {
    if (aEvent.row.operationId == this->proposed.operationId) {
      this->StartPromoting();
    } else if (aEvent.row.version == this->proposed.version) {
      // Not written so far. The first try may still take effect; both can't, and both are equal.
      this->StartRecording();
    } else {
      this->BackOff();
    }
  }
  this->Learn(aEvent.row.term, aEvent.row.primary);
  if (aEvent.request != this->readRequest || this->phase != FailoverPhase::Reading) {
    return;
  }
  const Cause present = this->FindCause();
  if (present == Cause::NotPromoted) {
    this->StartPromoting();
  } else if (present == Cause::FencedOnly || present == Cause::Drained ||
             (present == Cause::Suspicion && this->cause == Cause::Suspicion)) {
    this->StartFencing(aEvent.row);
  } else {
    // Also for a suspicion that came up while the row was read: the peers have not been asked.
    this->Enter(FailoverPhase::Idle, Duration{ 0 });
  }
}

void FailoverDecision::On(const failover_event::RowReadFailed& aEvent)
{
  if (aEvent.request != this->readRequest) {
    return;
  }
  if (this->phase == FailoverPhase::Reading) {
    this->BackOff();
  } else if (this->phase == FailoverPhase::ReadingBack) {
    // The next read waits, so that an outage of the platform is not met with a storm of reads.
    this->phaseDeadline = this->now + this->NextBackoff();
  }
}

void FailoverDecision::Advance()
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

void FailoverDecision::AdvanceIdle()
{
  const bool isRowStale = !this->isRowKnown || this->HighestAcceptedTerm() > this->knownTerm;
  if (!isRowStale) {
    this->idleReadAt.reset();
  } else if (!this->idleReadAt) {
    // The VM that promotes announces it; the wait spares the platform one read from every VM.
    this->idleReadAt =
      this->now + (this->isRowKnown ? this->Jittered(this->options.rankStep) : Duration{ 0 });
  }
  if (this->idleReadAt && this->now >= *this->idleReadAt) {
    this->idleReadAt = this->now + this->Jittered(this->options.platformTimeout);
    this->ReadRowNow();
  }

  const Cause present = this->FindCause();
  if (present != this->cause) {
    this->cause = present;
    this->turn = this->now + this->TurnDelay(present);
  }
  if (this->cause == Cause::None) {
    this->failures = 0;
    this->RefreshRoles();
    return;
  }
  if (this->now < this->turn || !this->platformReachable) {
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

void FailoverDecision::AdvanceQuerying()
{
  std::size_t agreeing = 1;
  bool otherDomainAgrees = false;
  for (const auto& [peer, answer] : this->peerAnswers) {
    if (answer.suspects) {
      ++agreeing;
      otherDomainAgrees = otherDomainAgrees || answer.failureDomain != this->options.failureDomain;
    }
  }
  const std::size_t responding = this->peerAnswers.size() + 1;
  const std::size_t all = this->members.size() + 1;
  const bool isOver = this->now >= this->phaseDeadline || responding >= all;
  const std::size_t needed = MajorityOf(isOver ? responding : all);
  if (otherDomainAgrees && agreeing >= needed) {
    this->StartReading(FailoverPhase::Reading);
  } else if (isOver) {
    this->BackOff();
  }
}

void FailoverDecision::AdvanceFencing()
{
  if (this->fenced.size() >= MajorityOf(this->options.servers.size())) {
    if (!this->fencedMajorityAt) {
      this->fencedMajorityAt = this->now;
    }
    this->Choose();
    return;
  }
  if (this->now >= this->phaseDeadline) {
    this->BackOff();
    return;
  }
  this->SendServerCommands();
}

void FailoverDecision::AdvanceRecording()
{
  if (this->now >= this->phaseDeadline) {
    this->StartReading(FailoverPhase::ReadingBack);
  }
}

void FailoverDecision::AdvancePromoting()
{
  if (this->unanswered.empty()) {
    this->Enter(FailoverPhase::Idle, Duration{ 0 });
    return;
  }
  if (this->now < this->phaseDeadline) {
    this->SendServerCommands();
    return;
  }
  if (this->unanswered.contains(this->knownPrimary)) {
    this->BackOff();
    return;
  }
  this->Enter(FailoverPhase::Idle, Duration{ 0 });
}

void FailoverDecision::Enter(FailoverPhase aPhase, Duration aTimeout)
{
  this->phase = aPhase;
  this->phaseDeadline = this->now + aTimeout;
  if (aPhase == FailoverPhase::Idle) {
    this->cause = Cause::None;
  }
}

void FailoverDecision::BackOff()
{
  this->Enter(FailoverPhase::BackingOff, this->NextBackoff());
}

Duration FailoverDecision::NextBackoff()
{
  constexpr unsigned kMostDoublings = 16;
  const Duration longest =
    std::min(this->options.backoffMinimum * (1U << std::min(this->failures, kMostDoublings)),
             this->options.backoffMaximum);
  ++this->failures;
  return this->Jittered(longest);
}

void FailoverDecision::StartReading(FailoverPhase aPhase)
{
  this->Enter(aPhase, this->options.platformTimeout);
  this->ReadRowNow();
}

void FailoverDecision::ReadRowNow()
{
  this->actions.emplace_back(ReadRow{ ++this->readRequest });
}

void FailoverDecision::StartFencing(const PrimaryRow& aRow)
{
  ++this->operationCount;
  this->proposed.version = aRow.version;
  // A term that some server has accepted may be used again: only the compare-and-set makes a term
  // exist, and it goes to one primary.
  this->proposed.term = std::max(aRow.term + 1, this->HighestAcceptedTerm());
  this->proposed.primary = ServerAddress();
  this->proposed.operationId = this->options.self.Text() + "/" +
                               std::to_string(this->options.incarnation) + "/" +
                               std::to_string(this->operationCount);
  this->fenced.clear();
  this->fencedMajorityAt.reset();
  this->unanswered = { this->options.servers.begin(), this->options.servers.end() };
  this->resendAt = this->now;
  this->Enter(FailoverPhase::Fencing, this->options.serverTimeout);
}

void FailoverDecision::Choose()
{
  const std::vector<ServerAddress> pool = this->ChoicePool();
  const bool isWaitOver =
    this->unanswered.empty() || this->now >= *this->fencedMajorityAt + this->options.chooseGrace;
  const bool includesUnwanted =
    std::any_of(pool.begin(), pool.end(), [this](const ServerAddress& aServer) {
      return this->IsUnwanted(aServer);
    });
  if (includesUnwanted && !isWaitOver) {
    return;
  }
  const auto isWorse = [this](const ServerAddress& aLeft, const ServerAddress& aRight) {
    const LogPosition left = this->fenced[aLeft].position;
    const LogPosition right = this->fenced[aRight].position;
    if (left != right) {
      return left < right;
    }
    // Of equals, a primary that nobody suspects keeps its role.
    return aRight == this->knownPrimary && aLeft != this->knownPrimary && !this->suspected;
  };
  this->proposed.primary = *std::max_element(pool.begin(), pool.end(), isWorse);
  this->StartRecording();
}

std::vector<ServerAddress> FailoverDecision::ChoicePool() const
{
  std::vector<ServerAddress> all;
  std::vector<ServerAddress> wanted;
  for (const auto& [server, report] : this->fenced) {
    all.push_back(server);
    if (!this->IsUnwanted(server)) {
      wanted.push_back(server);
    }
  }
  // Without the unwanted servers the others have to be a majority of their own.
  return wanted.size() < MajorityOf(this->options.servers.size()) ? all : wanted;
}

void FailoverDecision::StartRecording()
{
  this->Enter(FailoverPhase::Recording, this->options.platformTimeout);
  this->actions.emplace_back(CompareAndSetRow{ this->proposed });
}

void FailoverDecision::StartPromoting()
{
  const bool isOwnRecord =
    this->phase == FailoverPhase::Recording || this->phase == FailoverPhase::ReadingBack;
  if (isOwnRecord) {
    this->Learn(this->proposed.term, this->proposed.primary);
    if (this->knownTerm != this->proposed.term) {
      // A later promotion is known already.
      this->Enter(FailoverPhase::Idle, Duration{ 0 });
      return;
    }
  }
  this->Enter(FailoverPhase::Promoting, this->options.serverTimeout);
  this->unanswered = { this->options.servers.begin(), this->options.servers.end() };
  this->resendAt = this->now;
}

void FailoverDecision::SendServerCommands()
{
  if (this->now < this->resendAt) {
    return;
  }
  this->resendAt = this->now + this->options.resendInterval;
  for (const ServerAddress& server : this->unanswered) {
    if (this->phase == FailoverPhase::Fencing) {
      this->actions.emplace_back(AcceptTerm{ server, this->proposed.term });
    } else if (server == this->knownPrimary) {
      this->actions.emplace_back(Promote{ server, this->knownTerm });
    } else {
      this->actions.emplace_back(Follow{ server, this->knownTerm, this->knownPrimary });
    }
  }
}

void FailoverDecision::RefreshRoles()
{
  // A replica whose Follow was lost, or that restarted, has nobody to replicate from. The second
  // rank covers a first one that is about to be found dead.
  constexpr unsigned kRanks = 2;
  if (this->now < this->nextFollow || this->rank >= kRanks || this->knownPrimary.IsEmpty()) {
    return;
  }
  const auto primary = this->seen.find(this->knownPrimary);
  if (primary == this->seen.end() || !this->IsFresh(primary->second) ||
      !primary->second.report.leads || primary->second.report.acceptedTerm != this->knownTerm) {
    return;
  }
  this->nextFollow = this->now + this->Jittered(this->options.followInterval);
  if (primary->second.report.position.term < this->knownTerm) {
    // A server that serves old terms may still lead in the one before: its report does not tell.
    // Once it has written in the present term, it was promoted.
    this->actions.emplace_back(Promote{ this->knownPrimary, this->knownTerm });
  }
  for (const auto& [server, replica] : this->seen) {
    if (server == this->knownPrimary || !this->IsFresh(replica) ||
        replica.report.acceptedTerm > this->knownTerm) {
      continue;
    }
    const bool isInOldTerm = replica.report.acceptedTerm < this->knownTerm;
    const bool isStuck = replica.report.position != primary->second.report.position &&
                         this->now - replica.positionSince >= this->options.finishDelay;
    if (isInOldTerm || isStuck) {
      this->actions.emplace_back(Follow{ server, this->knownTerm, this->knownPrimary });
    }
  }
}

void FailoverDecision::Learn(std::uint64_t aTerm, const ServerAddress& aPrimary)
{
  if (aTerm <= this->knownTerm || aPrimary.IsEmpty()) {
    return;
  }
  this->knownTerm = aTerm;
  this->knownPrimary = aPrimary;
  this->isRowKnown = true;
  this->suspected = false;
  this->actions.emplace_back(AdoptPrimary{ aTerm, aPrimary });
  this->failures = 0;
  this->Enter(FailoverPhase::Idle, Duration{ 0 });
}

void FailoverDecision::Note(const ServerAddress& aServer, const ServerReport& aReport)
{
  const auto [place, isNew] =
    this->seen.try_emplace(aServer, SeenReport{ aReport, this->now, this->now });
  if (isNew) {
    return;
  }
  SeenReport& known = place->second;
  // A server's accepted term never falls, so this report is an older one that came late.
  if (aReport.acceptedTerm < known.report.acceptedTerm) {
    return;
  }
  if (aReport.position != known.report.position) {
    known.positionSince = this->now;
  }
  known.report = aReport;
  known.at = this->now;
}

void FailoverDecision::GiveUpTerm()
{
  this->BackOff();
  this->ReadRowNow();
}

FailoverDecision::Cause FailoverDecision::FindCause() const
{
  if (!this->isRowKnown) {
    return Cause::None;
  }
  // Comes before a suspicion: somebody is at work, and is given time to finish.
  if (this->knownPrimary.IsEmpty() || this->HighestAcceptedTerm() > this->knownTerm) {
    return Cause::FencedOnly;
  }
  if (this->IsPromotionMissing()) {
    return Cause::NotPromoted;
  }
  if (this->suspected) {
    return Cause::Suspicion;
  }
  return this->CanReplaceDrainedPrimary() ? Cause::Drained : Cause::None;
}

bool FailoverDecision::IsUnwanted(const ServerAddress& aServer) const
{
  return (this->suspected && aServer == this->knownPrimary) || this->drained.contains(aServer);
}

bool FailoverDecision::CanReplaceDrainedPrimary() const
{
  if (!this->drained.contains(this->knownPrimary)) {
    return false;
  }
  const auto isReady = [this](const auto& aSeen) {
    const ServerReport& report = aSeen.second.report;
    return !this->drained.contains(aSeen.first) && this->IsFresh(aSeen.second) &&
           report.acceptedTerm == this->knownTerm &&
           (report.position.term == this->knownTerm || report.position.offset == 0);
  };
  const auto ready = std::count_if(this->seen.begin(), this->seen.end(), isReady);
  return static_cast<std::size_t>(ready) >= MajorityOf(this->options.servers.size());
}

bool FailoverDecision::IsFresh(const SeenReport& aSeen) const
{
  return this->now - aSeen.at <= this->options.reportLifetime;
}

bool FailoverDecision::IsPromotionMissing() const
{
  // A server that answers, but can't be promoted, is replaced like one that does not answer.
  constexpr unsigned kTries = 2;
  const auto primary = this->seen.find(this->knownPrimary);
  return primary != this->seen.end() && this->failures < kTries &&
         this->now - primary->second.at <= this->options.finishDelay &&
         !primary->second.report.leads && primary->second.report.acceptedTerm <= this->knownTerm &&
         this->HighestAcceptedTerm() <= this->knownTerm;
}

std::uint64_t FailoverDecision::HighestAcceptedTerm() const
{
  std::uint64_t highest = 0;
  for (const auto& [server, seenReport] : this->seen) {
    highest = std::max(highest, seenReport.report.acceptedTerm);
  }
  return highest;
}

Duration FailoverDecision::TurnDelay(Cause aCause)
{
  const bool isUnfinished = aCause == Cause::FencedOnly || aCause == Cause::NotPromoted;
  const Duration base = isUnfinished ? this->options.finishDelay : Duration{ 0 };
  const unsigned place = std::min(this->rank, this->options.rankLimit);
  const Duration jitter = this->rank > this->options.rankLimit ? this->options.backoffMaximum
                                                               : this->options.rankStep / 4;
  return base + this->options.rankStep * place + this->Jittered(jitter) - jitter / 2;
}

Duration FailoverDecision::Jittered(Duration aDuration)
{
  std::uniform_int_distribution<Duration::rep> distribution(aDuration.count() / 2,
                                                            aDuration.count() * 3 / 2);
  return Duration{ distribution(this->random) };
}

} // namespace mustardshift
