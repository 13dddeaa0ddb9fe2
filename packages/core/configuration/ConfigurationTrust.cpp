#include "core/configuration/ConfigurationTrust.h"

#include "core/base/Assert.h"
#include "core/lease/QuotaShard.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

namespace {

/** More confirmations of versions not yet fetched are not kept; the latest ones matter. */
constexpr std::size_t kMaximumPendingConfirmations = 32;
/** Bound on the record of removed registrations. Dropping it only makes trust harder to get. */
constexpr std::size_t kMaximumGone = 4096;

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
  this->HearVersion(aVersion);
  const std::vector<Confirmation> pending = std::exchange(this->pendingConfirmations, {});
  for (const Confirmation& confirmation : pending) {
    this->Confirm(confirmation.version, confirmation.at);
  }
}

void ConfigurationTrust::HeadRead(Instant aSent, std::uint64_t aHead)
{
  this->lastRead = std::max(this->lastRead.value_or(aSent), aSent);
  this->Confirm(aHead, aSent);
}

void ConfigurationTrust::PeerReported(Instant aPingSent, Instant aNow, const TrustReport& aReport)
{
  if (aReport.vm.vm == this->self.vm) {
    return;
  }
  this->HearVersion(aReport.version);
  if (aReport.confirmationAge) {
    // The peer answered after aPingSent, so its confirmation is no older than this.
    this->Confirm(aReport.version, aPingSent - WithClockDriftMargin(*aReport.confirmationAge));
  }
  Heard& last = this->heard[aReport.vm];
  if (aPingSent >= last.pingSent) {
    last = { aPingSent,
             std::max(aReport.version, last.version),
             !aReport.reachesPlatform && !aReport.hasUnresolvedChange };
  }
  for (const VmIncarnation& vm : aReport.knownVms) {
    if (vm.vm != this->self.vm) {
      const auto removed = this->gone.find(vm.vm);
      if (removed == this->gone.end() || removed->second < vm.incarnation) {
        this->known.try_emplace(vm, aNow);
      }
    } else if (vm == this->self && aPingSent >= this->registeredAt) {
      this->knowSelf.insert(aReport.vm);
    }
  }
}

void ConfigurationTrust::RegistrationsRead(Instant aSent,
                                           Instant aNow,
                                           const std::vector<RegistrationRow>& aRows)
{
  this->lastRead = std::max(this->lastRead.value_or(aSent), aSent);
  if (aSent <= this->rowsSent) {
    return;
  }
  this->rowsSent = aSent;
  List list{ aSent, aNow, {} };
  std::map<VmId, ObservedRow> observed;
  for (const RegistrationRow& row : aRows) {
    if (row.vm.vm == this->self.vm) {
      continue;
    }
    list.vms.insert(row.vm);
    this->known.try_emplace(row.vm, aSent);
    const auto before = this->rows.find(row.vm.vm);
    const bool isSame = before != this->rows.end() && before->second.row == row;
    observed[row.vm.vm] = { row, isSame ? before->second.firstObserved : aNow };
  }
  this->rows = std::move(observed);
  // A list that waits is replaced only when it is old: lists that arrive more often than
  // confirmations would otherwise never be adopted.
  if (!this->pendingList || aNow - this->pendingList->answered > kConfigurationTrustBound) {
    this->pendingList = std::move(list);
  }
  this->AdoptList();
}

void ConfigurationTrust::Registered(Instant aSent, Instant aNow, std::uint64_t aIncarnation)
{
  if (aIncarnation < this->self.incarnation) {
    return;
  }
  if (aIncarnation > this->self.incarnation) {
    this->self.incarnation = aIncarnation;
    this->registeredAt = aNow;
    this->registeredUntil.reset();
    this->hasListSinceRegistration = false;
    this->pendingList.reset();
    this->isAcceptor = false;
    this->knowSelf.clear();
  }
  const Instant until = aSent + kRegistrationLeaseDuration;
  this->registeredUntil = std::max(this->registeredUntil.value_or(until), until);
}

void ConfigurationTrust::ChangeSent(std::uint64_t aBase)
{
  this->unresolvedChanges.insert(aBase);
}

void ConfigurationTrust::ChangeAnswered(std::uint64_t aBase, bool aIsAccepted)
{
  if (const auto change = this->unresolvedChanges.find(aBase);
      change != this->unresolvedChanges.end()) {
    this->unresolvedChanges.erase(change);
  }
  if (aIsAccepted) {
    this->HearVersion(aBase + 1);
  }
}

