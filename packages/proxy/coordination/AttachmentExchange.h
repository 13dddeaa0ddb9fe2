#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/coordination/AttachmentMessage.h"
#include "proxy/coordination/FleetRole.h"
#include "proxy/coordination/FleetView.h"
#include "proxy/coordination/StableHash.h"
#include "proxy/coordination/TableCopy.h"
#include "proxy/limits/LimitReporter.h"
#include "proxy/rate/PeerMessenger.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace mustardshift::proxy {

/** Connects VMs that don't watch the store's tables to members. An attached VM asks one member at a
    time; the answer confirms its configuration, shows whether its copies of tables are those of the
    member, and names all members. In a large fleet the members that don't watch the tables ask one
    that does. A member counts the attached VMs that ask it, and tells all VMs that ask it when its
    copy has been confirmed again.

    An answer confirms the configuration only if both VMs hold the same rows. The confirmation is
    dated to the time just before the request was sent, minus the age stated in the answer, or plus
    the time that a later notice states. A delayed message can therefore make a confirmation look
    older than it is, but never newer.

    Thread safety: none; one thread owns the object. */
template<PeerMessenger Messenger>
class AttachmentExchange
{
public:
  /** Interval between the requests of an attached VM. */
  static constexpr Duration kRequestPeriod = std::chrono::milliseconds(800);
  /** If an answer takes longer than this, the next member is asked. */
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(150);
  /** A VM without an answer for this long is no longer attached. Covers a request to each of eight
      members. */
  static constexpr Duration kAnswerValidity = std::chrono::milliseconds(2000);
  /** If the latest confirmation is older than this and a part of kStoreCallSpread, the VM watches
      the operators' table itself, because the members evidently can't reach the store. Longer than
      the duration of a member's watch and one period of requests together, with a margin. */
  static constexpr Duration kMaxConfirmationAge = std::chrono::milliseconds(3000);
  /** Spreads the calls of many VMs that lose their confirmations at the same time. */
  static constexpr Duration kStoreCallSpread = std::chrono::milliseconds(1000);
  /** An answer whose confirmation is older than this is used, but the next request goes to another
      member. More than two watches of ProxySettings::configurationWatchTimeout. */
  static constexpr Duration kStaleConfirmationAge = std::chrono::milliseconds(2000);
  /** Time in which a copy that differs from the member's is expected to be replaced by it. After
      that, the VM reads the store. */
  static constexpr Duration kCopyPatience = std::chrono::milliseconds(1500);
  /** A VM that has not asked for this long is no longer counted as attached. */
  static constexpr Duration kAttachedExpiry = std::chrono::milliseconds(2500);
  /** Interval between invitations to become a member. Longer than it takes until the new member's
      row is read. */
  static constexpr Duration kInvitationInterval = std::chrono::seconds(4);
  /** Number of requests that both sides remember, to date confirmations. */
  static constexpr std::size_t kMaxRememberedRequests = 4;
  /** After this time, a VM tries the member again that it prefers. */
  static constexpr Duration kPreferenceInterval = std::chrono::seconds(5);

  /** Called on a VM that is attached for each answer, with the address of the member that sent
      it. */
  using AnswerHandler = std::function<void(Instant, const AttachmentAnswer&, const std::string&)>;
  /** Called for each member that has not answered in time. */
  using SilenceHandler = std::function<void(Instant, const VmId&)>;

