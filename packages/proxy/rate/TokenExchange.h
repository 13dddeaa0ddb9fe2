#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/coordination/FleetView.h"
#include "proxy/rate/OrganisationBuckets.h"
#include "proxy/rate/PeerMessenger.h"
#include "proxy/rate/Throttler.h"
#include "proxy/rate/TokenMessage.h"
#include "proxy/schedule/Scheduler.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace mustardshift::proxy {

/** Fetches rate tokens from other VMs for operations that wait for them. The lender removes tokens
    from its bucket before the borrower adds them, so that a lost message loses tokens but no token
    is counted twice.

    Thread safety: none; one thread owns the object. */
template<PeerMessenger Messenger>
class TokenExchange
{
public:
  /** If a lender does not reply within this time, the next one is asked. Twice the round trip to
      another failure domain on a loaded VM. */
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(25);
  /** Largest number of VMs that are asked for the tokens of one shortage, one after the other. */
  static constexpr std::size_t kMaxLenders = 6;
  /** Pause before lenders are asked again after none of them had tokens. */
  static constexpr Duration kRequestBackoff = std::chrono::milliseconds(60);
  /** Largest number of tokens requested in addition to those for waiting operations, so that the
      next operations find tokens. Limited to the number expected to be used before they expire. */
  static constexpr std::uint32_t kMaxPrefetch = 2;
  /** A lender that did not reply is asked only after all others for this long, or until it replies.
      Longer than it takes until a VM that has stopped is no longer live. */
  static constexpr Duration kSilentLenderPause = std::chrono::milliseconds(5000);
  /** Seconds of its own demand for which a lender keeps tokens. */
  static constexpr double kLenderReserveSeconds = 0.3;

  /** @param aReplyAddress  address to which other VMs send their replies.
      @param aIncarnation  distinguishes this process from earlier processes of the same VM.
      All references must outlive the exchange. */
  TokenExchange(VmId aSelf,
                FailureDomainName aDomain,
                std::string aReplyAddress,
                std::uint64_t aIncarnation,
                Messenger& aMessenger,
                const FleetView& aFleet,
                OrganisationBuckets& aBuckets,
                Throttler& aThrottler,
                Scheduler& aScheduler)
    : self(std::move(aSelf))
    , domain(std::move(aDomain))
    , replyAddress(std::move(aReplyAddress))
    , incarnation(aIncarnation)
    , messenger(aMessenger)
    , fleet(aFleet)
    , buckets(aBuckets)
    , throttler(aThrottler)
    , scheduler(aScheduler)
  {
    this->throttler.SetShortageHandler(
      [this](Instant aNow, const OrganisationName& aOrganisation, std::size_t aCount) {
        return this->OnShortage(aNow, aOrganisation, aCount);
      });
  }
  TokenExchange(const TokenExchange&) = delete;
  TokenExchange& operator=(const TokenExchange&) = delete;
  ~TokenExchange() = default;

  /** Handles a datagram from another VM. Returns false, without effect, if it is not a well-formed
      token message. */
  bool OnDatagram(Instant aNow, std::string_view aBytes)
  {
    const std::optional<TokenMessage> message = DecodeTokenMessage(aBytes);
    if (!message) {
      return false;
    }
    if (const auto* request = std::get_if<TokenRequest>(&*message)) {
      this->OnRequest(aNow, *request);
    } else {
      this->OnGrant(aNow, std::get<TokenGrant>(*message));
    }
    return true;
  }

  /** Records that a VM does not answer. It is asked only after all others for a while. */
  void MarkSilent(Instant aNow, const VmId& aVm) { this->silentLenders[aVm] = aNow; }

private:
  /** State of the requests for tokens of one organisation. */
  struct PendingRequest
  {
    /** Number of the request that awaits a grant; zero if none does. */
    std::uint64_t requestNumber = 0;
    std::vector<VmId> lenders;
    std::size_t wantedCount = 0;
    Instant backoffUntil{};
  };

  bool OnShortage(Instant aNow, const OrganisationName& aOrganisation, std::size_t aCount)
  {
    PendingRequest& pending = this->pendingRequests[aOrganisation];
    pending.wantedCount = aCount;
    if (pending.requestNumber != 0) {
      return true;
    }
    if (aNow < pending.backoffUntil) {
      return false;
    }
    pending.lenders = this->ChooseLenders(aNow, aOrganisation);
    return this->AskNextLender(aNow, aOrganisation);
  }