bool ConfigurationTrust::IsTrusted(Instant aNow) const
{
  if (this->confirmedAt && aNow - *this->confirmedAt < kConfigurationTrustBound) {
    return true;
  }
  return this->IsTotalOutage(aNow);
}

bool ConfigurationTrust::MayAcceptChanges(Instant aNow)
{
  if (!this->IsRegistered(aNow) || !this->ReachesPlatform(aNow)) {
    return false;
  }
  // Once every VM registered with or before this one knows it, later ones find it in their own
  // first list.
  this->isAcceptor =
    this->isAcceptor || std::all_of(this->rows.begin(), this->rows.end(), [&](const auto& aRow) {
      return this->knowSelf.contains(aRow.second.row.vm);
    });
  return this->isAcceptor;
}

std::vector<RegistrationRow> ConfigurationTrust::LapsedRegistrations(Instant aNow) const
{
  std::vector<RegistrationRow> lapsed;
  for (const auto& [vm, observed] : this->rows) {
    if (aNow - observed.firstObserved >= WithClockDriftMargin(kRegistrationLeaseDuration)) {
      lapsed.push_back(observed.row);
    }
  }
  return lapsed;
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
    !this->unresolvedChanges.empty() || this->highestHeard > this->version;
  if (this->self.incarnation > 0) {
    report.knownVms.insert(this->self);
  }
  for (const auto& [vm, learned] : this->known) {
    report.knownVms.insert(vm);
  }
  return report;
}

void ConfigurationTrust::Confirm(std::uint64_t aVersion, Instant aAt)
{
  this->HearVersion(aVersion);
  if (aVersion <= this->version) {
    this->confirmedAt = std::max(this->confirmedAt.value_or(aAt), aAt);
    this->AdoptList();
    return;
  }
  if (this->pendingConfirmations.size() >= kMaximumPendingConfirmations) {
    this->pendingConfirmations.erase(this->pendingConfirmations.begin());
  }
  this->pendingConfirmations.push_back({ aVersion, aAt });
}

void ConfigurationTrust::HearVersion(std::uint64_t aVersion)
{
  this->highestHeard = std::max(this->highestHeard, aVersion);
  // A change that expects a head below the present one can't be accepted any more.
  this->unresolvedChanges.erase(this->unresolvedChanges.begin(),
                                this->unresolvedChanges.lower_bound(this->highestHeard));
}

/** Forgets the VMs that a list lacks, once the configuration is confirmed as of a later moment: a
    VM that is gone from the list may have had a change accepted before it was removed. */
void ConfigurationTrust::AdoptList()
{
  if (!this->pendingList || !this->confirmedAt ||
      *this->confirmedAt < this->pendingList->answered) {
    return;
  }
  const List list = std::move(*this->pendingList);
  this->pendingList.reset();
  // Only now: VMs that the list lacks, an earlier process of this VM among them, may have had
  // changes accepted that a configuration fetched from a peer lacks.
  this->hasListSinceRegistration =
    this->hasListSinceRegistration ||
    (this->registeredUntil.has_value() && list.sent >= this->registeredAt);
  if (this->gone.size() > kMaximumGone) {
    this->gone.clear();
  }
  std::erase_if(this->known, [&](const auto& aKnown) {
    const bool isGone = aKnown.second < list.sent && !list.vms.contains(aKnown.first);
    if (isGone) {
      std::uint64_t& incarnation = this->gone[aKnown.first.vm];
      incarnation = std::max(incarnation, aKnown.first.incarnation);
    }
    return isGone;
  });
  std::erase_if(this->heard, [&](const auto& aHeard) {
    return aHeard.second.pingSent < list.sent && !this->known.contains(aHeard.first);
  });
}

bool ConfigurationTrust::ReachesPlatform(Instant aNow) const
{
  return this->lastRead && aNow - *this->lastRead < kPlatformSilence;
}

bool ConfigurationTrust::IsRegistered(Instant aNow) const
{
  return this->registeredUntil && aNow < *this->registeredUntil && this->hasListSinceRegistration;
}

bool ConfigurationTrust::IsTotalOutage(Instant aNow) const
{
  if (!this->IsRegistered(aNow) || !this->confirmedAt || !this->unresolvedChanges.empty() ||
      this->highestHeard > this->version) {
    return false;
  }
  return std::all_of(this->known.begin(), this->known.end(), [&](const auto& aKnown) {
    const auto report = this->heard.find(aKnown.first);
    return report != this->heard.end() && report->second.isCutOff &&
           report->second.version <= this->version &&
           aNow - report->second.pingSent < kConfigurationTrustBound;
  });
}

} // namespace mustardshift
