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
  /** Age from which a position is requested again. Well below the staleness limits that routes
      have. */
  static constexpr Duration kMaxPositionAge = std::chrono::milliseconds(400);
  /** Time after which a request counts as failed and the next one is sent: several round trips to
      another failure domain, on a loaded VM. */
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);
  /** Number of consecutive failed requests after which a VM queries the primaries itself. */
  static constexpr unsigned kMaxFailures = 3;
  /** Largest number of groups in one request, so that the answer fits into one datagram. */
  static constexpr std::size_t kMaxGroupsPerRequest = 24;

  /** @param aReplyAddress  address to which other VMs send their answers.
      @param aIncarnation  distinguishes this process from earlier processes of the same VM.
      All references have to outlive the exchange. */
  PositionExchange(VmId aSelf,
                   FailureDomainName aDomain,
                   std::string aReplyAddress,
                   std::uint64_t aIncarnation,
                   Messenger& aMessenger,
                   const FleetView& aFleet,
                   PositionTable& aPositions)
    : self(std::move(aSelf))
    , domain(std::move(aDomain))
    , replyAddress(std::move(aReplyAddress))
    , incarnation(aIncarnation)
    , messenger(aMessenger)
    , fleet(aFleet)
    , positions(aPositions)
  {
  }
  PositionExchange(const PositionExchange&) = delete;
  PositionExchange& operator=(const PositionExchange&) = delete;
  ~PositionExchange() = default;

  /** Returns whether this VM has to query the primary of a group itself: because it is a delegate
      for the group, or because kMaxFailures requests have brought no position that is recent
      enough. Otherwise notes the group for SendRequests(), if its position is old. */
  bool MustProbe(Instant aNow, const DatabaseName& aGroup)
  {
    const std::set<VmId>& probers = this->fleet.Probers(aGroup);
    if (probers.empty() || probers.contains(this->self)) {
      return true;
    }
    OutdatedGroup& group = this->groups[aGroup];
    const auto lastObservedAt = this->positions.LastObserved(aGroup);
    if (lastObservedAt && aNow - *lastObservedAt < kMaxPositionAge) {
      group.failures = 0;
      group.isOutdated = false;
      return false;
    }
    group.isOutdated = true;
    return group.failures >= kMaxFailures;
  }

  /** Requests the positions of the groups that MustProbe() has noted, from one delegate each. */
  void SendRequests(Instant aNow)
  {
    std::map<VmId, std::vector<DatabaseName>> groupsByProber;
    for (auto& [name, group] : this->groups) {
      if (!group.isOutdated || (group.pendingNumber != 0 && aNow - group.sentAt < kAnswerTimeout)) {
        continue;
      }
      if (std::exchange(group.pendingNumber, 0) != 0) {
        ++group.failures;
      }
      const std::vector<VmId> probers =
        this->fleet.DelegatesNearestFirst(name.Text(), this->domain);
      if (probers.empty()) {
        continue;
      }
      // As long as answers arrive, rotates among the delegates of the own failure domain.
      const std::size_t candidateCount =
        group.failures == 0 ? std::min(probers.size(), kDelegatesPerDomain) : probers.size();
      groupsByProber[probers[this->rounds % candidateCount]].push_back(name);
    }
    ++this->rounds;
    for (const auto& [prober, names] : groupsByProber) {
      for (std::size_t first = 0; first < names.size(); first += kMaxGroupsPerRequest) {
        const auto begin = names.begin() + static_cast<std::ptrdiff_t>(first);
        const auto count = std::min(names.size() - first, kMaxGroupsPerRequest);
        this->SendRequest(aNow, prober, { begin, begin + static_cast<std::ptrdiff_t>(count) });
      }
    }
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
  /** A group for which this VM is no delegate. */
  struct OutdatedGroup
  {
    bool isOutdated = false;
    /** Number of the request that awaits an answer; zero if none does. */
    std::uint64_t pendingNumber = 0;
    Instant sentAt{};
    unsigned failures = 0;
  };

  void SendRequest(Instant aNow, const VmId& aProber, std::vector<DatabaseName> aGroups)
  {
    const std::uint64_t number = ++this->lastRequestNumber;
    for (const DatabaseName& name : aGroups) {
      OutdatedGroup& group = this->groups[name];
      group.pendingNumber = number;
      group.sentAt = aNow;
    }
    const std::string address = this->fleet.PeerAddressOf(aProber);
    if (!address.empty()) {
      this->messenger.Send(
        address,
        EncodePositionMessage(PositionRequest{
          this->self, this->replyAddress, this->incarnation, number, std::move(aGroups) }));
    }
  }

  void OnRequest(Instant aNow, const PositionRequest& aRequest)
  {
    PositionAnswer answer{ aRequest.incarnation, aRequest.number, {} };
    for (const DatabaseName& group : aRequest.groups) {
      const auto latest = this->positions.Latest(group);
      if (latest && answer.positions.size() < kMaxGroupsPerRequest) {
        answer.positions.push_back({ group, latest->position, aNow - latest->sentAt });
      }
    }
    if (!answer.positions.empty()) {
      this->messenger.Send(aRequest.replyAddress, EncodePositionMessage(answer));
    }
  }

  void OnAnswer(const PositionAnswer& aAnswer)
  {
    if (aAnswer.incarnation != this->incarnation || aAnswer.number == 0) {
      return;
    }
    for (const GroupPosition& entry : aAnswer.positions) {
      const auto group = this->groups.find(entry.group);
      if (group == this->groups.end() || group->second.pendingNumber != aAnswer.number) {
        continue;
      }
      group->second.pendingNumber = 0;
      this->positions.Observe(entry.group, group->second.sentAt - entry.age, entry.position);
    }
  }

  VmId self;
  FailureDomainName domain;
  std::string replyAddress;
  std::uint64_t incarnation;
  Messenger& messenger;
  const FleetView& fleet;
  PositionTable& positions;
  std::map<DatabaseName, OutdatedGroup> groups;
  std::uint64_t lastRequestNumber = 0;
  /** Number of calls of SendRequests(); successive requests go to different VMs. */
  std::size_t rounds = 0;
};

} // namespace mustardshift::proxy
