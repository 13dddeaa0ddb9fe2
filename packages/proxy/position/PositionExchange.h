#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/coordination/ChooseDelegates.h"
#include "proxy/coordination/FleetView.h"
#include "proxy/position/PositionMessage.h"
#include "proxy/rate/PeerMessenger.h"
#include "proxy/session/PositionTable.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace mustardshift::proxy {

/** Fetches the log positions of primaries from the VMs that query the primaries directly. In a
    large fleet this avoids a connection and a transaction per VM at each primary.

    A position is dated to the time just before the request was sent, minus the age stated in the
    answer. A delayed message can therefore make a position look older than it is, but never newer.
    Clocks of different VMs are not compared.

    Thread safety: none; one thread owns the object. */
template<PeerMessenger Messenger>
class PositionExchange
{
public:
  /** Time after which a request counts as failed and the next one is sent: several round trips to
      another failure domain, on a loaded VM. */
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);
  /** Number of consecutive failed requests after which a VM queries the primary itself. */
  static constexpr unsigned kMaxFailures = 3;

  /** @param aIncarnation  distinguishes this process from earlier processes of the same VM.
      All references have to outlive the exchange. */
  PositionExchange(VmId aSelf,
                   FailureDomainName aDomain,
                   std::uint64_t aIncarnation,
                   Messenger& aMessenger,
                   const FleetView& aFleet,
                   PositionTable& aPositions)
    : self(std::move(aSelf))
    , domain(std::move(aDomain))
    , incarnation(aIncarnation)
    , messenger(aMessenger)
    , fleet(aFleet)
    , positions(aPositions)
  {
  }
  PositionExchange(const PositionExchange&) = delete;
  PositionExchange& operator=(const PositionExchange&) = delete;
  ~PositionExchange() = default;

  /** Requests the position of a group's primary if the known one is older than aMaxAge. Returns
      whether this VM has to query the primary itself: because it is a delegate for the group, or
      because kMaxFailures requests have brought no position that is recent enough. */
  bool Fetch(Instant aNow, const DatabaseName& aGroup, Duration aMaxAge)
  {
    const std::set<VmId>& probers = this->fleet.Probers(aGroup);
    if (probers.empty() || probers.contains(this->self)) {
      return true;
    }
    PendingRequest& pending = this->pendingRequests[aGroup];
    const auto lastObservedAt = this->positions.LastObserved(aGroup);
    if (lastObservedAt && aNow - *lastObservedAt < aMaxAge) {
      pending.failures = 0;
      return false;
    }
    if (pending.number == 0 || aNow - pending.sentAt >= kAnswerTimeout) {
      pending.failures += pending.number != 0 ? 1 : 0;
      this->SendRequest(aNow, aGroup, pending);
    }
    return pending.failures >= kMaxFailures;
  }

  /** Handles a datagram from another VM. Returns false if it is not a position message. */
  bool OnDatagram(Instant aNow, std::string_view aBytes)
  {
    const std::optional<PositionMessage> message = DecodePositionMessage(aBytes);
    if (!message) {
      return false;
    }
    if (const auto* request = std::get_if<PositionRequest>(&*message)) {
      this->OnRequest(aNow, *request);
    } else {
      this->OnAnswer(std::get<PositionAnswer>(*message));
    }
    return true;
  }

private:
  /** The latest request for a group's position. */
  struct PendingRequest
  {
    /** Number of the request that awaits an answer; zero if none does. */
    std::uint64_t number = 0;
    Instant sentAt{};
    unsigned failures = 0;
    /** Number of requests sent so far; successive requests go to different VMs. */
    std::size_t requestsSent = 0;
  };

  void SendRequest(Instant aNow, const DatabaseName& aGroup, PendingRequest& aPending)
  {
    const std::vector<VmId> probers =
      this->fleet.DelegatesNearestFirst(aGroup.Text(), this->domain);
    // As long as answers arrive, rotates among the delegates of the own failure domain.
    const std::size_t candidateCount =
      aPending.failures == 0 ? std::min(probers.size(), kDelegatesPerDomain) : probers.size();
    const VmId& prober = probers[aPending.requestsSent % candidateCount];
    ++aPending.requestsSent;
    aPending.number = ++this->lastRequestNumber;
    aPending.sentAt = aNow;
    this->Send(prober, PositionRequest{ this->self, this->incarnation, aPending.number, aGroup });
  }

  void Send(const VmId& aVm, const PositionMessage& aMessage)
  {
    const std::string address = this->fleet.PeerAddressOf(aVm);
    if (!address.empty()) {
      this->messenger.Send(address, EncodePositionMessage(aMessage));
    }
  }

  void OnRequest(Instant aNow, const PositionRequest& aRequest)
  {
    if (const auto latest = this->positions.Latest(aRequest.group)) {
      this->Send(
        aRequest.sender,
        PositionAnswer{
          aRequest.incarnation, aRequest.number, latest->position, aNow - latest->sentAt });
    }
  }

  void OnAnswer(const PositionAnswer& aAnswer)
  {
    const auto pending =
      std::find_if(this->pendingRequests.begin(),
                   this->pendingRequests.end(),
                   [&](const auto& aEntry) { return aEntry.second.number == aAnswer.number; });
    if (aAnswer.incarnation != this->incarnation || aAnswer.number == 0 ||
        pending == this->pendingRequests.end()) {
      return;
    }
    pending->second.number = 0;
    this->positions.Observe(pending->first, pending->second.sentAt - aAnswer.age, aAnswer.position);
  }

  VmId self;
  FailureDomainName domain;
  std::uint64_t incarnation;
  Messenger& messenger;
  const FleetView& fleet;
  PositionTable& positions;
  std::map<DatabaseName, PendingRequest> pendingRequests;
  std::uint64_t lastRequestNumber = 0;
};

} // namespace mustardshift::proxy
