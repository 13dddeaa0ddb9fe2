#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/coordination/FleetView.h"
#include "proxy/log/EventLog.h"
#include "proxy/pool/ServerHealth.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/promotion/DemotionMessage.h"
#include "proxy/promotion/ServerPoller.h"
#include "proxy/rate/PeerMessenger.h"
#include "proxy/schedule/Scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace mustardshift::proxy {

/** Demotes primaries that are being replaced, through whichever VMs reach them. A primary that most
    VMs can't reach may still serve the others: until it is demoted, it acknowledges commits through
    any replica that receives from it. All VMs that are asked send it no statements for
    kReplacementTime, since it can come back in the middle of the promotion.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network, PeerMessenger Messenger>
class PrimaryDemoter
{
public:
  /** Time that other VMs have to demote a primary; a primary that answers does so much sooner. */
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(250);

  /** Time for which a VM that was asked sends nothing to the primary. Longer than the time between
      two attempts of a promotion, each of which asks again. */
  static constexpr Duration kReplacementTime = std::chrono::seconds(5);

  /** Receives whether the server has answered that it is no primary. */
  using Handler = std::function<void(Instant, bool)>;

  /** @param aReplyAddress  address to which other VMs send their answers; empty if there is none.
      @param aIncarnation  distinguishes this process from earlier processes of the same VM.
      @param aAttachedAddresses  returns the addresses of the VMs that are attached to this one.
      All references have to outlive the demoter. */
  PrimaryDemoter(VmId aSelf,
                 std::string aReplyAddress,
                 std::uint64_t aIncarnation,
                 ServerPool<Network>& aPool,
                 Messenger& aMessenger,
                 const FleetView& aFleet,
                 ClusterState& aCluster,
                 ServerHealth& aHealth,
                 Scheduler& aScheduler,
                 EventLog& aLog,
                 std::function<std::vector<std::string>()> aAttachedAddresses)
    : self(std::move(aSelf))
    , replyAddress(std::move(aReplyAddress))
    , incarnation(aIncarnation)
    , messenger(aMessenger)
    , fleet(aFleet)
    , cluster(aCluster)
    , health(aHealth)
    , scheduler(aScheduler)
    , log(aLog)
    , attachedAddresses(std::move(aAttachedAddresses))
    , poller(aPool, aCluster, aHealth, aScheduler)
  {
  }
  PrimaryDemoter(const PrimaryDemoter&) = delete;
  PrimaryDemoter& operator=(const PrimaryDemoter&) = delete;
  ~PrimaryDemoter() = default;

  /** Demotes a primary. The handler is called once: as soon as one VM has demoted the server, when
      no VM can reach it, or after kAnswerTimeout.
      @param aTerm  term above that of the primary. Not higher than needed, because a command that
     is carried out late must not demote the next primary. */
  void Demote(Instant aNow,
              const DatabaseName& aGroup,
              const ServerId& aPrimary,
              std::uint64_t aTerm,
              Handler aHandler)
  {
    this->Ask(aNow, aGroup, aPrimary, aTerm, false, std::move(aHandler));
  }

  /** Demotes a candidate that may become the primary by an order which is superseded; the VMs send
      it no statements for kReplacementTime even if it does. Parameters, precondition and thread
      safety: as for Demote(). */
  void Supersede(Instant aNow,
                 const DatabaseName& aGroup,
                 const ServerId& aCandidate,
                 std::uint64_t aTerm,
                 Handler aHandler)
  {
    this->Ask(aNow, aGroup, aCandidate, aTerm, true, std::move(aHandler));
  }

  /** Handles a datagram from another VM. Returns false if it is not a demotion message. */
  bool OnDatagram(Instant aNow, std::string_view aBytes)
  {
    const std::optional<DemotionMessage> message = DecodeDemotionMessage(aBytes);
    if (!message) {
      return false;
    }
    if (const auto* request = std::get_if<DemotionRequest>(&*message)) {
      this->OnRequest(aNow, *request);
    } else {
      const auto& answer = std::get<DemotionAnswer>(*message);
      if (answer.incarnation == this->incarnation) {
        this->OnOutcome(aNow, answer.number, answer.sender, answer.isDemoted);
      }
    }
    return true;
  }

