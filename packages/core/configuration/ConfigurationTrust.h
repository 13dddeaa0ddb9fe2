#pragma once

#include "core/base/Instant.h"
#include "core/configuration/TrustReport.h"
#include "core/membership/RegistrationRow.h"
#include "core/membership/VmIncarnation.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardshift {

/** A VM stops serving key-protected routes this long after its configuration was last otherVms to
    contain every accepted change. */
inline constexpr Duration kConfigurationTrustBound = std::chrono::seconds(5);

/** How long a VM's registration lasts, from before the request that made or renewed it was sent. */
inline constexpr Duration kRegistrationLeaseDuration = std::chrono::seconds(600);

/** A VM reports the platform as out of reach when no read sent within this time was answered. */
inline constexpr Duration kPlatformReachabilityTimeout = std::chrono::seconds(2);

/** Decides whether a VM may rely on its configuration, in particular on the keys in it, and whether
    it may accept operators' changes.

    A configuration is trusted at a time t if one of these holds:
    - it contains every change accepted up to some moment after t - kConfigurationTrustBound, as
      shown by the VM's own read of the head or by a peer's report;
    - every VM that could have accepted a change has reported, to a ping sent after that moment,
      that it has no newer version, no change of unknown fate, and no access to the platform; this
      VM's own registration lease runs. A VM accepts changes only once every registered VM knows of
      its registration, so the VMs that could have are otherVms.

    What callers have to observe:
    - A change is one transaction with a precondition on the version of the VM's own registration
      row, so that a VM whose registration was removed can't have a late change accepted.
    - A registration is renewed with a precondition on its row's version, and a lapsed one is
      removed with a precondition on the version that LapsedRegistrations() names.
    - All instants named "sent" lie before the request left this VM.

    Thread safety: none; one thread owns the object. */
class ConfigurationTrust
{
public:
  /** @param aVm  id of this VM. */
  explicit ConfigurationTrust(VmId aVm);

  /** This VM now has the given version, with all changes up to it. Lower ones are ignored. */
  void SetVersion(std::uint64_t aVersion);

  /** A read of the head, sent at aSent, was answered. */
  void OnHeadRead(Instant aSent, std::uint64_t aHead);

  /** A peer's answer, to a ping that was sent at aPingSent, arrived at aNow. Reports may arrive
      late, twice and in any order. */
  void OnPeerReport(Instant aPingSent, Instant aNow, const TrustReport& aReport);

  /** A read of all registration rows, sent at aSent, was answered at aNow. */
  void OnRegistrationsRead(Instant aSent, Instant aNow, const std::vector<RegistrationRow>& aRows);

  /** The platform confirmed at aNow that this VM's registration, or its renewal, that was sent at
      aSent took effect. For a new registration after an earlier one, aIncarnation is larger. */
  void OnRegistered(Instant aSent, Instant aNow, std::uint64_t aIncarnation);

  /** This VM sends an operator's change that raises the head from aBase. */
  void OnChangeSent(std::uint64_t aBase);

  /** The platform answered that a change was accepted as aBase + 1, or that it never will be. When
      the answer is lost, don't call it: the change counts as unresolved until a head above aBase is
      seen. */
  void OnChangeResult(std::uint64_t aBase, bool aIsAccepted);

  /** Whether key-protected routes may be served at aNow. Ask at each use. */
  bool IsTrusted(Instant aNow) const;

  /** Whether an operator's change may be sent to the platform at aNow. Not while the platform is
      silent: a change without an answer would end the trust of all VMs for the whole outage. */
  bool MayAcceptChanges(Instant aNow);

  /** Registrations of other VMs that have lapsed: their rows haven't changed for a lease with
      drift. Remove each, with a precondition on its version: until then, this VM may have to wait
      before it accepts changes. */
  std::vector<RegistrationRow> LapsedRegistrations(Instant aNow) const;

  /** What to tell a peer whose ping has just arrived. */
  TrustReport Report(Instant aNow) const;

  /** The moment up to which this VM's configuration contains every accepted change. */
  std::optional<Instant> ConfirmedAt() const { return this->confirmedAt; }
  std::uint64_t Version() const { return this->version; }
  /** The highest version peerObservations of; above Version() there are changes to fetch. */
  std::uint64_t HighestKnownVersion() const { return this->highestKnownVersion; }

private:
  struct Confirmation
  {
    std::uint64_t version = 0;
    Instant at{};
  };
  struct PeerObservation
  {
    Instant pingSent{};
    std::uint64_t version = 0;
    bool cannotHaveNewChanges = false;
  };
  struct RegistrationList
  {
    Instant sent{};
    Instant answered{};
    std::set<VmIncarnation> vms;
  };
  struct ObservedRow
  {
    RegistrationRow row;
    Instant firstObserved{};
  };

  void Confirm(std::uint64_t aVersion, Instant aAt);
  void RecordKnownVersion(std::uint64_t aVersion);
  void ApplyRegistrationList();
  bool ReachesPlatform(Instant aNow) const;
  bool IsRegistered(Instant aNow) const;
  bool IsTotalOutage(Instant aNow) const;

  VmIncarnation self;
  std::uint64_t version = 0;
  std::uint64_t highestKnownVersion = 0;
  std::optional<Instant> confirmedAt;
  /** Confirmations of versions that this VM doesn't have yet. */
  std::vector<Confirmation> pendingConfirmations;
  std::optional<Instant> lastReadSentAt;
  std::multiset<std::uint64_t> unresolvedChanges;

  std::optional<Instant> registeredUntil;
  /** When the answer to the present registration, not its renewals, arrived. */
  Instant registeredAt{};
  /** Whether a list read since then was adopted. */
  bool hasListSinceRegistration = false;
  bool isKnownToAllVms = false;
  /** Other VMs that may accept changes, and when each was first learnedAt of. */
  std::map<VmIncarnation, Instant> otherVms;
  /** The highest incarnation of each VM whose registration was removed. Peers that learn of a
      removal later still report such VMs; without this record the reports would keep going round.
   */
  std::map<VmId, std::uint64_t> removedIncarnations;
  /** A list that is waiting for a confirmation later than itself. */
  std::optional<RegistrationList> pendingRegistrationList;
  /** Rows of the latest list, this VM's left out. */
  std::map<VmId, ObservedRow> rows;
  Instant rowsReadSentAt = Instant::min();
  std::map<VmIncarnation, PeerObservation> peerObservations;
  /** Peers that reported, since this registration, that they know of it. */
  std::set<VmIncarnation> peersKnowingSelf;
};

} // namespace mustardshift
