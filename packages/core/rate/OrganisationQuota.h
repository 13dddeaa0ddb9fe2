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

/** Maximum time that a request waits for a token before it is refused. */
inline constexpr Duration kMaxAdmissionWait = std::chrono::milliseconds(200);

/** One VM's part of the rate and burst of one organisation: the units of its shards, less the units
    that it lent, plus the units that it borrowed. The parts of all VMs together never exceed the
    rate and the burst, even if messages are lost or late, VMs pause or the network is partitioned.
    To ensure this, units and tokens are taken from one VM before another one gains them, and
    deadlines are applied when the quota is used, in the order in which they passed.

    Each method takes the present time. A time earlier than that of a previous call is treated as
    the latest time passed so far.

    Thread safety: none; one thread owns the object. */
class OrganisationQuota
{
public:
  /** @param aSelf         id of this VM.
      @param aIncarnation  number of this process.
      @param aRate         configured requests per second of the organisation over the whole cell,
                           not negative.
      @param aBurst        configured burst over the whole cell, not negative. */
  OrganisationQuota(OrganisationName aOrganisation,
                    VmId aSelf,
                    std::uint64_t aIncarnation,
                    double aRate,
                    double aBurst);

  /** Changes the configured rate and burst immediately. It creates no tokens. Precondition: neither
      value is negative. */
  void Configure(Instant aNow, double aRate, double aBurst);

  /** Sets the shards that this VM holds: QuotaShardHolder::HeldShards(). Call it after each change
      of the held shards, and before sending the write that releases a shard. A gained shard adds no
      tokens; the loss of a shard removes the corresponding part of the tokens. */
  void SetShards(Instant aNow, const std::vector<HeldQuotaShard>& aShards);

  /** Requests a token for a request that arrived now. Returns an Admission that is admitted, an
      Admission that says when to retry, or the refusal RateExceeded, NotRun. */
  Outcome<Admission> Admit(Instant aNow);

  /** Retries a request that was told to wait, at aAdmission.waitUntil or later. Waiting requests
      are admitted in order of arrival, before new ones. The wait ends with an admission or a
      refusal within kMaxAdmissionWait of the arrival, provided that the caller retries when told
      to. */
  Outcome<Admission> RetryAdmission(Instant aNow, const Admission& aAdmission);

  /** Stops waiting on behalf of a request whose caller has disconnected or given up. */
  void CancelWait(const Admission& aAdmission);

  /** Replies to a request of a peer, and removes the units and tokens that it grants from this VM
      before it returns. A loan ends before the earliest lease of the held shards does. Borrowed
      units are never lent. */
  QuotaLoanGrant Lend(Instant aNow, const QuotaLoanRequest& aRequest);

  /** Applies the grant of a peer. The deadline of the loan is counted from aRequestSent, an instant
      before the request was sent; use the aNow that was passed to the PlanLoanRequests() or
      PlanTokenRequests() call that returned the request. Grants for another process, repeated
      grants and grants past their deadline are ignored. Returns whether anything was gained or
      extended. */
  bool Borrow(Instant aNow, const QuotaLoanGrant& aGrant, Instant aRequestSent);

  /** Returns the loan requests to send now: extensions of loans that are still needed, and requests
      for new loans if the demand exceeds the current units. A peer that granted nothing is asked
      again after a delay that increases with each refusal.

      @param aPeers  reachable VMs of the cell other than this one. */
  std::vector<QuotaLoanRequest> PlanLoanRequests(Instant aNow, const std::vector<VmId>& aPeers);

  /** Returns the token requests to send now, if more requests are waiting than this VM has tokens
      for. Call it whenever a request is told to wait, and after each reply. Loans adapt to the
      demand within seconds. Tokens cover random variations, which are large where a small burst is
      divided among many VMs, and demand that has just moved to this VM.

      @param aPeers  as for PlanLoanRequests(). */
  std::vector<QuotaLoanRequest> PlanTokenRequests(Instant aNow, const std::vector<VmId>& aPeers);

  /** Returns the units that this VM may use at aNow. */
  QuotaUnits Units(Instant aNow);
  /** Returns the tokens available at aNow, including those received from peers. */
  double Tokens(Instant aNow);
  /** Returns the recent demand in requests per second. */
  double Demand(Instant aNow) const { return this->demand.Rate(aNow); }
  const QuotaLoanLedger& Loans() const { return this->loans; }
  /** Returns how many requests are waiting for a token, including some whose wait may have just
      ended. */
  std::size_t WaitingCount() const { return this->waiting.size(); }

private:
  struct Waiter
  {
    bool isWaiting = true;
    /** Latest time at which the wait ends. */
    Instant until{};
  };
  struct PeerState
  {
    Instant nextLoanRequestAt{};
    Duration loanBackoff{ 0 };
    Instant nextTokenRequestAt{};
    Duration tokenRequestBackoff{ 0 };
    /** Number of the token request that has not been answered yet, or zero. */
    std::uint64_t pendingTokenRequest = 0;
  };
  /** Tokens of one VM that another VM may use until they expire. */
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
  /** Applies, in order, the deadlines that passed by aNow and refills the bucket. Returns aNow, or
      the latest time passed so far if that is later. */
  Instant AdvanceTo(Instant aNow);
  /** Sets the bucket's rate and capacity to the units that this VM has now. If it has fewer than
      before, removes the corresponding part of the tokens. */
  void UpdateBucket(Instant aNow);
  void UpdateNextExpiry();
  QuotaUnits OwnUnits() const;
  QuotaUnits NeededUnits(Instant aNow) const;
  QuotaUnits LendableUnits(Instant aNow) const;
  Instant EarliestLeaseDeadline() const;
  void RemoveEndedWaiters(Instant aNow);
  Outcome<Admission> PlanRetry(Instant aNow, std::uint64_t aTicket, Instant aUntil);
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
  Instant latestTime{};
  Instant nextExpiry = Instant::max();
  DemandEstimate demand;
  /** Waiting requests in order of arrival; the ticket of the first one is firstTicket. */
  std::deque<Waiter> waiting;
  std::uint64_t firstTicket = 1;
  std::uint64_t lastRequest = 0;
  /** Tokens sent to peers. They take up capacity until no VM can use them any more, so that the
      tokens of all VMs together never exceed the burst. */
  std::vector<TransferredTokens> sentTokens;
  /** Tokens received from peers. */
  std::vector<TransferredTokens> receivedTokens;
  std::map<VmId, PeerState> peers;
  std::size_t nextPeer = 0;
};

} // namespace mustardshift