private:
  void Ask(Instant aNow,
           const DatabaseName& aGroup,
           const ServerId& aPrimary,
           std::uint64_t aTerm,
           bool aIsCandidate,
           Handler aHandler)
  {
    const std::uint64_t number = ++this->lastNumber;
    const std::set<VmId> vms = this->OtherLiveMembers();
    Pending& pending = this->pending[number];
    pending.handler = std::move(aHandler);
    pending.group = aGroup;
    pending.primary = aPrimary;
    // Attached VMs answer too, and their number is not known here.
    pending.waitsForTimeout = this->fleet.IsLarge() && !vms.empty();
    pending.vms = vms;
    pending.vms.insert(this->self);
    if (!this->fleet.IsLarge()) {
      std::erase_if(pending.vms, [&](const VmId& aVm) {
        return aVm != this->self &&
               this->fleet.Members().at(aVm).row.unreachablePrimaries.contains(aPrimary);
      });
    }
    pending.timer = this->scheduler.Schedule(aNow + kAnswerTimeout, [this, number](Instant aThen) {
      this->Finish(aThen, number, nullptr);
    });
    const DemotionRequest request{
      this->replyAddress, this->incarnation, number, aGroup, aPrimary, aTerm, true, aIsCandidate
    };
    // One whose row has expired can have lost the store only, and may go on using the server. No
    // answer is awaited from it.
    for (const auto& [vm, member] : this->fleet.Members()) {
      if (vm != this->self && !member.row.peerAddress.empty()) {
        this->messenger.Send(member.row.peerAddress, EncodeDemotionMessage(request));
      }
    }
    for (const std::string& address : this->attachedAddresses()) {
      this->Forward(address, request);
    }
    this->DemoteHere(aNow, request, [this, number](Instant aThen, bool aIsDemoted) {
      this->OnOutcome(aThen, number, this->self, aIsDemoted);
    });
  }

  struct Pending
  {
    Handler handler;
    DatabaseName group;
    ServerId primary;
    /** VMs whose answer is missing: those that may reach the primary. In a large fleet all members
        are asked, because the VMs attached to them may. */
    std::set<VmId> vms;
    bool waitsForTimeout = false;
    Scheduler::TaskId timer{};
  };

  std::set<VmId> OtherLiveMembers() const
  {
    std::set<VmId> vms;
    for (const VmId& vm : this->fleet.LiveVms()) {
      if (vm != this->self && !this->fleet.PeerAddressOf(vm).empty()) {
        vms.insert(vm);
      }
    }
    return vms;
  }

  void Forward(const std::string& aAddress, DemotionRequest aRequest)
  {
    aRequest.isForwarded = false;
    this->messenger.Send(aAddress, EncodeDemotionMessage(aRequest));
  }

  void OnRequest(Instant aNow, const DemotionRequest& aRequest)
  {
    if (aRequest.isForwarded) {
      for (const std::string& address : this->attachedAddresses()) {
        this->Forward(address, aRequest);
      }
    }
    this->DemoteHere(aNow, aRequest, [this, aRequest](Instant, bool aIsDemoted) {
      this->messenger.Send(aRequest.replyAddress,
                           EncodeDemotionMessage(DemotionAnswer{
                             aRequest.incarnation, aRequest.number, this->self, aIsDemoted }));
    });
  }

  /** Stops sending statements to the server, and sends the command unless this VM can't reach it.
   */
  void DemoteHere(Instant aNow, const DemotionRequest& aRequest, Handler aHandler)
  {
    this->cluster.MarkReplaced(aRequest.primary, aNow + kReplacementTime, aRequest.isCandidate);
    const ServerRecord* server = this->cluster.Find(aRequest.primary);
    if (server == nullptr || server->group != aRequest.group ||
        this->health.IsUnreachable(aRequest.primary, aNow)) {
      aHandler(aNow, false);
      return;
    }
    ServerCommand demote;
    demote.kind = ServerCommandKind::Demote;
    demote.term = aRequest.term;
    this->poller.Run(aNow,
                     { aRequest.primary },
                     demote,
                     true,
                     [primary = aRequest.primary,
                      handler = std::move(aHandler)](Instant aThen, const auto& aReplies) {
                       const auto reply = aReplies.find(primary);
                       const bool isDemoted = reply != aReplies.end() &&
                                              reply->second.serverStatus &&
                                              !reply->second.serverStatus->isPrimary;
                       handler(aThen, isDemoted);
                     });
  }

  void OnOutcome(Instant aNow, std::uint64_t aNumber, const VmId& aVm, bool aIsDemoted)
  {
    const auto entry = this->pending.find(aNumber);
    if (entry == this->pending.end()) {
      return;
    }
    entry->second.vms.erase(aVm);
    if (aIsDemoted) {
      this->Finish(aNow, aNumber, &aVm);
    } else if (entry->second.vms.empty() && !entry->second.waitsForTimeout) {
      this->Finish(aNow, aNumber, nullptr);
    }
  }

  /** @param aDemotedBy  the VM that demoted the server, or null. */
  void Finish(Instant aNow, std::uint64_t aNumber, const VmId* aDemotedBy)
  {
    const auto entry = this->pending.find(aNumber);
    if (entry == this->pending.end()) {
      return;
    }
    const Pending finished = std::move(entry->second);
    this->pending.erase(entry);
    this->scheduler.Cancel(finished.timer);
    this->log.WriteAlways(aNow,
                          "promotion",
                          aDemotedBy != nullptr ? "demoted" : "not-demoted",
                          { { "group", finished.group.Text() },
                            { "primary", finished.primary.Text() },
                            { "by", aDemotedBy != nullptr ? aDemotedBy->Text() : "none" } });
    finished.handler(aNow, aDemotedBy != nullptr);
  }

  VmId self;
  std::string replyAddress;
  std::uint64_t incarnation;
  Messenger& messenger;
  const FleetView& fleet;
  ClusterState& cluster;
  ServerHealth& health;
  Scheduler& scheduler;
  EventLog& log;
  std::function<std::vector<std::string>()> attachedAddresses;
  ServerPoller<Network> poller;
  std::uint64_t lastNumber = 0;
  std::map<std::uint64_t, Pending> pending;
};

} // namespace mustardshift::proxy
