#include "daemon/peer/PeerCoordinator.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

namespace {

/** Sent messages are discarded after this time, so later responses are ignored. */
constexpr Duration kResponseTimeout = std::chrono::seconds(10);
/** An unchanged list of registrations is sent again with every fifth pong, since messages may be
    lost. Sending it with every pong would use half of the 2 KB/s budget for control traffic. */
constexpr unsigned kPongsBetweenVmLists = 5;

} // namespace

PeerCoordinator::PeerCoordinator(VmId aSelf,
                                 std::uint64_t aIncarnation,
                                 FailureDomainName aFailureDomain,
                                 ConfigurationTrust& aTrust,
                                 OrganisationQuotaTable& aQuota,
                                 Hooks aHooks)
  : self(std::move(aSelf))
  , incarnation(aIncarnation)
  , failureDomain(std::move(aFailureDomain))
  , trust(aTrust)
  , quota(aQuota)
  , hooks(std::move(aHooks))
  , members(this->self, this->failureDomain)
{
}

void PeerCoordinator::OnMemberRowsRead(Instant aSent,
                                       Instant aNow,
                                       const std::vector<MemberRow>& aRows)
{
  this->members.OnRowsRead(aSent, aRows);
  this->RefreshPeers(aNow);
}

void PeerCoordinator::OnVmListRead(Instant aSent,
                                   Instant aNow,
                                   const std::vector<ListedMember>& aList)
{
  this->members.OnListRead(aSent, aList);
  this->RefreshPeers(aNow);
}

void PeerCoordinator::SetDrainedFailureDomains(std::set<FailureDomainName> aFailureDomains)
{
  this->members.SetDrainedFailureDomains(std::move(aFailureDomains));
}

void PeerCoordinator::SetDrainState(PeerDrainState aState)
{
  this->drainState = aState;
  this->members.SetSelfDrained(aState != PeerDrainState::Serving);
}

void PeerCoordinator::RefreshPeers(Instant aNow)
{
  std::vector<PeerAddress> addresses;
  this->peers.clear();
  for (const Member& member : this->members.OtherMembers(aNow)) {
    if (!member.peerAddress.empty()) {
      addresses.push_back({ member.vm, member.peerAddress });
      this->peers.push_back(member.vm);
    }
  }
  if (this->node != nullptr) {
    this->node->SetPeers(addresses);
  }
}

PeerHeader PeerCoordinator::MakeHeader(std::uint64_t aAnswers)
{
  return { this->self, this->incarnation, ++this->lastMessageId, aAnswers };
}

PeerState PeerCoordinator::MakeState(Instant aNow, const VmId& aPeer)
{
  const TrustReport report = this->trust.Report(aNow);
  PeerState state;
  state.configurationVersion = report.version;
  state.confirmationAge = report.confirmationAge;
  state.platformReachable = report.reachesPlatform;
  state.hasUnresolvedChange = report.hasUnresolvedChange;
  Peer& peer = this->states[aPeer];
  if (peer.sentVms != report.knownVms || ++peer.pongsSinceVmsSent >= kPongsBetweenVmLists) {
    state.knownVms.emplace(report.knownVms.begin(), report.knownVms.end());
    peer.sentVms = report.knownVms;
    peer.pongsSinceVmsSent = 0;
  }
  // A change of primary is announced to all peers at once. Each pong repeats one database's primary
  // in rotation, for peers that missed the announcement.
  const std::vector<KnownPrimary> primaries = this->hooks.knownPrimaries();
  if (!primaries.empty()) {
    state.primaries.push_back(primaries[this->nextPrimaryIndex++ % primaries.size()]);
  }
  state.heldShards = this->heldShards;
  state.drainState = this->drainState;
  return state;
}

void PeerCoordinator::Broadcast(const std::function<PeerMessage()>& aMakeMessage)
{
  if (this->node == nullptr) {
    return;
  }
  for (const VmId& peer : this->peers) {
    this->node->Send(peer, aMakeMessage());
  }
}

