#pragma once

#include "adapters/peer/PeerNode.h"
#include "core/base/Instant.h"
#include "core/configuration/ConfigurationTrust.h"
#include "core/membership/MemberTable.h"
#include "core/rate/OrganisationQuotaTable.h"
#include "protocol/peer/KnownPrimary.h"
#include "protocol/peer/PeerMessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mustardshift {

/** Talks with the other VMs of the cell: pings, loans of quota, pushed configuration changes and
    questions about primaries.

    Thread safety: the request loop's thread only. */
class PeerCoordinator
{
public:
  /** What the exchange learns for others. */
  struct Hooks
  {
    /** A peer knows of this primary. */
    std::function<void(Instant, const KnownPrimary&)> primaryLearned;
    /** A peer pushed an accepted change, encoded. */
    std::function<void(const std::string&)> changePushed;
    /** A peer has a higher configuration version. */
    std::function<void()> newerVersionReported;
    /** A peer asks whether this VM finds a primary out of reach; the callback takes the answer. */
    std::function<void(const KnownPrimary&, const std::function<void(Instant, bool)>&)>
      checkSuspicion;
    /** A peer answered such a question about a term. */
    std::function<void(Instant,
                       const VmId&,
                       const FailureDomainName&,
                       const KnownPrimary&,
                       std::uint64_t,
                       bool)>
      suspicionAnswered;
    /** The term and primary that this VM knows for each database. */
    std::function<std::vector<KnownPrimary>()> knownPrimaries;
    /** The set of reachable peers changed. */
    std::function<void(Instant, const std::vector<VmId>&)> membersChanged;
  };

  PeerCoordinator(VmId aSelf,
                  std::uint64_t aIncarnation,
                  FailureDomainName aFailureDomain,
                  ConfigurationTrust& aTrust,
                  OrganisationQuotaTable& aQuota,
                  Hooks aHooks);

  /** Starts to use a node. Precondition: the node outlives the exchange's use. */
  void SetNode(PeerNode& aNode) { this->node = &aNode; }

  /** Takes over the registrations, as read by a request sent at aSent. */
  void OnMemberRowsRead(Instant aSent, Instant aNow, const std::vector<MemberRow>& aRows);

  /** Takes over the list of VMs that may exist, as read by a request sent at aSent. */
  void OnVmListRead(Instant aSent, Instant aNow, const std::vector<ListedMember>& aList);

  /** Sets the failure domains that operators took out of service. */
  void SetDrainedFailureDomains(std::set<FailureDomainName> aFailureDomains);

  /** Pings all peers; call it once a second. */
  void Ping(Instant aNow);

  /** Asks peers for quota where demand exceeds what this VM holds. */
  void RequestLoans(Instant aNow);

  /** Asks peers for tokens for an organisation's requests that wait. */
  void RequestTokens(Instant aNow, const OrganisationName& aOrganisation);

  void Receive(Instant aNow, const VmId& aPeer, const PeerMessage& aMessage);

  /** Sends an accepted change to all peers. */
  void PushChange(std::uint64_t aVersion, const std::string& aEncodedChange);
  /** Tells all peers of a recorded primary. */
  void Announce(const KnownPrimary& aPrimary);
  /** Asks all peers whether they suspect a primary. */
  void QuerySuspicion(Instant aNow, const KnownPrimary& aSuspected);

  void SetDrainState(PeerDrainState aState);
  void SetHeldShards(std::vector<std::uint32_t> aShards) { this->heldShards = std::move(aShards); }

  /** Peers that answered a ping lately. */
  std::vector<VmId> ReachablePeers(Instant aNow) const
  {
    return this->members.ReachablePeers(aNow);
  }
  /** Reachable peers that take new work. */
  std::vector<VmId> ServingPeers(Instant aNow) const;
  /** A peer's failure domain; an empty name when it is not known. */
  FailureDomainName FailureDomainOf(const VmId& aPeer) const
  {
    return this->members.FailureDomainOf(aPeer);
  }
  /** Configuration version that a peer reported last. */
  std::uint64_t ConfigurationVersionOf(const VmId& aPeer) const;

private:
  struct Peer
  {
    PeerState state;
    std::uint64_t incarnation = 0;
    std::set<VmIncarnation> knownVms;
    /** Registrations that were sent to the peer last. */
    std::set<VmIncarnation> sentVms;
    unsigned pongsSinceVmsSent = 0;
  };

  void RefreshPeers(Instant aNow);
  void AnswerSuspicion(const VmId& aPeer,
                       std::uint64_t aQuery,
                       const KnownPrimary& aSuspected,
                       bool aSuspects);
  PeerHeader MakeHeader(std::uint64_t aAnswers = 0);
  PeerState MakeState(Instant aNow, const VmId& aPeer);
  void SendLoanRequests(Instant aNow, const std::vector<QuotaLoanRequest>& aRequests);
  void Broadcast(const std::function<PeerMessage()>& aMakeMessage);
  void HandleMessage(Instant aNow, const VmId& aPeer, const mustardshift::Ping& aMessage);
  void HandleMessage(Instant aNow, const VmId& aPeer, const Pong& aMessage);
  void HandleMessage(Instant aNow, const VmId& aPeer, const SuspicionQuery& aMessage);
  void HandleMessage(Instant aNow, const VmId& aPeer, const SuspicionAnswer& aMessage);
  void HandleMessage(Instant aNow, const VmId& aPeer, const QuotaLoanRequestMessage& aMessage);
  void HandleMessage(Instant aNow, const VmId& aPeer, const QuotaLoanGrantMessage& aMessage);
  void HandleMessage(Instant aNow, const VmId& aPeer, const ConfigurationPush& aMessage);
  void HandleMessage(Instant aNow, const VmId& aPeer, const PrimaryChanged& aMessage);

  VmId self;
  std::uint64_t incarnation;
  FailureDomainName failureDomain;
  ConfigurationTrust& trust;
  OrganisationQuotaTable& quota;
  Hooks hooks;
  PeerNode* node = nullptr;
  MemberTable members;
  /** Members at the time of the last ping. */
  std::vector<VmId> peers;
  std::map<VmId, Peer> states;
  std::vector<VmId> lastReachable;
  std::uint64_t lastMessageId = 0;
  /** When messages that await an answer were sent. */
  std::map<std::uint64_t, Instant> sentAt;
  std::map<std::uint64_t, std::uint64_t> queriedTerms;
  std::size_t nextPrimaryIndex = 0;
  PeerDrainState drainState = PeerDrainState::Serving;
  std::vector<std::uint32_t> heldShards;
};

} // namespace mustardshift
