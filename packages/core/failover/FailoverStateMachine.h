#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/failover/FailoverAction.h"
#include "core/failover/FailoverEvent.h"
#include "core/failover/FailoverOptions.h"
#include "core/failover/FailoverPhase.h"
#include "core/failover/PrimaryRow.h"
#include "core/failover/ServerReport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardshift {

/** One VM's part in keeping a database group under exactly one primary.

    A pure state machine: events and the present time go in, actions come out. Actions may be lost,
    repeated or carried out late, the VM may be paused between any two steps, and the process may be
    restarted with an empty state at any time. Safety rests on three things only: a primary is
    recorded by compare-and-set on the version of the row that was read before a majority accepted
    the new term; the recorded primary is the highest position among such a majority; and Promote
    goes to nobody but the server that the row records, with the row's term.

    A group that some VM has fenced without recording a primary, and a recorded primary that does
    not lead, are finished by whichever VM sees them, without regard to suspicion.

    Thread safety: none. */
class FailoverStateMachine
{
public:
  using Actions = std::vector<FailoverAction>;

  /** @param aRandom  source of the jitter, seeded differently on each VM.
      Precondition: the options name at least one server, the database and this VM. */
  FailoverStateMachine(FailoverOptions aOptions, std::mt19937_64 aRandom);

  /** Takes an event and returns what to do, in this order. Instants never go backwards. */
  Actions Handle(const FailoverEvent& aEvent, Instant aNow);

  FailoverPhase Phase() const { return this->phase; }

  /** Highest recorded term that this VM knows, zero when it knows none. */
  std::uint64_t KnownTerm() const { return this->knownTerm; }
  /** Primary of KnownTerm(); empty when none is recorded. */
  const ServerAddress& KnownPrimary() const { return this->knownPrimary; }

  /** What to answer a peer that asks about a term. */
  bool Suspects(std::uint64_t aTerm) const { return this->suspected && aTerm == this->knownTerm; }

private:
  /** Why an attempt is made. */
  enum class Cause
  {
    None,
    /** The primary is suspected. */
    Suspicion,
    /** A server has accepted a term that is not recorded, or nothing is recorded at all. */
    UnrecordedTerm,
    /** The recorded primary answers, but does not lead. */
    NotPromoted,
    /** The primary is out of service, and the others can do without it. */
    Drained,
  };

  struct ReceivedReport
  {
    ServerReport report;
    Instant receivedAt;
    Instant positionUnchangedSince;
  };

  struct PeerAnswer
  {
    FailureDomainName failureDomain;
    bool suspects = false;
  };

  void On(const failover_event::Tick& aEvent);
  void On(const failover_event::MembersChanged& aEvent);
  void On(const failover_event::SuspicionChanged& aEvent);
  void On(const failover_event::PeerAnswered& aEvent);
  void On(const failover_event::PrimaryLearned& aEvent);
  void On(const failover_event::ServersDrained& aEvent);
  void On(const failover_event::PlatformStateChanged& aEvent);
  void On(const failover_event::ServerReported& aEvent);
  void On(const failover_event::AcceptTermAnswered& aEvent);
  void On(const failover_event::PromoteAnswered& aEvent);
  void On(const failover_event::FollowAnswered& aEvent);
  void On(const failover_event::RowWritten& aEvent);
  void On(const failover_event::RowConflicted& aEvent);
  void On(const failover_event::RowWriteOutcomeUnknown& aEvent);
  void On(const failover_event::RowRead& aEvent);
  void On(const failover_event::RowReadFailed& aEvent);

  void Advance();
  void AdvanceIdle();
  void AdvanceQuerying();
  void AdvanceFencing();
  void AdvanceRecording();
  void AdvancePromoting();

  void Enter(FailoverPhase aPhase, Duration aTimeout);
  void BackOff();
  Duration NextBackoff();
  void StartReading(FailoverPhase aPhase);
  void RequestRow();
  void StartFencing(const PrimaryRow& aRow);
  void ChoosePrimary();
  void StartRecording();
  void StartPromoting();
  void SendServerCommands();
  void ResendRoles();
  void AdoptNewerPrimary(std::uint64_t aTerm, const ServerAddress& aPrimary);
  void StoreReport(const ServerAddress& aServer, const ServerReport& aReport);
  /** Follows a server's refusal of a term that it has surpassed. */
  void AbandonTerm();

  Cause FindCause() const;
  bool IsFresh(const ReceivedReport& aReport) const;
  bool IsPromotionMissing() const;
  bool CanReplaceDrainedPrimary() const;
  bool IsDeprioritised(const ServerAddress& aServer) const;
  std::uint64_t HighestAcceptedTerm() const;
  std::vector<ServerAddress> CandidateServers() const;
  Duration AttemptDelay(Cause aCause);
  Duration Jittered(Duration aDuration);

  FailoverOptions options;
  std::mt19937_64 random;
  unsigned rank = 0;
  std::vector<VmId> members;

  // The event that is being handled.
  Instant now;
  Actions actions;

  // What is known.
  bool isRowKnown = false;
  std::uint64_t knownTerm = 0;
  ServerAddress knownPrimary;
  bool suspected = false;
  std::set<ServerAddress> drained;
  bool platformReachable = true;
  std::map<ServerAddress, ReceivedReport> lastReports;

  // The attempt.
  FailoverPhase phase = FailoverPhase::Idle;
  Instant phaseDeadline;
  Cause cause = Cause::None;
  Instant attemptAt;
  unsigned failures = 0;
  std::map<VmId, PeerAnswer> peerAnswers;
  std::uint64_t readRequest = 0;
  std::uint64_t operationCount = 0;
  PrimaryRow proposed;
  std::map<ServerAddress, ServerReport> fenced;
  std::optional<Instant> fencedMajorityAt;
  std::set<ServerAddress> unanswered;
  Instant resendAt;

  // Housekeeping while idle.
  std::optional<Instant> nextIdleRead;
  Instant nextRoleResend;
};

} // namespace mustardshift
