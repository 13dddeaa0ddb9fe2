#include "core/configuration/ConfigurationTrust.h"

#include "core/base/Assert.h"
#include "core/lease/QuotaShard.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

namespace {

/** Maximum number of confirmations kept for versions that are not fetched yet. When there are more,
    the oldest one is dropped, because later ones confirm a later moment. */
constexpr std::size_t kMaxPendingConfirmations = 32;
/** Size above which the record of removed registrations is cleared. Clearing is safe: VMs that were
    removed may count as existing again, which can only withhold trust. */
constexpr std::size_t kMaxRemovedRegistrations = 4096;

} // namespace

ConfigurationTrust::ConfigurationTrust(VmId aVm)
  : self{ std::move(aVm), 0 }
{
}

void ConfigurationTrust::SetVersion(std::uint64_t aVersion)
{
  if (aVersion < this->version) {
    return;
  }
  this->version = aVersion;
  this->RecordKnownVersion(aVersion);
  const std::vector<Confirmation> pending = std::exchange(this->pendingConfirmations, {});
  for (const Confirmation& confirmation : pending) {
    this->Confirm(confirmation.version, confirmation.at);
  }
}

void ConfigurationTrust::OnHeadRead(Instant aSent, std::uint64_t aHead)
{
  this->lastReadSentAt = std::max(this->lastReadSentAt.value_or(aSent), aSent);
  this->Confirm(aHead, aSent);
}

void ConfigurationTrust::OnPeerReport(Instant aPingSent, Instant aNow, const TrustReport& aReport)
{
  if (aReport.vm.vm == this->self.vm) {
    return;
  }
  this->RecordKnownVersion(aReport.version);
  if (aReport.confirmationAge) {
    // The peer answered after aPingSent, so it was confirmed at this moment or later.
    this->Confirm(aReport.version, aPingSent - WithClockDriftMargin(*aReport.confirmationAge));
  }
  PeerObservation& observation = this->peerObservations[aReport.vm];
  if (aPingSent >= observation.pingSent) {
    observation = { aPingSent,
                    std::max(aReport.version, observation.version),
                    !aReport.reachesPlatform && !aReport.hasUnresolvedChange };
  }
  for (const VmIncarnation& vm : aReport.knownVms) {
    if (vm.vm != this->self.vm) {
      const auto removed = this->removedIncarnations.find(vm.vm);
      if (removed == this->removedIncarnations.end() || removed->second < vm.incarnation) {
        this->otherVms.try_emplace(vm, aNow);
      }
    } else if (vm == this->self && aPingSent >= this->registeredAt) {
      this->peersKnowingSelf.insert(aReport.vm);
    }
  }
}

void ConfigurationTrust::OnRegistrationsRead(Instant aSent,
                                             Instant aNow,
                                             const std::vector<RegistrationRow>& aRows)
{
  this->lastReadSentAt = std::max(this->lastReadSentAt.value_or(aSent), aSent);
  if (aSent <= this->rowsReadSentAt) {
    return;
  }
  this->rowsReadSentAt = aSent;
  RegistrationList list{ aSent, aNow, {} };
  std::map<VmId, ObservedRow> observed;
  for (const RegistrationRow& row : aRows) {
    if (row.vm.vm == this->self.vm) {
      continue;
    }
    list.vms.insert(row.vm);
    this->otherVms.try_emplace(row.vm, aSent);
    const auto previousRow = this->rows.find(row.vm.vm);
    const bool isSame = previousRow != this->rows.end() && previousRow->second.row == row;
    observed[row.vm.vm] = { row, isSame ? previousRow->second.firstObserved : aNow };
  }
  this->rows = std::move(observed);
  // A pending list is replaced only after kConfigurationTrustBound. If each new list replaced it,
  // lists that arrive more often than confirmations would never be applied.
  if (!this->pendingRegistrationList ||
      aNow - this->pendingRegistrationList->answered > kConfigurationTrustBound) {
    this->pendingRegistrationList = std::move(list);
  }
  this->ApplyRegistrationList();
}

void ConfigurationTrust::OnRegistered(Instant aSent, Instant aNow, std::uint64_t aIncarnation)
{
  if (aIncarnation < this->self.incarnation) {
    return;
  }
  if (aIncarnation > this->self.incarnation) {
    this->self.incarnation = aIncarnation;
    this->registeredAt = aNow;
    this->registeredUntil.reset();
    this->hasListSinceRegistration = false;
    this->pendingRegistrationList.reset();
    this->isKnownToAllVms = false;
    this->peersKnowingSelf.clear();
  }
  const Instant until = aSent + kRegistrationLeaseDuration;
  this->registeredUntil = std::max(this->registeredUntil.value_or(until), until);
}

void ConfigurationTrust::OnChangeSent(std::uint64_t aBaseVersion)
{
  this->unresolvedChanges.insert(aBaseVersion);
}

void ConfigurationTrust::OnChangeResult(std::uint64_t aBaseVersion, bool aIsAccepted)
{
  if (const auto change = this->unresolvedChanges.find(aBaseVersion);
      change != this->unresolvedChanges.end()) {
    this->unresolvedChanges.erase(change);
  }
  if (aIsAccepted) {
    this->RecordKnownVersion(aBaseVersion + 1);
  }
}

