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

/** A VM stops serving key-protected routes when this time has passed since the last moment at which
    its configuration was confirmed to contain every accepted change. */
inline constexpr Duration kConfigurationTrustBound = std::chrono::seconds(5);

/** Duration of a VM's registration lease. It starts before the request that creates or renews the
    registration is sent. */
inline constexpr Duration kRegistrationLeaseDuration = std::chrono::seconds(600);

/** A VM considers the platform unreachable when no read that it sent within this time was
    answered. */
inline constexpr Duration kPlatformReachabilityTimeout = std::chrono::seconds(2);

/** Decides whether a VM may rely on its configuration, in particular on the keys in it, and whether
    it may accept operators' changes.

    The head is the version of the latest accepted change, as stored by the platform.

    A configuration is trusted at a time t if one of these conditions is met:
    - The configuration contains every change accepted up to some moment after
      t - kConfigurationTrustBound. The VM's own read of the head or a peer's report confirms this.
    - In a total platform outage: every other VM that could have accepted a change has answered a
      ping sent after t - kConfigurationTrustBound, and reported that it has no newer version, no
      change with an unknown result, and no access to the platform. In addition, this VM's own
      registration lease has not expired. The VMs that could have accepted a change are known,
      because a VM accepts changes only after every registered VM knows of its registration.

    Requirements on the caller:
    - A change is one transaction with a precondition on the version of the VM's own registration
      row. Otherwise a VM whose registration was removed could have a late change accepted.
    - A registration is renewed with a precondition on the version of its row. An expired one is
      removed with a precondition on the row version that ExpiredRegistrations() returns.
    - Each instant named "sent" is taken before the request leaves this VM.

    Thread safety: none; one thread owns the object. */
class ConfigurationTrust
{
public:
  /** @param aVm  id of this VM. */
  explicit ConfigurationTrust(VmId aVm);

  /** Sets the version of this VM's configuration, which contains all changes up to that version. A
      version below the current one is ignored. */
  void SetVersion(std::uint64_t aVersion);

  /** Call when a read of the head was answered.

      @param aSent  when the read was sent.
      @param aHead  the version that was read. */
  void OnHeadRead(Instant aSent, std::uint64_t aHead);

  /** Call when a peer's answer, to a ping that was sent at aPingSent, arrived at aNow. Reports may
      arrive late, more than once and in any order. */
  void OnPeerReport(Instant aPingSent, Instant aNow, const TrustReport& aReport);

  /** Call when a read of all registration rows, sent at aSent, was answered at aNow. */
  void OnRegistrationsRead(Instant aSent, Instant aNow, const std::vector<RegistrationRow>& aRows);

  /** Call when the platform confirmed at aNow that this VM's registration, or a renewal of it, that
      was sent at aSent took effect. Each new registration has a larger aIncarnation than those
      before; a renewal keeps it. */
  void OnRegistered(Instant aSent, Instant aNow, std::uint64_t aIncarnation);

  /** Call when this VM sends an operator's change that raises the head from aBaseVersion to
      aBaseVersion + 1. */
  void OnChangeSent(std::uint64_t aBaseVersion);

  /** Call when the platform answered that a change was accepted as version aBaseVersion + 1, or
      that it will never be accepted. Don't call it when the answer is lost: the change counts as
      unresolved until this VM knows of a version above aBaseVersion. */
  void OnChangeResult(std::uint64_t aBaseVersion, bool aIsAccepted);

  /** Returns whether key-protected routes may be served at aNow. The result changes as time passes,
      so call it for each request. */
  bool IsTrusted(Instant aNow) const;

  /** Returns whether an operator's change may be sent to the platform at aNow. False while the
      platform is unreachable: if the result of a change stayed unknown, no VM could serve
      key-protected routes until the outage ends. */
  bool MayAcceptChanges(Instant aNow);

  /** Returns the expired registrations of other VMs: their rows haven't changed for a lease
      duration plus the allowance for clock drift. The caller should remove each of them, with a
      precondition on its row version, because this VM may be unable to accept changes while they
      exist. */
  std::vector<RegistrationRow> ExpiredRegistrations(Instant aNow) const;

  /** Returns the report to send in answer to a peer's ping that arrived at aNow. */
  TrustReport Report(Instant aNow) const;

  /** Returns the moment up to which this VM's configuration is confirmed to contain every accepted
      change; nothing if it was never confirmed. */
  std::optional<Instant> ConfirmedAt() const { return this->confirmedAt; }
  std::uint64_t Version() const { return this->version; }
  /** Returns the highest version that this VM knows to exist. When it is above Version(), there are
      changes to fetch. */
  std::uint64_t HighestKnownVersion() const { return this->highestKnownVersion; }

private:
  /** Records that a version contained every change accepted up to the instant `at`. */
  struct Confirmation
  {
    std::uint64_t version = 0;
    Instant at{};
  };
  /** The latest report of a peer. */
  struct PeerObservation
  {
    Instant pingSent{};
    std::uint64_t version = 0;
    /** True when the peer reported no access to the platform and no unresolved change. */
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
  /** Returns whether the configuration is trusted by the second condition in the description of the
      class, which applies in a total platform outage. */
  bool IsTrustedInTotalOutage(Instant aNow) const;

  VmIncarnation self;
  std::uint64_t version = 0;
  std::uint64_t highestKnownVersion = 0;
  std::optional<Instant> confirmedAt;
  /** Confirmations of versions that this VM doesn't have yet. */
  std::vector<Confirmation> pendingConfirmations;
  /** When the latest answered read of the platform was sent. */
  std::optional<Instant> lastReadSentAt;
  /** Base versions of the changes that this VM sent and whose result it doesn't know. */
  std::multiset<std::uint64_t> unresolvedChanges;

  std::optional<Instant> registeredUntil;
  /** When the answer to the current registration arrived. Renewals don't change it. */
  Instant registeredAt{};
  /** Whether this VM has applied a registration list that it read after registeredAt. */
  bool hasListSinceRegistration = false;
  /** Whether every other registered VM knows of this VM's registration, which is required before it
      may accept changes. */
  bool isKnownToAllVms = false;
  /** Other VMs that may accept changes, and when this VM first learned of each. */
  std::map<VmIncarnation, Instant> otherVms;
  /** Highest incarnation of each VM whose registration was removed. Peers that don't know of the
      removal yet still report such VMs. Without this record a removed VM would be added to otherVms
      again, and the peers would continue to report it to each other. */
  std::map<VmId, std::uint64_t> removedIncarnations;
  /** Registration list that is applied as soon as the configuration is confirmed to contain every
      change accepted up to a moment after the answer with the list arrived. */
  std::optional<RegistrationList> pendingRegistrationList;
  /** Rows of the latest registration list, without this VM's own row. */
  std::map<VmId, ObservedRow> rows;
  Instant rowsReadSentAt = Instant::min();
  std::map<VmIncarnation, PeerObservation> peerObservations;
  /** Peers that reported that they know of this VM's current registration. */
  std::set<VmIncarnation> peersKnowingSelf;
};

} // namespace mustardshift