  /** Returns up to kMaxLenders VMs to ask for tokens, in the order in which to ask them.

      If this VM has parts of the rate, these are the VMs whose share of the rate exceeds their own
      demand. If this VM has no parts, these are all VMs that have parts, starting with those of its
      own failure domain; a VM that is attached does not know who has parts and asks all members.
     Each call starts at another VM, so that requests are spread over all lenders. */
  std::vector<VmId> ChooseLenders(Instant aNow, const OrganisationName& aOrganisation)
  {
    const RateAllocation& allocation = this->fleet.Allocation();
    const bool hasParts = allocation.PartsOf(aOrganisation, this->self) > 0;
    std::vector<VmId> lenders;
    for (const VmId& vm : this->fleet.LiveVms()) {
      const MemberRow& row = this->fleet.Members().at(vm).row;
      if (vm == this->self || row.peerAddress.empty()) {
        continue;
      }
      const auto demand = row.demand.find(aOrganisation);
      const std::uint32_t parts = allocation.PartsOf(aOrganisation, vm);
      const bool isSpare = this->buckets.RateOfParts(aOrganisation, parts) >
                           (demand == row.demand.end() ? 0.0 : demand->second);
      if (hasParts ? isSpare : parts > 0 || this->fleet.IsFromRoster()) {
        lenders.push_back(vm);
      }
    }
    if (!lenders.empty()) {
      const auto first = static_cast<std::ptrdiff_t>(this->nextLender++ % lenders.size());
      std::rotate(lenders.begin(), lenders.begin() + first, lenders.end());
      if (!hasParts) {
        std::stable_partition(lenders.begin(), lenders.end(), [this](const VmId& aVm) {
          return this->fleet.DomainOf(aVm) == this->domain;
        });
      }
      std::erase_if(this->silentLenders,
                    [&](const auto& aEntry) { return aNow - aEntry.second >= kSilentLenderPause; });
      std::stable_partition(lenders.begin(), lenders.end(), [this](const VmId& aVm) {
        return !this->silentLenders.contains(aVm);
      });
      lenders.resize(std::min(lenders.size(), kMaxLenders));
    }
    return lenders;
  }

  /** Sends a request to the next lender. Returns false if none is left. */
  bool AskNextLender(Instant aNow, const OrganisationName& aOrganisation)
  {
    PendingRequest& pending = this->pendingRequests[aOrganisation];
    pending.requestNumber = 0;
    if (pending.lenders.empty()) {
      pending.backoffUntil = aNow + kRequestBackoff;
      return false;
    }
    const VmId lender = pending.lenders.front();
    pending.lenders.erase(pending.lenders.begin());
    const auto member = this->fleet.Members().find(lender);
    if (member == this->fleet.Members().end()) {
      return this->AskNextLender(aNow, aOrganisation);
    }
    const std::uint64_t requestNumber = ++this->lastRequestNumber;
    pending.requestNumber = requestNumber;
    const TokenRequest request{ this->self,
                                this->replyAddress,
                                this->incarnation,
                                requestNumber,
                                aOrganisation,
                                static_cast<std::uint32_t>(pending.wantedCount) +
                                  this->PrefetchCount(aNow, aOrganisation) };
    this->messenger.Send(member->second.row.peerAddress, EncodeTokenMessage(request));
    this->scheduler.Schedule(
      aNow + kReplyTimeout, [this, aOrganisation, lender, requestNumber](Instant aThen) {
        if (this->pendingRequests[aOrganisation].requestNumber == requestNumber) {
          this->MarkSilent(aThen, lender);
          this->AskNextLender(aThen, aOrganisation);
        }
      });
    return true;
  }

  std::uint32_t PrefetchCount(Instant aNow, const OrganisationName& aOrganisation) const
  {
    const double expected =
      this->buckets.LocalDemand(aNow, aOrganisation) *
      std::chrono::duration<double>(OrganisationBuckets::kReceivedTokenLifetime).count();
    return std::min(kMaxPrefetch, static_cast<std::uint32_t>(expected));
  }

  void OnRequest(Instant aNow, const TokenRequest& aRequest)
  {
    if (this->fleet.Allocation().PartsOf(aRequest.organisation, aRequest.sender) == 0) {
      this->buckets.CountPeerDemand(aNow, aRequest.organisation, aRequest.wantedCount);
    }
    const std::uint32_t lentCount = this->buckets.TakeSpare(
      aNow, aRequest.organisation, aRequest.wantedCount, kLenderReserveSeconds);
    const TokenGrant grant{ this->self, aRequest.incarnation, aRequest.requestNumber, lentCount };
    this->messenger.Send(aRequest.replyAddress, EncodeTokenMessage(grant));
  }

  void OnGrant(Instant aNow, const TokenGrant& aGrant)
  {
    if (aGrant.incarnation != this->incarnation) {
      return;
    }
    this->silentLenders.erase(aGrant.sender);
    const auto pending = std::find_if(
      this->pendingRequests.begin(), this->pendingRequests.end(), [&](const auto& aEntry) {
        return aEntry.second.requestNumber == aGrant.requestNumber;
      });
    // Late and duplicate grants are dropped; the tokens of a late grant are lost.
    if (aGrant.requestNumber == 0 || pending == this->pendingRequests.end()) {
      return;
    }
    const OrganisationName organisation = pending->first;
    if (aGrant.count == 0) {
      this->AskNextLender(aNow, organisation);
      return;
    }
    pending->second.requestNumber = 0;
    this->buckets.AddReceived(aNow, organisation, aGrant.count);
    this->throttler.AdmitWaiters(aNow, organisation);
  }

  VmId self;
  FailureDomainName domain;
  std::string replyAddress;
  std::uint64_t incarnation;
  Messenger& messenger;
  const FleetView& fleet;
  OrganisationBuckets& buckets;
  Throttler& throttler;
  Scheduler& scheduler;
  std::map<OrganisationName, PendingRequest> pendingRequests;
  /** Lenders that did not reply, each with the time at which this was noticed. */
  std::map<VmId, Instant> silentLenders;
  std::uint64_t lastRequestNumber = 0;
  std::size_t nextLender = 0;
};

} // namespace mustardshift::proxy