void PeerCoordinator::Ping(Instant aNow)
{
  if (this->node == nullptr) {
    return;
  }
  std::erase_if(this->sentAt,
                [&](const auto& aSent) { return aSent.second + kResponseTimeout < aNow; });
  while (!this->queriedTerms.empty() && !this->sentAt.contains(this->queriedTerms.begin()->first)) {
    this->queriedTerms.erase(this->queriedTerms.begin());
  }
  this->RefreshPeers(aNow);
  for (const VmId& peer : this->peers) {
    mustardshift::Ping ping{ this->MakeHeader(), {} };
    ping.state.configurationVersion = this->trust.Version();
    ping.state.platformReachable = true;
    ping.state.drainState = this->drainState;
    this->sentAt[ping.header.messageId] = aNow;
    this->node->Send(peer, ping);
  }
  std::vector<VmId> reachable = this->ReachablePeers(aNow);
  if (reachable != this->lastReachable) {
    this->lastReachable = std::move(reachable);
    this->hooks.membersChanged(aNow, this->lastReachable);
  }
}

void PeerCoordinator::RequestLoans(Instant aNow)
{
  this->SendLoanRequests(aNow, this->quota.PlanLoanRequests(aNow, this->ServingPeers(aNow)));
}

void PeerCoordinator::RequestTokens(Instant aNow, const OrganisationName& aOrganisation)
{
  this->SendLoanRequests(
    aNow, this->quota.PlanTokenRequests(aNow, aOrganisation, this->ServingPeers(aNow)));
}

void PeerCoordinator::SendLoanRequests(Instant aNow, const std::vector<QuotaLoanRequest>& aRequests)
{
  if (this->node == nullptr) {
    return;
  }
  for (const QuotaLoanRequest& request : aRequests) {
    const QuotaLoanRequestMessage message{ this->MakeHeader(), request };
    this->sentAt[message.header.messageId] = aNow;
    this->node->Send(request.lender, message);
  }
}

void PeerCoordinator::Receive(Instant aNow, const VmId& aPeer, const PeerMessage& aMessage)
{
  std::visit([&](const auto& aAlternative) { this->HandleMessage(aNow, aPeer, aAlternative); },
             aMessage);
}

void PeerCoordinator::HandleMessage(Instant aNow,
                                    const VmId& aPeer,
                                    const mustardshift::Ping& aMessage)
{
  Peer& peer = this->states[aPeer];
  peer.state.drainState = aMessage.state.drainState;
  if (aMessage.state.configurationVersion > this->trust.Version()) {
    this->hooks.newerVersionReported();
  }
  const Pong pong{ this->MakeHeader(aMessage.header.messageId), this->MakeState(aNow, aPeer) };
  this->node->Send(aPeer, pong);
}

void PeerCoordinator::HandleMessage(Instant aNow, const VmId& aPeer, const Pong& aMessage)
{
  const auto sent = this->sentAt.find(aMessage.header.answersMessageId);
  if (sent == this->sentAt.end()) {
    return;
  }
  const Instant pingSent = sent->second;
  this->sentAt.erase(sent);
  Peer& peer = this->states[aPeer];
  if (peer.incarnation != aMessage.header.incarnation) {
    peer.knownVms.clear();
    peer.incarnation = aMessage.header.incarnation;
  }
  peer.state = aMessage.state;
  this->members.OnPong(pingSent, aPeer, aMessage.state.drainState != PeerDrainState::Serving);
  if (aMessage.state.knownVms) {
    peer.knownVms = { aMessage.state.knownVms->begin(), aMessage.state.knownVms->end() };
  }
  this->trust.OnPeerReport(pingSent,
                           aNow,
                           { { aPeer, aMessage.header.incarnation },
                             aMessage.state.configurationVersion,
                             aMessage.state.confirmationAge,
                             aMessage.state.platformReachable,
                             aMessage.state.hasUnresolvedChange,
                             peer.knownVms });
  if (aMessage.state.configurationVersion > this->trust.Version()) {
    this->hooks.newerVersionReported();
  }
  for (const KnownPrimary& primary : aMessage.state.primaries) {
    this->hooks.primaryLearned(aNow, primary);
  }
}

void PeerCoordinator::HandleMessage(Instant /*aNow*/,
                                    const VmId& aPeer,
                                    const SuspicionQuery& aMessage)
{
  this->hooks.checkSuspicion(
    aMessage.suspectedPrimary,
    [this, aPeer, query = aMessage.header.messageId, suspected = aMessage.suspectedPrimary](
      Instant /*aLater*/, bool aSuspects) {
      this->AnswerSuspicion(aPeer, query, suspected, aSuspects);
    });
}

