#include "core/rate/OrganisationQuota.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace mustardshift {

namespace {

using std::chrono::milliseconds;

/** Minimum size of a loan. The benefit of a smaller loan does not justify the messages for it. */
constexpr QuotaUnits kMinLoanUnits = kQuotaUnitsPerShard / 100;
/** Minimum size of a request for a new loan. A VM that requested a small loan for each increase in
    demand reached the maximum number of loans before its demand was met: with all callers on one of
    nine VMs and a load of nine tenths of the rate, a quarter of the callers' requests was
    refused. */
constexpr QuotaUnits kMinLoanRequestUnits = kQuotaUnitsPerShard / 2;
/** Minimum duration of a loan. A loan that would be shorter, because a lease ends soon, is not
    made. */
constexpr Duration kMinLoanDuration = milliseconds(1000);
/** An extension is requested when less than this time of a loan remains. That leaves time for three
    more attempts after a lost message. */
constexpr Duration kExtensionLeadTime = milliseconds(1500);
constexpr Duration kExtensionRetryDelay = milliseconds(400);
/** A peer that has not replied is asked again after this time. */
constexpr Duration kReplyTimeout = milliseconds(300);
/** Limits of the delay before a peer that had nothing to lend is asked again. The delay doubles
    with each refusal. */
constexpr Duration kMinRefusalBackoff = milliseconds(200);
constexpr Duration kMaxRefusalBackoff = milliseconds(4000);
/** Delay before the next attempt of a waiting request, if this VM's own refill will not provide the
    token within kMaxExactWait. It is short because a loan can bring tokens at any time. */
constexpr Duration kTokenPollInterval = milliseconds(5);
/** If this VM's own refill will provide the token within less than this time, the request waits
    exactly that long, without intermediate attempts. */
constexpr Duration kMaxExactWait = milliseconds(25);
/** Minimum time before a retry, so that rounding cannot cause a caller to retry in a busy loop. */
constexpr Duration kMinWait = milliseconds(1);
/** A request that retries at most this long after the end of its wait still keeps its place in the
    queue. */
constexpr Duration kLateRetryTolerance = milliseconds(20);
/** A VM keeps quota for this multiple of its demand, so that random variations of the demand find
    tokens. With a multiple of 1.15 and a demand of nine tenths of the rate, all VMs together needed
    more quota than there is, so that no VM could lend any and loans kept moving between VMs. */
constexpr double kHeadroom = 1.05;
/** A lender keeps the units of its shards divided by this number, for the first requests that reach
    it. */
constexpr QuotaUnits kLenderReserveDivisor = 20;
/** How long tokens from a peer may be used: as long as a request may wait. */
constexpr Duration kTokenLifetime = kMaxAdmissionWait;
/** Minimum number of tokens that a VM sends to a peer. */
constexpr double kMinTokenTransfer = 0.1;
/** Maximum number of tokens per request, and maximum number of peers that are asked at the same
    time. */
constexpr double kMaxTokensPerRequest = 16;
constexpr std::size_t kMaxPeersPerTokenRequest = 2;
/** Limits of the delay before a peer that had no tokens is asked again. The delay doubles with each
    refusal. At the maximum delay a peer is asked at most twice a second, so an organisation whose
    demand is far above its rate costs each of nine VMs, which have eight peers, at most 16 messages
    a second. */
constexpr Duration kMinTokenRequestBackoff = milliseconds(10);
constexpr Duration kMaxTokenRequestBackoff = milliseconds(500);
/** Demand below this value, in requests per second, counts as zero. */
constexpr double kMinDemand = 0.05;

tl::unexpected<Refusal> RefuseRateExceeded()
{
  return RefuseNotRun(Reason::RateExceeded, "the organisation's rate is exhausted");
}

} // namespace

OrganisationQuota::OrganisationQuota(OrganisationName aOrganisation,
                                     VmId aSelf,
                                     std::uint64_t aIncarnation,
                                     double aRate,
                                     double aBurst)
  : organisation(std::move(aOrganisation))
  , self(std::move(aSelf))
  , incarnation(aIncarnation)
  , rate(aRate)
  , burst(aBurst)
{
  MUSTARDSHIFT_ASSERT(aRate >= 0 && aBurst >= 0);
}

