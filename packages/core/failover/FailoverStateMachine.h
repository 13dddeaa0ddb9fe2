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

/** Replaces the primary of one database if it fails, and ensures that a term has at most one
    primary. Every VM runs one instance for each database.

    It is a pure state machine: it takes events and the current time, and returns actions. It stays
    safe if actions are lost, repeated or carried out late, if the VM is paused between any two
    steps, and if the process is restarted with an empty state at any time. Safety depends on three
    rules:
    1. The primary is recorded by a compare-and-set on the version of the row that was read before a
       majority of the servers accepted the new term ("fencing").
    2. The recorded primary is the server with the highest log position among such a majority.
    3. Promote is sent only to the server that the row records, with the row's term.

    If a group was fenced but no primary was recorded, or if the recorded primary was not promoted,
    any VM that notices it completes the promotion, whether or not it suspects the primary.

    Thread safety: none. */
class FailoverStateMachine
{
public:
  using Actions = std::vector<FailoverAction>;

  /** @param aRandom  source of the jitter; has to be seeded differently on each VM.
      Precondition: the options name at least one server, the database and this VM. */
  FailoverStateMachine(FailoverOptions aOptions, std::mt19937_64 aRandom);

  /** Handles an event and returns the actions to carry out, in this order. Precondition: aNow is
      not earlier than in the previous call. */
  Actions Handle(const FailoverEvent& aEvent, Instant aNow);

  FailoverPhase Phase() const { return this->phase; }

  /** Highest recorded term that this VM knows; zero if it knows none. */
  std::uint64_t KnownTerm() const { return this->knownTerm; }
  /** Primary of KnownTerm(); empty if this VM knows of no recorded primary. */
  const ServerAddress& KnownPrimary() const { return this->knownPrimary; }

  /** Returns whether this VM suspects the primary of a term: the answer to a peer's query. */
  bool Suspects(std::uint64_t aTerm) const
  {
    return this->isPrimarySuspected && aTerm == this->knownTerm;
  }

private:
  /** Reason for an attempt to promote a primary. */
  enum class Cause
  {
    None,
    /** The primary is suspected. */
    Suspicion,
    /** A server has accepted a term that is not recorded, or no primary is recorded at all. */
    UnrecordedTerm,
    /** The recorded primary answers, but does not act as primary. */
    NotPromoted,
    /** The primary is drained, and the servers in service form a majority without it. */
    Drained,
  };

  /** Last report of a server. */
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
  /** Ends the attempt after a server has refused the term because it accepted a later one. */
  void AbandonTerm();

  Cause FindCause() const;
  bool IsFresh(const ReceivedReport& aReport) const;
  bool IsPromotionMissing() const;
  bool CanReplaceDrainedPrimary() const;
  /** Whether a server is chosen as primary only if the majority can't be formed without it. */
  bool IsDeprioritised(const ServerAddress& aServer) const;
  std::uint64_t HighestAcceptedTerm() const;
  /** Servers among which the primary is chosen. */
  std::vector<ServerAddress> CandidateServers() const;
  /** Delay between the detection of a cause and this VM's attempt. */
  Duration AttemptDelay(Cause aCause);
  /** Returns a random duration between 0.5 and 1.5 times aDuration. */
  Duration Jittered(Duration aDuration);

  FailoverOptions options;
  std::mt19937_64 random;
  unsigned rank = 0;
  std::vector<VmId> members;

  // State of the Handle() call in progress.
  Instant now;
  Actions actions;

  // State of the group of servers, as far as this VM knows it.
  bool isRowKnown = false;
  std::uint64_t knownTerm = 0;
  ServerAddress knownPrimary;
  bool isPrimarySuspected = false;
  std::set<ServerAddress> drainedServers;
  bool isPlatformReachable = true;
  std::map<ServerAddress, ReceivedReport> lastReports;

  // State of the current attempt.
  FailoverPhase phase = FailoverPhase::Idle;
  Instant phaseDeadline;
  Cause cause = Cause::None;
  Instant attemptAt;
  unsigned failedAttempts = 0;
  std::map<VmId, PeerAnswer> peerAnswers;
  std::uint64_t lastReadRequest = 0;
  std::uint64_t operationCount = 0;
  PrimaryRow proposedRow;
  std::map<ServerAddress, ServerReport> acceptedReports;
  std::optional<Instant> fencedMajorityAt;
  std::set<ServerAddress> unansweredServers;
  Instant resendAt;

  // Periodic work while idle.
  std::optional<Instant> nextIdleRead;
  Instant nextRoleResend;
};

} // namespace mustardshift