void PeerCoordinator::AnswerSuspicion(const VmId& aPeer,
                                      std::uint64_t aQuery,
                                      const KnownPrimary& aSuspected,
                                      bool aSuspects)
{
  SuspicionAnswer answer;
  answer.header = this->MakeHeader(aQuery);
  answer.suspects = aSuspects;
  answer.failureDomain = this->failureDomain;
  answer.knownPrimary = aSuspected;
  for (const KnownPrimary& primary : this->hooks.knownPrimaries()) {
    if (primary.database == aSuspected.database) {
      answer.knownPrimary = primary;
    }
  }
  this->node->Send(aPeer, answer);
}

void PeerCoordinator::HandleMessage(Instant aNow,
                                    const VmId& aPeer,
                                    const SuspicionAnswer& aMessage)
{
  const auto queried = this->queriedTerms.find(aMessage.header.answersMessageId);
  if (queried == this->queriedTerms.end()) {
    return;
  }
  this->hooks.suspicionAnswered(
    aNow, aPeer, aMessage.failureDomain, aMessage.knownPrimary, queried->second, aMessage.suspects);
}

void PeerCoordinator::HandleMessage(Instant aNow,
                                    const VmId& aPeer,
                                    const QuotaLoanRequestMessage& aMessage)
{
  if (aMessage.request.lender != this->self || aMessage.request.borrower != aPeer) {
    return;
  }
  const QuotaLoanGrantMessage answer{ this->MakeHeader(aMessage.header.messageId),
                                      this->quota.Lend(aNow, aMessage.request) };
  this->node->Send(aPeer, answer);
}

void PeerCoordinator::HandleMessage(Instant aNow,
                                    const VmId& /*aPeer*/,
                                    const QuotaLoanGrantMessage& aMessage)
{
  const auto sent = this->sentAt.find(aMessage.header.answersMessageId);
  if (sent == this->sentAt.end()) {
    return;
  }
  this->quota.Borrow(aNow, aMessage.grant, sent->second);
  this->sentAt.erase(sent);
  if (aMessage.grant.isTokensOnly) {
    // Requests may still be waiting for tokens, so ask the next peer.
    this->RequestTokens(aNow, aMessage.grant.organisation);
  }
}

void PeerCoordinator::HandleMessage(Instant /*aNow*/,
                                    const VmId& /*aPeer*/,
                                    const ConfigurationPush& aMessage)
{
  if (aMessage.version <= this->trust.Version()) {
    return;
  }
  if (aMessage.change.empty()) {
    this->hooks.newerVersionReported();
  } else {
    this->hooks.changePushed(aMessage.change);
  }
}

void PeerCoordinator::HandleMessage(Instant aNow,
                                    const VmId& /*aPeer*/,
                                    const PrimaryChanged& aMessage)
{
  this->hooks.primaryLearned(aNow, aMessage.primary);
}

void PeerCoordinator::PushChange(std::uint64_t aVersion, const std::string& aEncodedChange)
{
  // For a larger change only the version is sent; peers fetch the change from the platform.
  constexpr std::size_t kLargestPushedChange = std::size_t{ 32 } * 1024;
  const std::string content =
    aEncodedChange.size() <= kLargestPushedChange ? aEncodedChange : std::string();
  this->Broadcast([&] { return ConfigurationPush{ this->MakeHeader(), aVersion, content }; });
}

void PeerCoordinator::Announce(const KnownPrimary& aPrimary)
{
  this->Broadcast([&] { return PrimaryChanged{ this->MakeHeader(), aPrimary }; });
}

void PeerCoordinator::QuerySuspicion(Instant aNow, const KnownPrimary& aSuspected)
{
  this->Broadcast([&] {
    SuspicionQuery query{ this->MakeHeader(), aSuspected };
    this->sentAt[query.header.messageId] = aNow;
    this->queriedTerms[query.header.messageId] = aSuspected.term;
    return query;
  });
}

std::vector<VmId> PeerCoordinator::ServingPeers(Instant aNow) const
{
  std::set<VmId> live = this->members.AvailableMembers(aNow);
  live.erase(this->self);
  return { live.begin(), live.end() };
}

std::uint64_t PeerCoordinator::ConfigurationVersionOf(const VmId& aPeer) const
{
  const auto state = this->states.find(aPeer);
  return state == this->states.end() ? 0 : state->second.state.configurationVersion;
}

} // namespace mustardshift