void OrganisationQuota::Configure(Instant aNow, double aRate, double aBurst)
{
  MUSTARDSHIFT_ASSERT(aRate >= 0 && aBurst >= 0);
  const Instant now = this->AdvanceTo(aNow);
  this->rate = aRate;
  this->burst = aBurst;
  this->UpdateBucket(now);
}

void OrganisationQuota::SetShards(Instant aNow, const std::vector<HeldQuotaShard>& aShards)
{
  const Instant now = this->AdvanceTo(aNow);
  // Remove the lost shards and their tokens before adding the gained shards. If both were applied
  // in one step, a gained shard would offset a lost one, and the tokens of the lost shard would
  // stay.
  std::erase_if(this->shards, [&](const HeldQuotaShard& aOld) {
    return std::none_of(aShards.begin(), aShards.end(), [&](const HeldQuotaShard& aNew) {
      return aNew.shard == aOld.shard;
    });
  });
  this->UpdateBucket(now);
  this->shards = aShards;
  std::erase_if(this->shards, [&](const HeldQuotaShard& aHeld) { return aHeld.deadline <= now; });
  this->UpdateBucket(now);
  this->UpdateNextExpiry();
}

Outcome<Admission> OrganisationQuota::Admit(Instant aNow)
{
  const Instant now = this->AdvanceTo(aNow);
  this->demand.RecordRequests(now);
  this->RemoveEndedWaiters(now);
  const auto requestsAhead = static_cast<double>(this->waiting.size());
  if (this->AvailableTokens() >= requestsAhead + 1 && this->TryTakeToken(now)) {
    return Admission{ true, now, 0 };
  }
  if (this->burst < 1) {
    return RefuseRateExceeded();
  }
  // Loans can raise this VM's rate up to the whole rate of the organisation, but not above it.
  const double maxRate = this->currentUnits < kQuotaUnitsTotal ? this->rate : this->bucket.Rate();
  const double maxWaitSeconds = std::chrono::duration<double>(kMaxAdmissionWait).count();
  const double peerCapacity = this->BurstOfUnits(kQuotaUnitsTotal - this->currentUnits);
  if (requestsAhead + 1 - this->AvailableTokens() > maxRate * maxWaitSeconds + peerCapacity) {
    return RefuseRateExceeded();
  }
  const std::uint64_t ticket = this->firstTicket + this->waiting.size();
  this->waiting.push_back({ true, now + kMaxAdmissionWait });
  return this->PlanRetry(now, ticket, now + kMaxAdmissionWait);
}

Outcome<Admission> OrganisationQuota::RetryAdmission(Instant aNow, const Admission& aAdmission)
{
  const Instant now = this->AdvanceTo(aNow);
  this->RemoveEndedWaiters(now);
  Waiter* waiter = this->FindWaiter(aAdmission.ticket);
  if (waiter == nullptr || !waiter->isWaiting) {
    return RefuseRateExceeded();
  }
  const auto requestsAhead = static_cast<double>(aAdmission.ticket - this->firstTicket);
  if (this->AvailableTokens() >= requestsAhead + 1 && this->TryTakeToken(now)) {
    waiter->isWaiting = false;
    return Admission{ true, now, aAdmission.ticket };
  }
  if (now >= waiter->until) {
    waiter->isWaiting = false;
    return RefuseRateExceeded();
  }
  return this->PlanRetry(now, aAdmission.ticket, waiter->until);
}

void OrganisationQuota::CancelWait(const Admission& aAdmission)
{
  if (Waiter* waiter = this->FindWaiter(aAdmission.ticket)) {
    waiter->isWaiting = false;
  }
}

