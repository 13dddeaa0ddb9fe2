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

/** Sends and handles the messages between this VM and the other VMs (peers) of the cell: pings,
    quota loans, configuration changes and queries whether a primary is unreachable.

    Thread safety: only on the request loop's thread. */
class PeerCoordinator
{
public:
  /** Callbacks to the other parts of the daemon, called on the request loop. */
  struct Hooks
  {
    /** A peer reported this primary. */
    std::function<void(Instant, const KnownPrimary&)> primaryLearned;
    /** A peer sent an accepted change, encoded. */
    std::function<void(const std::string&)> changePushed;
    /** A peer reported a higher configuration version than this VM has. */
    std::function<void()> newerVersionReported;
    /** A peer asks whether this VM finds a primary unreachable. The callback must be called with
        the answer. */
    std::function<void(const KnownPrimary&, const std::function<void(Instant, bool)>&)>
      checkSuspicion;
    /** A peer answered a suspicion query of this VM: its id, failure domain and known primary, the
        term that was asked about, and whether the peer suspects the primary of that term. */
    std::function<void(Instant,
                       const VmId&,
                       const FailureDomainName&,
                       const KnownPrimary&,
                       std::uint64_t,
                       bool)>
      suspicionAnswered;
    /** Returns the term and primary that this VM knows for each database. */
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

  /** Sets the node that sends the messages; until then, nothing is sent. Preconditions: no message
      is received before this call, and the node outlives the last use of this object. */
  void SetNode(PeerNode& aNode) { this->node = &aNode; }

  /** Updates the members from the registrations that a request sent at aSent read. */
  void OnMemberRowsRead(Instant aSent, Instant aNow, const std::vector<MemberRow>& aRows);

  /** Updates the members from a list of VMs that may exist, which a request sent at aSent read. */
  void OnVmListRead(Instant aSent, Instant aNow, const std::vector<ListedMember>& aList);

  /** Sets the failure domains that operators drained. */
  void SetDrainedFailureDomains(std::set<FailureDomainName> aFailureDomains);

  /** Pings all peers and discards expired requests; must be called once a second. */
  void Ping(Instant aNow);

  /** Asks peers to lend quota for the organisations whose demand exceeds what this VM holds. */
  void RequestLoans(Instant aNow);

  /** Asks peers for rate tokens for the waiting requests of an organisation. */
  void RequestTokens(Instant aNow, const OrganisationName& aOrganisation);

  void Receive(Instant aNow, const VmId& aPeer, const PeerMessage& aMessage);

  /** Sends an accepted change to all peers. */
  void PushChange(std::uint64_t aVersion, const std::string& aEncodedChange);
  /** Sends a primary that the platform's table records to all peers. */
  void Announce(const KnownPrimary& aPrimary);
  /** Asks all peers whether they find a primary unreachable. */
  void QuerySuspicion(Instant aNow, const KnownPrimary& aSuspected);

  void SetDrainState(PeerDrainState aState);
  void SetHeldShards(std::vector<std::uint32_t> aShards) { this->heldShards = std::move(aShards); }

  /** Peers that answered a ping recently. */
  std::vector<VmId> ReachablePeers(Instant aNow) const
  {
    return this->members.ReachablePeers(aNow);
  }
  /** Reachable peers that accept new work. */
  std::vector<VmId> ServingPeers(Instant aNow) const;
  /** A peer's failure domain; an empty name if it is unknown. */
  FailureDomainName FailureDomainOf(const VmId& aPeer) const
  {
    return this->members.FailureDomainOf(aPeer);
  }
  /** Configuration version in a peer's last report; zero if there is none. */
  std::uint64_t ConfigurationVersionOf(const VmId& aPeer) const;

private:
  struct Peer
  {
    PeerState state;
    std::uint64_t incarnation = 0;
    std::set<VmIncarnation> knownVms;
    /** Registrations that were last sent to the peer. */
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
  /** Other members with a known address, updated at each ping and each new list of members. */
  std::vector<VmId> peers;
  std::map<VmId, Peer> states;
  std::vector<VmId> lastReachable;
  std::uint64_t lastMessageId = 0;
  /** Send time by message id, for messages that await a response. */
  std::map<std::uint64_t, Instant> sentAt;
  std::map<std::uint64_t, std::uint64_t> queriedTerms;
  std::size_t nextPrimaryIndex = 0;
  PeerDrainState drainState = PeerDrainState::Serving;
  std::vector<std::uint32_t> heldShards;
};

} // namespace mustardshift