  /** All references have to outlive the exchange.
      @param aReplyAddress  address to which members send their answers.
      @param aIncarnation  distinguishes this process from earlier processes of the same VM. */
  AttachmentExchange(VmId aSelf,
                     FailureDomainName aDomain,
                     std::string aReplyAddress,
                     std::uint64_t aIncarnation,
                     std::size_t aMembersPerDomain,
                     Messenger& aMessenger,
                     const FleetView& aFleet,
                     const TableCopy& aOperators,
                     const TableCopy& aServers,
                     ClusterState& aCluster,
                     AnswerHandler aOnAnswer,
                     SilenceHandler aOnSilence)
    : self(std::move(aSelf))
    , domain(std::move(aDomain))
    , replyAddress(std::move(aReplyAddress))
    , incarnation(aIncarnation)
    , membersPerDomain(aMembersPerDomain)
    , messenger(aMessenger)
    , fleet(aFleet)
    , operators(aOperators)
    , servers(aServers)
    , cluster(aCluster)
    , onAnswer(std::move(aOnAnswer))
    , onSilence(std::move(aOnSilence))
    , storeCallDelay(
        static_cast<Duration::rep>(StableHash(this->self.Text()) % kStoreCallSpread.count()))
  {
  }
  AttachmentExchange(const AttachmentExchange&) = delete;
  AttachmentExchange& operator=(const AttachmentExchange&) = delete;
  ~AttachmentExchange() = default;

  /** Limits the number of VMs that may be attached to this member. A request of a further one is
     not answered, so that it asks another member. aReporter may be null. */
  void SetLimits(std::size_t aMaxAttachedVms, LimitReporter* aReporter)
  {
    this->maxAttachedVms = aMaxAttachedVms;
    this->limitReporter = aReporter;
  }

  /** Sets the role of this VM. */
  void SetRole(Instant aNow, FleetRole aRole)
  {
    this->role = aRole;
    this->followers.clear();
    this->Follow(aNow, aRole == FleetRole::Attached);
  }

  /** Updates whether this VM, a member, watches the store's tables; call it after each read of the
      fleet's table. Does nothing in other roles. */
  void UpdateWatcher(Instant aNow)
  {
    const bool isFollower = !this->fleet.IsWatcher(this->self) && !this->replyAddress.empty();
    if (this->role == FleetRole::Member && isFollower != this->isFollowing) {
      this->Follow(aNow, isFollower);
    }
  }

  /** Sends the request that is due. Call it several times per kRequestPeriod. */
  void Step(Instant aNow)
  {
    std::erase_if(this->followers, [&](const auto& aEntry) {
      return aNow - aEntry.second.requests.back().second >= kAttachedExpiry;
    });
    if (!this->isFollowing) {
      return;
    }
    if (this->pendingNumber != 0) {
      if (aNow - this->sentAt >= kAnswerTimeout) {
        this->PreferNextMember(aNow);
        this->onSilence(aNow, this->askedMember);
        this->SendRequest(aNow);
      }
    } else if (aNow - this->sentAt >= kRequestPeriod) {
      this->SendRequest(aNow);
    }
  }

  /** Makes the VMs that ask this member do so at once. Call it when a copy has changed. */
  void NotifyFollowers()
  {
    for (const auto& [vm, follower] : this->followers) {
      this->Send(follower.address, AttachmentNotice{ this->self });
    }
  }

  /** Tells the VMs that ask this member that its copy of the operators' table has been confirmed.
      Call it after each confirmation. */
  void SendConfirmations()
  {
    for (const auto& [vm, follower] : this->followers) {
      const Instant confirmedAt = this->cluster.ConfirmedAt();
      const auto request =
        std::find_if(follower.requests.rbegin(), follower.requests.rend(), [&](const auto& aEntry) {
          return aEntry.second <= confirmedAt;
        });
      if (request != follower.requests.rend()) {
        this->Send(follower.address,
                   ConfirmationNotice{ follower.incarnation,
                                       request->first,
                                       this->operators.Digest(),
                                       confirmedAt - request->second });
      }
    }
  }

  /** Number of VMs that are attached to this member. */
  std::uint32_t AttachedCount() const
  {
    return static_cast<std::uint32_t>(
      std::count_if(this->followers.begin(), this->followers.end(), [](const auto& aEntry) {
        return !aEntry.second.isMember;
      }));
  }