QuotaLoanGrant OrganisationQuota::Lend(Instant aNow, const QuotaLoanRequest& aRequest)
{
  const Instant now = this->AdvanceTo(aNow);
  QuotaLoanGrant grant;
  grant.organisation = this->organisation;
  grant.loan.lender = this->self;
  grant.loan.lenderIncarnation = this->incarnation;
  grant.borrower = aRequest.borrower;
  grant.borrowerIncarnation = aRequest.borrowerIncarnation;
  grant.requestNumber = aRequest.number;
  grant.isExtension = aRequest.extends.has_value();
  if (aRequest.extends) {
    grant.loan = *aRequest.extends;
  }
  if (aRequest.organisation != this->organisation || aRequest.borrower == this->self ||
      grant.loan.lender != this->self || grant.loan.lenderIncarnation != this->incarnation ||
      this->shards.empty()) {
    return grant;
  }

  if (aRequest.units == 0 && aRequest.tokens > 0 && !aRequest.extends) {
    return this->TransferTokens(now, aRequest, std::move(grant));
  }

  // The loan, including the clock drift, ends before any of this VM's leases does.
  // After a lease has ended, another VM may hold the shard from which the loan was made.
  const Duration timeUntilLeaseEnds = this->EarliestLeaseDeadline() - now;
  const Duration duration =
    std::min(kMaxQuotaLoanDuration, (timeUntilLeaseEnds - Duration(2)) * 100 / 101 - Duration(1));
  if (duration < kMinLoanDuration) {
    return grant;
  }
  const Instant returnsAt = now + WithClockDriftMargin(duration);
  MUSTARDSHIFT_ASSERT(returnsAt <= this->EarliestLeaseDeadline());
  const QuotaUnits spareUnits = this->LendableUnits(now);

  if (aRequest.extends) {
    const QuotaLoanLedger::LentLoan* loan = this->loans.FindLoanToExtend(aRequest);
    if (loan == nullptr) {
      return grant;
    }
    const QuotaUnits units = std::min({ loan->units, loan->units + spareUnits, aRequest.units });
    if (units < kMinLoanUnits) {
      return grant;
    }
    this->loans.Extend(aRequest, units, returnsAt);
    this->UpdateNextExpiry();
    grant.units = units;
    grant.duration = duration;
    return grant;
  }

  // If the units that would remain are too few to be requested on their own, lend them as well.
  const QuotaUnits units =
    spareUnits - aRequest.units < kMinLoanRequestUnits / 2 ? spareUnits : aRequest.units;
  // The capacity that is taken up by tokens sent to peers cannot be lent.
  const bool coversSentTokens =
    this->BurstOfUnits(this->OwnUnits() - units) >= this->SentTokenCount();
  if (units < kMinLoanUnits || !coversSentTokens) {
    return grant;
  }
  const auto number = this->loans.Lend(aRequest, units, returnsAt);
  if (!number) {
    return grant;
  }
  const double tokensBefore = this->bucket.Tokens();
  this->UpdateBucket(now);
  this->UpdateNextExpiry();
  grant.loan.number = *number;
  grant.units = units;
  grant.tokens = tokensBefore - this->bucket.Tokens();
  grant.duration = duration;
  return grant;
}

bool OrganisationQuota::Borrow(Instant aNow, const QuotaLoanGrant& aGrant, Instant aRequestSent)
{
  if (aGrant.organisation != this->organisation || aGrant.borrower != this->self ||
      aGrant.borrowerIncarnation != this->incarnation || aGrant.loan.lender == this->self) {
    return false;
  }
  const Instant now = this->AdvanceTo(aNow);
  if (aGrant.isTokensOnly) {
    return this->ReceiveTokens(now, aGrant, aRequestSent);
  }
  if (!aGrant.isExtension) {
    PeerState& peer = this->peers[aGrant.loan.lender];
    if (aGrant.units > 0) {
      peer = {};
    } else {
      peer.loanBackoff = std::clamp(peer.loanBackoff * 2, kMinRefusalBackoff, kMaxRefusalBackoff);
      peer.nextLoanRequestAt = now + peer.loanBackoff;
    }
  }
  if (!this->loans.Borrow(now, aGrant, aRequestSent)) {
    return false;
  }
  this->UpdateBucket(now);
  if (!aGrant.isExtension) {
    this->bucket.Add(std::max(0.0, aGrant.tokens));
  }
  this->UpdateNextExpiry();
  return true;
}

