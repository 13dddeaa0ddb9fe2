#include "daemon/control/RegistrationKeeper.h"

#include "adapters/clock/SystemBootClock.h"
#include "adapters/log/Log.h"
#include "core/configuration/ConfigurationTrust.h"

#include <utility>

namespace mustardshift {

namespace {

constexpr Duration kTableTimeout = std::chrono::milliseconds(800);
/** Three renewals fit into one lease. */
constexpr Duration kRenewalInterval = kRegistrationLeaseDuration / 3;

const Log kLog(Component::Membership);

} // namespace

RegistrationKeeper::RegistrationKeeper(TableClient& aTable, VmId aSelf, VmRow aRow, Hooks aHooks)
  : table(aTable)
  , self(std::move(aSelf))
  , row(std::move(aRow))
  , hooks(std::move(aHooks))
  , key(VmKey(this->self))
  , encoded(EncodeVmRow(this->row))
{
}

bool RegistrationKeeper::Poll(Instant aNow)
{
  if (!this->ReadAll()) {
    return false;
  }
  if (this->rowVersion == 0 || aNow >= this->renewAt) {
    this->Write(aNow);
  }
  return true;
}

bool RegistrationKeeper::ReadAll()
{
  const Instant sent = SystemBootClock{}.Now();
  const auto rows = this->table.Scan(std::string(kVmPrefix), 0, kTableTimeout);
  if (!rows) {
    return false;
  }
  const Instant answered = SystemBootClock{}.Now();
  std::vector<RegistrationRow> registrations;
  std::map<VmId, VmRow> vms;
  this->presentVersion = 0;
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
      this->presentVersion = tableRow.version;
      isOwn = decoded->incarnation == this->row.incarnation;
    }
  }
  if (isOwn && this->lostWriteSent && this->presentVersion != this->rowVersion) {
    this->rowVersion = this->presentVersion;
    this->renewAt = *this->lostWriteSent + kRenewalInterval;
    this->hooks.registered(*this->lostWriteSent, answered);
    this->lostWriteSent.reset();
  }
  if (!isOwn) {
    this->rowVersion = 0;
  }
  this->hooks.read(sent, answered, registrations, vms);
  return true;
}

void RegistrationKeeper::Write(Instant aNow)
{
  const auto committed = this->table.Commit(
    { { this->key, this->presentVersion } }, { { this->key, this->encoded } }, kTableTimeout);
  if (!committed) {
    if (committed.error().error == PlatformError::AnswerLost) {
      this->lostWriteSent = aNow;
    }
    return;
  }
  if (this->rowVersion == 0) {
    kLog.Info("This VM is registered.");
  }
  this->lostWriteSent.reset();
  this->presentVersion += 1;
  this->rowVersion = this->presentVersion;
  this->renewAt = aNow + kRenewalInterval;
  this->hooks.registered(aNow, SystemBootClock{}.Now());
}

void RegistrationKeeper::Remove(const std::vector<RegistrationRow>& aLapsed)
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

void RegistrationKeeper::Deregister()
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
