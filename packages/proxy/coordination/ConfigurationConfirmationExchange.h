#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/coordination/ChooseDelegates.h"
#include "proxy/coordination/ConfigurationConfirmationMessage.h"
#include "proxy/coordination/FleetView.h"
#include "proxy/coordination/OperatorTableDigest.h"
#include "proxy/rate/PeerMessenger.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace mustardshift::proxy {

/** Confirms this VM's configuration by asking VMs that watch the operators' table, so that this VM
    needs no watch of its own. In a large fleet this avoids most watches at the store.

    An answer counts only if both VMs hold the same rows. The confirmation is dated to the time just
    before the request was sent, minus the age stated in the answer. A delayed message can therefore
    make a confirmation look older than it is, but never newer.

    Thread safety: none; one thread owns the object. */
template<PeerMessenger Messenger>
class ConfigurationConfirmationExchange
{
public:
  /** Interval between requests. */
  static constexpr Duration kRequestPeriod = std::chrono::milliseconds(800);
  /** If no answer has arrived for this long, the VM watches the table itself. Longer than two
      periods of requests, so that a single lost message does not cause a watch. */
  static constexpr Duration kAnswerValidity = std::chrono::milliseconds(2000);
  /** If the latest confirmation is older than this, the VM also watches the table itself, because
      the watching VMs evidently can't reach the store. Longer than the
      duration of one watch and one period of requests together, with a margin. */
  static constexpr Duration kMaxConfirmationAge = std::chrono::milliseconds(3000);

  /** @param aIncarnation  distinguishes this process from earlier processes of the same VM.
      All references have to outlive the exchange. */
  ConfigurationConfirmationExchange(VmId aSelf,
                                    FailureDomainName aDomain,
                                    std::uint64_t aIncarnation,
                                    Messenger& aMessenger,
                                    const FleetView& aFleet,
                                    const OperatorTableDigest& aDigest,
                                    ClusterState& aCluster)
    : self(std::move(aSelf))
    , domain(std::move(aDomain))
    , incarnation(aIncarnation)
    , messenger(aMessenger)
    , fleet(aFleet)
    , digest(aDigest)
    , cluster(aCluster)
  {
  }
  ConfigurationConfirmationExchange(const ConfigurationConfirmationExchange&) = delete;
  ConfigurationConfirmationExchange& operator=(const ConfigurationConfirmationExchange&) = delete;
  ~ConfigurationConfirmationExchange() = default;

  /** Sends a request to a watching VM if kRequestPeriod has passed since the previous one. Does
      nothing if this VM is itself a watching VM. */
  void Step(Instant aNow)
  {
    if (this->IsWatcher() || aNow - this->sentAt < kRequestPeriod) {
      return;
    }
    const std::vector<VmId> watchers = this->fleet.DelegatesNearestFirst(kWatchTask, this->domain);
    // Rotates among the watchers of the own failure domain; includes the other watchers only when
    // answers are missing.
    const std::size_t candidateCount = aNow - this->answeredAt < kAnswerValidity
                                         ? std::min(watchers.size(), kDelegatesPerDomain)
                                         : watchers.size();
    const VmId& watcher = watchers[this->lastRequestNumber % candidateCount];
    this->pendingRequestNumber = ++this->lastRequestNumber;
    this->sentAt = aNow;
    this->Send(watcher,
               ConfigurationConfirmationRequest{
                 this->self, this->incarnation, this->pendingRequestNumber });
  }

  /** Whether other VMs currently confirm the configuration, so that this VM needs no watch of its
      own. */
  bool IsCurrent(Instant aNow) const
  {
    return !this->IsWatcher() && this->hasSameRows && aNow - this->answeredAt < kAnswerValidity &&
           aNow - this->cluster.ConfirmedAt() < kMaxConfirmationAge;
  }

  /** Handles a datagram from another VM. Returns false if it is not a configuration confirmation
      message. */
  bool OnDatagram(Instant aNow, std::string_view aBytes)
  {
    const auto message = DecodeConfigurationConfirmationMessage(aBytes);
    if (!message) {
      return false;
    }
    if (const auto* request = std::get_if<ConfigurationConfirmationRequest>(&*message)) {
      this->OnRequest(aNow, *request);
    } else {
      this->OnAnswer(aNow, std::get<ConfigurationConfirmationAnswer>(*message));
    }
    return true;
  }

private:
  static constexpr const char* kWatchTask = "configuration";

  bool IsWatcher() const
  {
    const auto& watchers = this->fleet.Delegates(kWatchTask);
    return watchers.empty() || watchers.contains(this->self);
  }

  void Send(const VmId& aVm, const ConfigurationConfirmationMessage& aMessage)
  {
    const std::string address = this->fleet.PeerAddressOf(aVm);
    if (!address.empty()) {
      this->messenger.Send(address, EncodeConfigurationConfirmationMessage(aMessage));
    }
  }

  void OnRequest(Instant aNow, const ConfigurationConfirmationRequest& aRequest)
  {
    if (this->cluster.HasConfiguration()) {
      this->Send(aRequest.sender,
                 ConfigurationConfirmationAnswer{ aRequest.incarnation,
                                                  aRequest.number,
                                                  this->digest.Value(),
                                                  aNow - this->cluster.ConfirmedAt() });
    }
  }

  void OnAnswer(Instant aNow, const ConfigurationConfirmationAnswer& aAnswer)
  {
    if (aAnswer.incarnation != this->incarnation || aAnswer.number != this->pendingRequestNumber) {
      return;
    }
    this->pendingRequestNumber = 0;
    this->hasSameRows = aAnswer.digest == this->digest.Value();
    this->answeredAt = aNow;
    if (this->hasSameRows) {
      this->cluster.Confirm(this->sentAt - aAnswer.age);
    }
  }

  VmId self;
  FailureDomainName domain;
  std::uint64_t incarnation;
  Messenger& messenger;
  const FleetView& fleet;
  const OperatorTableDigest& digest;
  ClusterState& cluster;
  std::uint64_t lastRequestNumber = 0;
  /** Number of the unanswered request, or zero if there is none. */
  std::uint64_t pendingRequestNumber = 0;
  Instant sentAt{};
  Instant answeredAt{};
  /** Whether the VM that sent the latest answer has the same rows as this VM. */
  bool hasSameRows = false;
};

} // namespace mustardshift::proxy