std::vector<QuotaLoanRequest> OrganisationQuota::PlanLoanRequests(Instant aNow,
                                                                  const std::vector<VmId>& aPeers)
{
  const Instant now = this->AdvanceTo(aNow);
  std::vector<QuotaLoanRequest> requests;
  const auto add = [&](const VmId& aLender, QuotaUnits aUnits, std::optional<QuotaLoanId> aLoan) {
    requests.push_back({ this->organisation,
                         aLender,
                         this->self,
                         this->incarnation,
                         ++this->lastRequest,
                         aUnits,
                         std::move(aLoan),
                         0 });
  };

  const QuotaUnits needed = this->NeededUnits(now);
  QuotaUnits coveredUnits = this->OwnUnits();
  for (const QuotaLoanLedger::BorrowedLoan& loan : this->loans.BorrowedLoans()) {
    if (coveredUnits >= needed) {
      break;
    }
    coveredUnits += loan.units;
    if (loan.deadline - now < kExtensionLeadTime && loan.nextExtensionRequestAt <= now) {
      add(loan.loan.lender, loan.units, loan.loan);
      this->loans.DelayExtensionRequest(loan.loan, now + kExtensionRetryDelay);
    }
  }

  const QuotaUnits missing = needed - this->currentUnits;
  if (missing < kMinLoanUnits) {
    return requests;
  }
  // Start with a different peer each time, so that small requests do not always go to the same one.
  std::vector<VmId> lenders;
  for (std::size_t i = 0; i < aPeers.size(); ++i) {
    const VmId& peer = aPeers[(this->nextPeer + i) % aPeers.size()];
    if (peer != this->self && this->peers[peer].nextLoanRequestAt <= now) {
      lenders.push_back(peer);
    }
  }
  const auto wantedLoans =
    static_cast<std::size_t>((missing + kMinLoanRequestUnits - 1) / kMinLoanRequestUnits);
  const std::size_t maxNewLoans =
    QuotaLoanLedger::kMaxLoans -
    std::min(QuotaLoanLedger::kMaxLoans, this->loans.BorrowedLoans().size());
  lenders.resize(std::min({ lenders.size(), wantedLoans, maxNewLoans }));
  if (lenders.empty()) {
    return requests;
  }
  this->nextPeer += lenders.size();
  const QuotaUnits unitsPerLender =
    std::max(kMinLoanRequestUnits, missing / static_cast<QuotaUnits>(lenders.size()) + 1);
  for (const VmId& lender : lenders) {
    this->peers[lender].nextLoanRequestAt = now + kReplyTimeout;
    add(lender, unitsPerLender, std::nullopt);
  }
  return requests;
}

QuotaLoanGrant OrganisationQuota::TransferTokens(Instant aNow,
                                                 const QuotaLoanRequest& aRequest,
                                                 QuotaLoanGrant aGrant)
{
  aGrant.isTokensOnly = true;
  // After the earliest lease has ended, another VM may hold the shard and its part of the burst.
  const Instant until = aNow + WithClockDriftMargin(kTokenLifetime);
  const double spareTokens = this->bucket.Tokens() - static_cast<double>(this->waiting.size());
  // Use only the capacity of the own units, because borrowed units may have to be returned before
  // the tokens expire.
  const double freeCapacity = this->BurstOfUnits(this->OwnUnits()) - this->SentTokenCount();
  const double transferred =
    std::min({ spareTokens, freeCapacity, aRequest.tokens, kMaxTokensPerRequest });
  if (transferred < kMinTokenTransfer || until >= this->EarliestLeaseDeadline()) {
    return aGrant;
  }
  aGrant.tokens = this->bucket.Remove(transferred);
  aGrant.duration = kTokenLifetime;
  this->sentTokens.push_back({ aGrant.tokens, until });
  this->UpdateBucket(aNow);
  this->UpdateNextExpiry();
  return aGrant;
}

bool OrganisationQuota::ReceiveTokens(Instant aNow,
                                      const QuotaLoanGrant& aGrant,
                                      Instant aRequestSent)
{
  PeerState& peer = this->peers[aGrant.loan.lender];
  if (aGrant.requestNumber != peer.pendingTokenRequest) {
    return false;
  }
  // Ignore repeated replies, so that they cannot add the tokens again.
  peer.pendingTokenRequest = 0;
  if (aGrant.tokens <= 0) {
    peer.tokenRequestBackoff =
      std::clamp(peer.tokenRequestBackoff * 2, kMinTokenRequestBackoff, kMaxTokenRequestBackoff);
    peer.nextTokenRequestAt = aNow + peer.tokenRequestBackoff;
    return false;
  }
  peer.tokenRequestBackoff = Duration{ 0 };
  peer.nextTokenRequestAt = aNow;
  const Instant until = aRequestSent + aGrant.duration;
  if (aNow >= until) {
    return false;
  }
  this->receivedTokens.push_back({ aGrant.tokens, until });
  return true;
}

