#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "core/lease/HeldQuotaShard.h"
#include "core/rate/Admission.h"
#include "core/rate/DemandEstimate.h"
#include "core/rate/QuotaLoanGrant.h"
#include "core/rate/QuotaLoanLedger.h"
#include "core/rate/QuotaLoanRequest.h"
#include "core/rate/QuotaUnits.h"
#include "core/rate/TokenBucket.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace mustardshift {

/** The longest time that a request waits for a token before it is refused. */
inline constexpr Duration kMaxAdmissionWait = std::chrono::milliseconds(200);

/** One VM's part of one organisation's rate and burst: its shards, less what it lent, plus what it
    borrowed. All parts over all VMs never sum to more than the rate and the burst, whatever is
    lost, late, paused or partitioned: units and tokens leave one VM before another gains them, and
    deadlines are applied at the moment of use, in the order in which they passed.

    Each method takes the present time; an earlier time than before counts as the latest one.

    Thread safety: none; one thread owns the object. */
class OrganisationQuota
{
public:
  /** @param aSelf         id of this VM.
      @param aIncarnation  of this process.
      @param aRate         configured requests per second of the organisation over the whole cell.
      @param aBurst        configured burst over the whole cell. */
  OrganisationQuota(OrganisationName aOrganisation,
                    VmId aSelf,
                    std::uint64_t aIncarnation,
                    double aRate,
                    double aBurst);

  /** Changes the configured rate and burst at once; creates no tokens. */
  void Configure(Instant aNow, double aRate, double aBurst);

  /** Sets the shards that this VM holds: QuotaShardHolder::HeldShards(). Call it after each change
      of the holder and before the write that releases a shard. A gained shard brings no tokens, a
      lost one takes its part of the tokens along. */
  void SetShards(Instant aNow, const std::vector<HeldQuotaShard>& aShards);

  /** Asks for a token for a request that arrived now. Returns an admission, the advice to ask again
      a little later, or the refusal RateExceeded, NotRun. */
  Outcome<Admission> Admit(Instant aNow);

  /** Asks again for a request that was told to wait, at aAdmission.waitUntil or later. Requests
      that wait are admitted in order of arrival, ahead of new ones. The wait ends with an admission
      or a refusal within kMaxAdmissionWait of the arrival, if the caller asks when told to. */
  Outcome<Admission> RetryAdmission(Instant aNow, const Admission& aAdmission);

  /** Ends the wait of a request whose caller has gone. */
  void CancelWait(const Admission& aAdmission);

  /** Decides about a peer's request, and gives up units and tokens before it returns. A loan ends
      before the earliest lease of the held shards does; borrowed units are never lent. */
  QuotaLoanGrant Lend(Instant aNow, const QuotaLoanRequest& aRequest);

  /** Takes a peer's grant. The loan's deadline counts from aRequestSent, an instant before the
      request was sent; the aNow of the PlanLoanRequests() that made the request will do. Grants for
      another process, repeated grants and those past their deadline are ignored. Returns whether
      anything was gained or extended. */
  bool Borrow(Instant aNow, const QuotaLoanGrant& aGrant, Instant aRequestSent);

  /** Returns the loan requests to send now: extensions of loans that are still needed, and new
      loans for demand that the present units don't cover. A peer that granted nothing is asked
      again after a growing pause.

      @param aPeers  reachable VMs of the cell other than this one. */
  std::vector<QuotaLoanRequest> PlanLoanRequests(Instant aNow, const std::vector<VmId>& aPeers);

  /** Returns requests for tokens, when requests wait that this VM has no tokens for. Call it
      whenever a request is told to wait, and after each answer. Loans follow the demand within
      seconds; tokens bridge chance variations, which are large where a small burst is divided among
      many VMs, and demand that has just moved to this VM.
      @param aPeers  as for PlanLoanRequests(). */
  std::vector<QuotaLoanRequest> PlanTokenRequests(Instant aNow, const std::vector<VmId>& aPeers);

  /** Units in force at aNow. */
  QuotaUnits Units(Instant aNow);
  /** Tokens there at aNow. */
  double Tokens(Instant aNow);
  /** Requests per second asked for lately. */
  double Demand(Instant aNow) const { return this->demand.Rate(aNow); }
  const QuotaLoanLedger& Loans() const { return this->loans; }
  /** Requests that wait for a token, including some that have just ended their wait. */
  std::size_t WaitingCount() const { return this->waiting.size(); }

private:
  struct Waiter
  {
    bool isWaiting = true;
    /** When the wait ends at the latest. */
    Instant until{};
  };
  struct PeerState
  {
    Instant nextLoanRequestAt{};
    Duration loanBackoff{ 0 };
    Instant nextTokenRequestAt{};
    Duration tokenRequestBackoff{ 0 };
    /** Number of the request for tokens that awaits its answer, or zero. */
    std::uint64_t pendingTokenRequest = 0;
  };
  /** Tokens that belong to one VM and may be used by another until an instant. */
  struct TransferredTokens
  {
    double count = 0;
    Instant until{};
  };

  QuotaLoanGrant TransferTokens(Instant aNow,
                                const QuotaLoanRequest& aRequest,
                                QuotaLoanGrant aGrant);
  bool ReceiveTokens(Instant aNow, const QuotaLoanGrant& aGrant, Instant aRequestSent);
  double AvailableTokens() const;
  double BurstOfUnits(QuotaUnits aUnits) const;
  double SentTokenCount() const;
  bool TryTakeToken(Instant aNow);
  Instant AdvanceTo(Instant aNow);
  void UpdateBucket(Instant aNow);
  void UpdateNextExpiry();
  QuotaUnits OwnUnits() const;
  QuotaUnits NeededUnits(Instant aNow) const;
  QuotaUnits LendableUnits(Instant aNow) const;
  Instant EarliestLeaseDeadline() const;
  void RemoveEndedWaiters(Instant aNow);
  Outcome<Admission> ScheduleRetry(Instant aNow, std::uint64_t aTicket, Instant aUntil);
  Waiter* FindWaiter(std::uint64_t aTicket);

  OrganisationName organisation;
  VmId self;
  std::uint64_t incarnation;
  double rate;
  double burst;
  std::vector<HeldQuotaShard> shards;
  QuotaLoanLedger loans;
  TokenBucket bucket;
  QuotaUnits currentUnits = 0;
  Instant latest{};
  Instant nextExpiry = Instant::max();
  DemandEstimate demand;
  /** Waits in order of arrival; the ticket of the front one is firstTicket. */
  std::deque<Waiter> waiting;
  std::uint64_t firstTicket = 1;
  std::uint64_t lastRequest = 0;
  /** Tokens given to peers. They take up capacity until nobody can use them any more, so that the
      tokens of all VMs together never exceed the burst. */
  std::vector<TransferredTokens> sentTokens;
  /** Tokens got from peers. */
  std::vector<TransferredTokens> receivedTokens;
  std::map<VmId, PeerState> peers;
  std::size_t nextPeer = 0;
};

} // namespace mustardshift