bool ConfigurationTrust::IsTrusted(Instant aNow) const
{
  if (this->confirmedAt && aNow - *this->confirmedAt < kConfigurationTrustBound) {
    return true;
  }
  return this->IsTrustedInTotalOutage(aNow);
}

bool ConfigurationTrust::MayAcceptChanges(Instant aNow)
{
  if (!this->IsRegistered(aNow) || !this->ReachesPlatform(aNow)) {
    return false;
  }
  // When every VM in the latest list knows of this VM's registration, the condition stays true: VMs
  // that register later find this VM in the first list that they read.
  this->isKnownToAllVms = this->isKnownToAllVms ||
                          std::all_of(this->rows.begin(), this->rows.end(), [&](const auto& aRow) {
                            return this->peersKnowingSelf.contains(aRow.second.row.vm);
                          });
  return this->isKnownToAllVms;
}

std::vector<RegistrationRow> ConfigurationTrust::ExpiredRegistrations(Instant aNow) const
{
  std::vector<RegistrationRow> expired;
  for (const auto& [vm, observed] : this->rows) {
    if (aNow - observed.firstObserved >= WithClockDriftMargin(kRegistrationLeaseDuration)) {
      expired.push_back(observed.row);
    }
  }
  return expired;
}

TrustReport ConfigurationTrust::Report(Instant aNow) const
{
  TrustReport report;
  report.vm = this->self;
  report.version = this->version;
  if (this->confirmedAt) {
    report.confirmationAge = std::max(Duration(0), aNow - *this->confirmedAt);
  }
  report.reachesPlatform = this->ReachesPlatform(aNow);
  report.hasUnresolvedChange =
    !this->unresolvedChanges.empty() || this->highestKnownVersion > this->version;
  if (this->self.incarnation > 0) {
    report.knownVms.insert(this->self);
  }
  for (const auto& [vm, learnedAt] : this->otherVms) {
    report.knownVms.insert(vm);
  }
  return report;
}

void ConfigurationTrust::Confirm(std::uint64_t aVersion, Instant aAt)
{
  this->RecordKnownVersion(aVersion);
  if (aVersion <= this->version) {
    this->confirmedAt = std::max(this->confirmedAt.value_or(aAt), aAt);
    this->ApplyRegistrationList();
    return;
  }
  if (this->pendingConfirmations.size() >= kMaxPendingConfirmations) {
    this->pendingConfirmations.erase(this->pendingConfirmations.begin());
  }
  this->pendingConfirmations.push_back({ aVersion, aAt });
}

void ConfigurationTrust::RecordKnownVersion(std::uint64_t aVersion)
{
  this->highestKnownVersion = std::max(this->highestKnownVersion, aVersion);
  // A change based on a version below the highest known one can't be accepted any more.
  this->unresolvedChanges.erase(this->unresolvedChanges.begin(),
                                this->unresolvedChanges.lower_bound(this->highestKnownVersion));
}

/** Removes the VMs that are missing from the pending list, once the configuration is confirmed as
    of a moment after the list was answered. Until then they are kept, because a VM that is missing
    from the list may have had a change accepted before its registration was removed. */
void ConfigurationTrust::ApplyRegistrationList()
{
  if (!this->pendingRegistrationList || !this->confirmedAt ||
      *this->confirmedAt < this->pendingRegistrationList->answered) {
    return;
  }
  const RegistrationList list = std::move(*this->pendingRegistrationList);
  this->pendingRegistrationList.reset();
  // Set only after the confirmation: VMs that are missing from the list, including an earlier
  // process of this VM, may have had changes accepted that are missing from a configuration that
  // this VM fetched from a peer.
  this->hasListSinceRegistration =
    this->hasListSinceRegistration ||
    (this->registeredUntil.has_value() && list.sent >= this->registeredAt);
  if (this->removedIncarnations.size() > kMaxRemovedRegistrations) {
    this->removedIncarnations.clear();
  }
  std::erase_if(this->otherVms, [&](const auto& aOther) {
    const bool isGone = aOther.second < list.sent && !list.vms.contains(aOther.first);
    if (isGone) {
      std::uint64_t& incarnation = this->removedIncarnations[aOther.first.vm];
      incarnation = std::max(incarnation, aOther.first.incarnation);
    }
    return isGone;
  });
  std::erase_if(this->peerObservations, [&](const auto& aObservation) {
    return aObservation.second.pingSent < list.sent && !this->otherVms.contains(aObservation.first);
  });
}

bool ConfigurationTrust::ReachesPlatform(Instant aNow) const
{
  return this->lastReadSentAt && aNow - *this->lastReadSentAt < kPlatformReachabilityTimeout;
}

bool ConfigurationTrust::IsRegistered(Instant aNow) const
{
  return this->registeredUntil && aNow < *this->registeredUntil && this->hasListSinceRegistration;
}

bool ConfigurationTrust::IsTrustedInTotalOutage(Instant aNow) const
{
  if (!this->IsRegistered(aNow) || !this->confirmedAt || !this->unresolvedChanges.empty() ||
      this->highestKnownVersion > this->version) {
    return false;
  }
  return std::all_of(this->otherVms.begin(), this->otherVms.end(), [&](const auto& aOther) {
    const auto report = this->peerObservations.find(aOther.first);
    return report != this->peerObservations.end() && report->second.cannotHaveNewChanges &&
           report->second.version <= this->version &&
           aNow - report->second.pingSent < kConfigurationTrustBound;
  });
}

} // namespace mustardshift