std::vector<QuotaLoanRequest> OrganisationQuota::PlanTokenRequests(Instant aNow,
                                                                   const std::vector<VmId>& aPeers)
{
  const Instant now = this->AdvanceTo(aNow);
  this->RemoveEndedWaiters(now);
  std::vector<QuotaLoanRequest> requests;
  const double missing = static_cast<double>(this->waiting.size()) - this->AvailableTokens();
  if (missing <= 0 || aPeers.empty()) {
    return requests;
  }
  const std::size_t first = this->nextPeer++;
  for (std::size_t i = 0; i < aPeers.size() && requests.size() < kMaxPeersPerTokenRequest; ++i) {
    const VmId& lender = aPeers[(first + i) % aPeers.size()];
    PeerState& peer = this->peers[lender];
    if (lender == this->self || peer.nextTokenRequestAt > now) {
      continue;
    }
    peer.nextTokenRequestAt = now + kReplyTimeout;
    peer.pendingTokenRequest = ++this->lastRequest;
    QuotaLoanRequest request;
    request.organisation = this->organisation;
    request.lender = lender;
    request.borrower = this->self;
    request.borrowerIncarnation = this->incarnation;
    request.number = peer.pendingTokenRequest;
    request.tokens = std::min(missing, kMaxTokensPerRequest);
    requests.push_back(std::move(request));
  }
  return requests;
}

double OrganisationQuota::AvailableTokens() const
{
  double available = this->bucket.Tokens();
  for (const TransferredTokens& received : this->receivedTokens) {
    available += received.count;
  }
  return available;
}

bool OrganisationQuota::TryTakeToken(Instant aNow)
{
  // Take exactly what is there: rounding must neither refuse tokens that add up to one nor create
  // any.
  double missing = 1;
  if (this->AvailableTokens() < missing) {
    return false;
  }
  for (TransferredTokens& taken : this->receivedTokens) {
    const double used = std::min(taken.count, missing);
    taken.count -= used;
    missing -= used;
  }
  return this->bucket.TryTake(aNow, std::min(missing, this->bucket.Tokens()));
}

QuotaUnits OrganisationQuota::Units(Instant aNow)
{
  this->AdvanceTo(aNow);
  return this->currentUnits;
}

double OrganisationQuota::Tokens(Instant aNow)
{
  this->AdvanceTo(aNow);
  return this->AvailableTokens();
}

Instant OrganisationQuota::AdvanceTo(Instant aNow)
{
  this->latestTime = std::max(this->latestTime, aNow);
  while (this->nextExpiry <= this->latestTime) {
    const Instant at = this->nextExpiry;
    this->loans.RemoveExpired(at);
    std::erase_if(this->shards, [&](const HeldQuotaShard& aHeld) { return aHeld.deadline <= at; });
    std::erase_if(this->sentTokens,
                  [&](const TransferredTokens& aSent) { return aSent.until <= at; });
    std::erase_if(this->receivedTokens,
                  [&](const TransferredTokens& aSent) { return aSent.until <= at; });
    this->UpdateBucket(at);
    this->UpdateNextExpiry();
  }
  std::erase_if(this->receivedTokens,
                [&](const TransferredTokens& aSent) { return aSent.until <= this->latestTime; });
  this->bucket.Refill(this->latestTime);
  return this->latestTime;
}