  /** Addresses for datagrams to the VMs that are attached to this member. Precondition: none.
      Thread safety: as for the object. */
  std::vector<std::string> AttachedAddresses() const
  {
    std::vector<std::string> addresses;
    for (const auto& [vm, follower] : this->followers) {
      if (!follower.isMember) {
        addresses.push_back(follower.address);
      }
    }
    return addresses;
  }

  /** Whether a member has answered recently. Precondition: this VM asks members. */
  bool HasMember(Instant aNow) const { return aNow - this->answeredAt < kAnswerValidity; }

  /** Records that a copy of a member's table was read. While the member's table keeps changing, the
      copies differ in each answer although they are read each time. */
  void NoteOperatorsRead(Instant aNow) { RestartPatience(aNow, this->operatorsDifferSince); }
  void NoteServersRead(Instant aNow) { RestartPatience(aNow, this->serversDifferSince); }

  /** Whether this VM needs no watch of the operators' table: a member currently confirms its
      copy, or is expected to. */
  bool AreOperatorsCurrent(Instant aNow) const
  {
    return this->IsCopyCurrent(aNow, this->operatorsDifferSince) &&
           (this->operatorsDifferSince ||
            aNow - this->cluster.ConfirmedAt() < kMaxConfirmationAge + this->storeCallDelay);
  }

  /** Whether this VM needs no watch of the list of servers. */
  bool AreServersCurrent(Instant aNow) const
  {
    return this->IsCopyCurrent(aNow, this->serversDifferSince);
  }

  /** Handles a datagram from another VM. Returns false if it is not an attachment message. */
  bool OnDatagram(Instant aNow, std::string_view aBytes)
  {
    const std::optional<AttachmentMessage> message = DecodeAttachmentMessage(aBytes);
    if (!message) {
      return false;
    }
    if (const auto* request = std::get_if<AttachmentRequest>(&*message)) {
      this->OnRequest(aNow, *request);
    } else if (const auto* answer = std::get_if<AttachmentAnswer>(&*message)) {
      this->OnAnswer(aNow, *answer);
    } else if (const auto* confirmation = std::get_if<ConfirmationNotice>(&*message)) {
      this->OnConfirmation(aNow, *confirmation);
    } else if (this->isFollowing) {
      this->SendRequest(aNow);
    }
    return true;
  }

private:
  /** A VM that asks this member. */
  struct Follower
  {
    std::string address;
    std::uint64_t incarnation = 0;
    bool isMember = false;
    /** Numbers and arrivals of its latest requests. A confirmation is dated to the time at which
        the store was asked, which can be before the latest request. */
    std::deque<std::pair<std::uint64_t, Instant>> requests;
  };

  /** Starts or ends asking members. */
  void Follow(Instant aNow, bool aIsFollowing)
  {
    this->isFollowing = aIsFollowing;
    this->pendingNumber = 0;
    this->sentRequests.clear();
    this->failures = 0;
    // The validity of answers, and the patience with copies, begin now.
    this->answeredAt = aNow;
    this->operatorsDifferSince = aNow;
    this->serversDifferSince = aNow;
    if (this->isFollowing) {
      this->SendRequest(aNow);
    }
  }

  bool IsCopyCurrent(Instant aNow, const std::optional<Instant>& aDiffersSince) const
  {
    return this->isFollowing && this->HasMember(aNow) &&
           (!aDiffersSince || aNow - *aDiffersSince < kCopyPatience);
  }

