#include "daemon/control/RegistrationManager.h"

#include "adapters/clock/SystemBootClock.h"
#include "adapters/log/Log.h"
#include "core/configuration/ConfigurationTrust.h"

#include <utility>

namespace mustardshift {

namespace {

constexpr Duration kTableTimeout = std::chrono::milliseconds(800);
/** Leaves room for three renewals within one lease. */
constexpr Duration kRenewalInterval = kRegistrationLeaseDuration / 3;

const Log kLog(Component::Membership);

} // namespace

RegistrationManager::RegistrationManager(TableClient& aTable, VmId aSelf, VmRow aRow, Hooks aHooks)
  : table(aTable)
  , self(std::move(aSelf))
  , row(std::move(aRow))
  , hooks(std::move(aHooks))
  , key(VmKey(this->self))
  , encoded(EncodeVmRow(this->row))
{
}

bool RegistrationManager::Poll(Instant aNow)
{
  if (!this->ReadAll()) {
    return false;
  }
  if (this->rowVersion == 0 || aNow >= this->renewAt) {
    this->Write(aNow);
  }
  return true;
}

bool RegistrationManager::ReadAll()
{
  const Instant sent = SystemBootClock{}.Now();
  const auto rows = this->table.Scan(std::string(kVmPrefix), 0, kTableTimeout);
  if (!rows) {
    return false;
  }
  const Instant answered = SystemBootClock{}.Now();
  std::vector<RegistrationRow> registrations;
  std::map<VmId, VmRow> vms;
  this->currentRowVersion = 0;
  bool isOwn = false;
  for (const TableRow& tableRow : *rows) {
    const VmId vm(tableRow.key.substr(kVmPrefix.size()));
    const std::optional<VmRow> decoded = DecodeVmRow(tableRow.value);
    if (!decoded) {
      kLog.Error("The registration of " + vm.Text() + " is malformed.");
      continue;
    }
    registrations.push_back({ { vm, decoded->incarnation }, tableRow.version });
    vms.emplace(vm, *decoded);
    if (vm == this->self) {
      this->currentRowVersion = tableRow.version;
      isOwn = decoded->incarnation == this->row.incarnation;
    }
  }
  if (isOwn && this->unansweredWriteSentAt && this->currentRowVersion != this->rowVersion) {
    this->rowVersion = this->currentRowVersion;
    this->renewAt = *this->unansweredWriteSentAt + kRenewalInterval;
    this->hooks.registered(*this->unansweredWriteSentAt, answered);
    this->unansweredWriteSentAt.reset();
  }
  if (!isOwn) {
    this->rowVersion = 0;
  }
  this->hooks.read(sent, answered, registrations, vms);
  return true;
}

void RegistrationManager::Write(Instant aNow)
{
  const auto committed = this->table.Commit(
    { { this->key, this->currentRowVersion } }, { { this->key, this->encoded } }, kTableTimeout);
  if (!committed) {
    if (committed.error().error == PlatformError::AnswerLost) {
      this->unansweredWriteSentAt = aNow;
    }
    return;
  }
  if (this->rowVersion == 0) {
    kLog.Info("This VM is registered.");
  }
  this->unansweredWriteSentAt.reset();
  this->currentRowVersion += 1;
  this->rowVersion = this->currentRowVersion;
  this->renewAt = aNow + kRenewalInterval;
  this->hooks.registered(aNow, SystemBootClock{}.Now());
}

void RegistrationManager::Remove(const std::vector<RegistrationRow>& aLapsed)
{
  for (const RegistrationRow& lapsed : aLapsed) {
    const std::string lapsedKey = VmKey(lapsed.vm.vm);
    RowWrite removal;
    removal.key = lapsedKey;
    removal.remove = true;
    if (this->table.Commit({ { lapsedKey, lapsed.rowVersion } }, { removal }, kTableTimeout)) {
      kLog.Info("The lapsed registration of " + lapsed.vm.vm.Text() + " is removed.");
    }
  }
}

void RegistrationManager::Deregister()
{
  if (this->rowVersion == 0) {
    return;
  }
  RowWrite removal;
  removal.key = this->key;
  removal.remove = true;
  static_cast<void>(
    this->table.Commit({ { this->key, this->rowVersion } }, { removal }, kTableTimeout));
  this->rowVersion = 0;
}

} // namespace mustardshift