void OrganisationQuota::UpdateBucket(Instant aNow)
{
  const QuotaUnits units = this->OwnUnits() + this->loans.BorrowedUnits();
  this->bucket.Refill(aNow);
  if (units < this->currentUnits) {
    const double lostFraction =
      static_cast<double>(this->currentUnits - units) / static_cast<double>(this->currentUnits);
    this->bucket.Remove(this->bucket.Tokens() * lostFraction);
  }
  this->currentUnits = units;
  const double part = static_cast<double>(units) / static_cast<double>(kQuotaUnitsTotal);
  this->bucket.SetRateAndCapacity(
    aNow, this->rate * part, std::max(0.0, this->BurstOfUnits(units) - this->SentTokenCount()));
}

double OrganisationQuota::BurstOfUnits(QuotaUnits aUnits) const
{
  return this->burst * static_cast<double>(aUnits) / static_cast<double>(kQuotaUnitsTotal);
}

double OrganisationQuota::SentTokenCount() const
{
  double count = 0;
  for (const TransferredTokens& sent : this->sentTokens) {
    count += sent.count;
  }
  return count;
}

void OrganisationQuota::UpdateNextExpiry()
{
  this->nextExpiry = this->loans.NextExpiry().value_or(Instant::max());
  for (const HeldQuotaShard& held : this->shards) {
    this->nextExpiry = std::min(this->nextExpiry, held.deadline);
  }
  for (const TransferredTokens& sent : this->sentTokens) {
    this->nextExpiry = std::min(this->nextExpiry, sent.until);
  }
}

QuotaUnits OrganisationQuota::OwnUnits() const
{
  const auto held = static_cast<QuotaUnits>(this->shards.size()) * kQuotaUnitsPerShard;
  // After a shard was withdrawn, the units that this VM has lent may exceed the units of its
  // remaining shards until the loans end.
  return std::max<QuotaUnits>(0, held - this->loans.LentUnits());
}

QuotaUnits OrganisationQuota::NeededUnits(Instant aNow) const
{
  const double demandRate = this->demand.Rate(aNow);
  if (demandRate < kMinDemand || this->rate <= 0 || this->burst < 1) {
    return 0;
  }
  // With a small burst, the capacity of a VM's part may be below the one token that a request
  // needs.
  const double part = std::max(demandRate * kHeadroom / this->rate, 1.05 / this->burst);
  return static_cast<QuotaUnits>(std::min(1.0, part) * static_cast<double>(kQuotaUnitsTotal));
}

QuotaUnits OrganisationQuota::LendableUnits(Instant aNow) const
{
  const auto held = static_cast<QuotaUnits>(this->shards.size()) * kQuotaUnitsPerShard;
  return held - this->loans.LentUnits() -
         std::max(held / kLenderReserveDivisor, this->NeededUnits(aNow));
}

Instant OrganisationQuota::EarliestLeaseDeadline() const
{
  Instant earliest = Instant::max();
  for (const HeldQuotaShard& held : this->shards) {
    earliest = std::min(earliest, held.deadline);
  }
  return earliest;
}

void OrganisationQuota::RemoveEndedWaiters(Instant aNow)
{
  while (!this->waiting.empty() && (!this->waiting.front().isWaiting ||
                                    this->waiting.front().until + kLateRetryTolerance < aNow)) {
    this->waiting.pop_front();
    ++this->firstTicket;
  }
}

Outcome<Admission> OrganisationQuota::PlanRetry(Instant aNow, std::uint64_t aTicket, Instant aUntil)
{
  Instant next = aNow + kTokenPollInterval;
  const double missing =
    static_cast<double>(aTicket - this->firstTicket) + 1 - this->bucket.Tokens();
  const double secondsUntilToken = this->bucket.Rate() > 0 ? missing / this->bucket.Rate() : 1.0;
  if (secondsUntilToken < std::chrono::duration<double>(kMaxExactWait).count()) {
    next = aNow + Duration(static_cast<Duration::rep>(std::ceil(secondsUntilToken * 1e6)) + 1);
  }
  next = std::min(std::max(next, aNow + kMinWait), std::max(aUntil, aNow + kMinWait));
  return Admission{ false, next, aTicket };
}

OrganisationQuota::Waiter* OrganisationQuota::FindWaiter(std::uint64_t aTicket)
{
  if (aTicket < this->firstTicket || aTicket - this->firstTicket >= this->waiting.size()) {
    return nullptr;
  }
  return &this->waiting[aTicket - this->firstTicket];
}

} // namespace mustardshift