  /** Members in the order in which this VM asks them: those of its failure domain first, and
      otherwise spread evenly over the VMs. A member asks those that watch the store's tables. */
  std::vector<VmId> Candidates() const
  {
    std::vector<std::tuple<bool, std::uint64_t, VmId>> ranked;
    for (const VmId& vm : this->fleet.LiveVms()) {
      const bool isSource = this->role == FleetRole::Attached || this->fleet.IsWatcher(vm);
      if (vm != this->self && isSource && !this->fleet.PeerAddressOf(vm).empty()) {
        ranked.emplace_back(this->fleet.DomainOf(vm) != this->domain,
                            StableHash(this->self.Text() + "/" + vm.Text()),
                            vm);
      }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<VmId> candidates;
    candidates.reserve(ranked.size());
    for (auto& [isRemote, hash, vm] : ranked) {
      candidates.push_back(std::move(vm));
    }
    return candidates;
  }

  void PreferNextMember(Instant aNow)
  {
    ++this->failures;
    this->failedAt = aNow;
  }

  void SendRequest(Instant aNow)
  {
    const std::vector<VmId> candidates = this->Candidates();
    if (candidates.empty()) {
      return;
    }
    if (this->failures > 0 && this->pendingNumber == 0 &&
        aNow - this->failedAt >= kPreferenceInterval) {
      this->failures = 0;
    }
    this->askedMember = candidates[this->failures % candidates.size()];
    this->pendingNumber = ++this->lastNumber;
    this->sentAt = aNow;
    this->sentRequests.emplace_back(this->pendingNumber, aNow);
    if (this->sentRequests.size() > kMaxRememberedRequests) {
      this->sentRequests.pop_front();
    }
    this->Send(this->fleet.PeerAddressOf(this->askedMember),
               AttachmentRequest{ this->self,
                                  this->replyAddress,
                                  this->domain,
                                  this->incarnation,
                                  this->pendingNumber,
                                  this->role == FleetRole::Member });
  }

  void Send(const std::string& aAddress, const AttachmentMessage& aMessage)
  {
    this->messenger.Send(aAddress, EncodeAttachmentMessage(aMessage));
  }

  void OnRequest(Instant aNow, const AttachmentRequest& aRequest)
  {
    // A VM that is not a member has nothing to offer, and one that has not read the tables nothing
    // yet. An empty table counts: the first configuration can come long after the start.
    if (this->role == FleetRole::Attached || this->operators.Version().number == 0 ||
        !this->fleet.IsLive(this->self)) {
      return;
    }
    // Members that don't watch the tables themselves could otherwise ask each other.
    if (aRequest.isMember && this->isFollowing) {
      return;
    }
    if (this->followers.size() >= this->maxAttachedVms &&
        !this->followers.contains(aRequest.sender)) {
      if (this->limitReporter != nullptr) {
        this->limitReporter->Report(
          aNow, LimitKind::AttachedVms, this->followers.size(), this->maxAttachedVms);
      }
      return;
    }
    Follower& follower = this->followers[aRequest.sender];
    if (follower.incarnation != aRequest.incarnation) {
      follower.requests.clear();
    }
    follower.address = aRequest.replyAddress;
    follower.incarnation = aRequest.incarnation;
    follower.isMember = aRequest.isMember;
    follower.requests.emplace_back(aRequest.number, aNow);
    if (follower.requests.size() > kMaxRememberedRequests) {
      follower.requests.pop_front();
    }
    this->Send(aRequest.replyAddress,
               AttachmentAnswer{ aRequest.incarnation,
                                 aRequest.number,
                                 this->operators.Digest(),
                                 aNow - this->cluster.ConfirmedAt(),
                                 this->servers.Digest(),
                                 this->Invites(aNow, aRequest),
                                 this->fleet.Roster() });
  }

  /** Whether to invite the sender to become a member. Only the first member of its failure domain
      does, so that two don't invite one each. A VM that did not become one, because it can't reach
      the store, is not invited twice in a row: its requests can always be the first ones after the
      interval. */
  bool Invites(Instant aNow, const AttachmentRequest& aRequest)
  {
    const std::vector<VmId> members = this->fleet.LiveVmsOf(this->domain);
    const std::size_t wanted =
      MembersPerDomainOfFleet(this->membersPerDomain, this->fleet.VmCount());
    if (aRequest.isMember || aRequest.domain != this->domain ||
        aRequest.sender == this->invitedVm || members.empty() || members.size() >= wanted ||
        members.front() != this->self || aNow - this->invitedAt < kInvitationInterval) {
      return false;
    }
    this->invitedAt = aNow;
    this->invitedVm = aRequest.sender;
    return true;
  }

  void OnAnswer(Instant aNow, const AttachmentAnswer& aAnswer)
  {
    if (!this->isFollowing || aAnswer.incarnation != this->incarnation || aAnswer.number == 0 ||
        aAnswer.number != this->pendingNumber) {
      return;
    }
    this->pendingNumber = 0;
    this->answeredAt = aNow;
    NoteDifference(
      aNow, aAnswer.operatorDigest == this->operators.Digest(), this->operatorsDifferSince);
    NoteDifference(aNow, aAnswer.serverDigest == this->servers.Digest(), this->serversDifferSince);
    if (!this->operatorsDifferSince) {
      this->Confirm(this->sentAt - aAnswer.operatorAge);
    }
    if (aAnswer.operatorAge >= kStaleConfirmationAge) {
      this->PreferNextMember(aNow);
    }
    this->onAnswer(aNow, aAnswer, this->fleet.PeerAddressOf(this->askedMember));
  }

  void OnConfirmation(Instant aNow, const ConfirmationNotice& aNotice)
  {
    const auto request =
      std::find_if(this->sentRequests.begin(), this->sentRequests.end(), [&](const auto& aEntry) {
        return aEntry.first == aNotice.number;
      });
    if (!this->isFollowing || aNotice.incarnation != this->incarnation ||
        request == this->sentRequests.end()) {
      return;
    }
    this->answeredAt = aNow;
    // Clocks run at slightly different rates, so the sum can lie in the future by a little.
    if (aNotice.operatorDigest == this->operators.Digest()) {
      this->Confirm(std::min(request->second + aNotice.sinceRequest, aNow));
    }
  }

  /** Confirms the configuration, and passes the confirmation on. */
  void Confirm(Instant aAsOf)
  {
    if (aAsOf > this->cluster.ConfirmedAt()) {
      this->cluster.Confirm(aAsOf);
      this->SendConfirmations();
    }
  }

  static void RestartPatience(Instant aNow, std::optional<Instant>& aDiffersSince)
  {
    if (aDiffersSince) {
      aDiffersSince = aNow;
    }
  }

  static void NoteDifference(Instant aNow, bool aIsEqual, std::optional<Instant>& aDiffersSince)
  {
    if (aIsEqual) {
      aDiffersSince.reset();
    } else if (!aDiffersSince) {
      aDiffersSince = aNow;
    }
  }

  VmId self;
  FailureDomainName domain;
  std::string replyAddress;
  std::uint64_t incarnation;
  std::size_t membersPerDomain;
  Messenger& messenger;
  const FleetView& fleet;
  const TableCopy& operators;
  const TableCopy& servers;
  ClusterState& cluster;
  AnswerHandler onAnswer;
  SilenceHandler onSilence;
  /** This VM's part of kStoreCallSpread. */
  Duration storeCallDelay;
  FleetRole role = FleetRole::Undecided;
  /** Whether this VM asks members instead of watching the store's tables. */
  bool isFollowing = false;
  std::map<VmId, Follower> followers;
  std::size_t maxAttachedVms = std::numeric_limits<std::size_t>::max();
  LimitReporter* limitReporter = nullptr;
  Instant invitedAt{};
  VmId invitedVm;
  std::uint64_t lastNumber = 0;
  /** Number of the unanswered request, or zero if there is none. */
  std::uint64_t pendingNumber = 0;
  Instant sentAt{};
  /** Numbers of the latest requests, and when they were sent. */
  std::deque<std::pair<std::uint64_t, Instant>> sentRequests;
  /** Time of the latest answer or notice. */
  Instant answeredAt{};
  VmId askedMember;
  /** Number of members that were passed over; decides which one is asked. */
  std::size_t failures = 0;
  Instant failedAt{};
  /** Since when the copies have differed from the member's; nothing while they are equal. */
  std::optional<Instant> operatorsDifferSince;
  std::optional<Instant> serversDifferSince;
};

} // namespace mustardshift::proxy
