#include "daemon/control/ConfigurationManager.h"

#include "adapters/clock/SystemBootClock.h"
#include "adapters/log/Log.h"
#include "core/configuration/ApplyChange.h"
#include "core/configuration/ConfigurationCodec.h"
#include "daemon/control/PlatformRows.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

namespace {

constexpr Duration kReadTimeout = std::chrono::milliseconds(800);
constexpr Duration kCommitTimeout = std::chrono::seconds(1);
/** Number of reads that look for the outcome of a commit whose response was lost. */
constexpr int kResolveAttempts = 5;
/** Number of attempts to commit a change without a base version while other changes are accepted
    first. */
constexpr int kConflictAttempts = 5;
/** Maximum number of changes in one read from the table. */
constexpr std::uint64_t kChangesPerRead = 100;
/** A snapshot is saved for each version that is a multiple of this. */
constexpr std::uint64_t kSnapshotInterval = 100;

const Log kLog(Component::Configuration);

} // namespace

ConfigurationManager::ConfigurationManager(TableClient& aTable,
                                           ObjectStoreClient& aObjects,
                                           const RegistrationManager& aRegistration,
                                           Hooks aHooks)
  : table(aTable)
  , objects(aObjects)
  , registration(aRegistration)
  , hooks(std::move(aHooks))
{
}

bool ConfigurationManager::Poll()
{
  const Instant sent = SystemBootClock{}.Now();
  const auto rows = this->table.Read({ std::string(kHeadKey) }, kReadTimeout);
  if (!rows) {
    return false;
  }
  std::uint64_t head = 0;
  if (!rows->empty()) {
    const std::optional<std::uint64_t> number = DecodeNumber(rows->front().value);
    if (!number) {
      kLog.Error("The row configuration/head is malformed.");
      return false;
    }
    head = *number;
    this->headRowVersion = rows->front().version;
  }
  const bool complete = this->CatchUp(head);
  this->hooks.headRead(sent, head);
  return complete;
}

bool ConfigurationManager::CatchUp(std::uint64_t aHead)
{
  const std::uint64_t before = this->current.Version();
  if (aHead > before + kChangesPerRead) {
    this->LoadSnapshot();
  }
  bool complete = true;
  while (complete && this->current.Version() < aHead) {
    const std::uint64_t first = this->current.Version() + 1;
    const std::uint64_t last = std::min(aHead, first + kChangesPerRead - 1);
    std::vector<std::string> keys;
    for (std::uint64_t version = first; version <= last; ++version) {
      keys.push_back(ChangeKey(version));
    }
    const auto rows = this->table.Read(keys, kReadTimeout);
    if (!rows) {
      complete = false;
      break;
    }
    std::map<std::uint64_t, ConfigurationChange> changes;
    for (const TableRow& row : *rows) {
      if (auto change = DecodeChange(row.value)) {
        changes.emplace(change->version, std::move(*change));
      }
    }
    for (std::uint64_t version = first; complete && version <= last; ++version) {
      const auto change = changes.find(version);
      complete = change != changes.end() && this->ApplyAndRecord(change->second);
    }
    if (!complete) {
      kLog.Error("The configuration changes could not be applied: a row is missing or malformed.");
    }
  }
  if (this->current.Version() > before) {
    kLog.Info("Configuration version " + std::to_string(this->current.Version()) + " is in force.");
    this->hooks.changed(this->current.Get());
  }
  return complete;
}

bool ConfigurationManager::ApplyAndRecord(const ConfigurationChange& aChange)
{
  if (!this->current.Apply(aChange)) {
    return false;
  }
  this->operations[aChange.operationId] = aChange.version;
  return true;
}

void ConfigurationManager::ApplyPushedChange(const std::string& aEncodedChange)
{
  const auto change = DecodeChange(aEncodedChange);
  if (change && change->version == this->current.Version() + 1 && this->ApplyAndRecord(*change)) {
    kLog.Info("Configuration version " + std::to_string(change->version) +
              " is in force; a peer sent it.");
    this->hooks.changed(this->current.Get());
  }
}

bool ConfigurationManager::LoadSnapshot()
{
  const auto rows = this->table.Read({ std::string(kSnapshotKey) }, kReadTimeout);
  if (!rows || rows->empty()) {
    return false;
  }
  const std::optional<std::uint64_t> version = DecodeNumber(rows->front().value);
  if (!version || *version <= this->current.Version()) {
    return false;
  }
  const auto content = this->objects.Get(SnapshotName(*version), kReadTimeout);
  if (!content || !content->has_value()) {
    return false;
  }
  auto configuration = DecodeConfiguration(**content);
  // The object store may return an older copy under the same name, so the version inside the object
  // is checked.
  if (!configuration || configuration->version != *version) {
    kLog.Warning(
      "The configuration snapshot is malformed or outdated; reading the changes one by one.");
    return false;
  }
  return this->current.ApplySnapshot(std::move(*configuration)).has_value();
}

void ConfigurationManager::SaveSnapshot()
{
  const std::uint64_t version = this->current.Version();
  const auto saved = this->objects.Put(
    SnapshotName(version), EncodeConfiguration(*this->current.Get()), kCommitTimeout);
  if (!saved) {
    kLog.Warning("The configuration snapshot could not be saved; saving is retried at the next "
                 "snapshot version.");
    return;
  }
  const auto rows = this->table.Read({ std::string(kSnapshotKey) }, kReadTimeout);
  if (!rows) {
    return;
  }
  const std::uint64_t rowVersion = rows->empty() ? 0 : rows->front().version;
  const std::optional<std::uint64_t> present =
    rows->empty() ? std::optional<std::uint64_t>(0) : DecodeNumber(rows->front().value);
  if (present && *present >= version) {
    return;
  }
  static_cast<void>(this->table.Commit({ { std::string(kSnapshotKey), rowVersion } },
                                       { { std::string(kSnapshotKey), EncodeNumber(version) } },
                                       kCommitTimeout));
}

AcceptResult ConfigurationManager::Result(AcceptStatus aStatus, std::string aMessage) const
{
  return { aStatus, this->current.Version(), std::move(aMessage) };
}

std::optional<AcceptResult> ConfigurationManager::FindOperation(
  const std::string& aOperationId) const
{
  const auto found = this->operations.find(aOperationId);
  if (found == this->operations.end()) {
    return std::nullopt;
  }
  return AcceptResult{ AcceptStatus::Accepted, found->second, "accepted before" };
}

AcceptResult ConfigurationManager::SubmitChange(const ConfigurationAction& aAction,
                                                std::uint64_t aBaseVersion,
                                                const std::string& aOperationId)
{
  for (int attempt = 0; attempt < kConflictAttempts; ++attempt) {
    if (!this->Poll()) {
      return this->Result(AcceptStatus::Unavailable, "the platform is out of reach");
    }
    if (const auto earlier = this->FindOperation(aOperationId)) {
      return *earlier;
    }
    const std::uint64_t base = this->current.Version();
    if (aBaseVersion != 0 && aBaseVersion != base) {
      return this->Result(AcceptStatus::Conflict,
                          "the present version is " + std::to_string(base) + ", not " +
                            std::to_string(aBaseVersion));
    }
    const ConfigurationChange change{ base + 1, aOperationId, aAction };
    const auto applied = ApplyChange(*this->current.Get(), change);
    if (!applied) {
      return this->Result(AcceptStatus::Invalid, applied.error().message);
    }
    if (!this->hooks.mayAcceptChanges()) {
      return this->Result(AcceptStatus::Unavailable,
                          "this VM has registered only now, and not all VMs know of it yet");
    }
    const std::string encoded = EncodeChange(change);
    this->hooks.changeSent(base);
    switch (this->Commit(change, encoded)) {
      case CommitOutcome::Committed:
        this->hooks.changeResolved(base, true);
        this->CatchUp(base + 1);
        this->hooks.accepted(base + 1, encoded);
        if ((base + 1) % kSnapshotInterval == 0) {
          this->SaveSnapshot();
        }
        return { AcceptStatus::Accepted, base + 1, "accepted" };
      case CommitOutcome::LostToOtherChange:
        this->hooks.changeResolved(base, false);
        if (aBaseVersion != 0) {
          this->Poll();
          return this->Result(AcceptStatus::Conflict, "another change was accepted first");
        }
        break;
      case CommitOutcome::NotCommitted:
        this->hooks.changeResolved(base, false);
        return this->Result(AcceptStatus::Unavailable, "the platform is out of reach");
      case CommitOutcome::Unknown:
        return this->Result(AcceptStatus::Unknown,
                            "the platform's answer was lost; repeat the same operation id");
    }
  }
  return this->Result(AcceptStatus::Conflict, "other changes were accepted first");
}

ConfigurationManager::CommitOutcome ConfigurationManager::Commit(const ConfigurationChange& aChange,
                                                                 const std::string& aEncoded)
{
  const auto committed =
    this->table.Commit({ { std::string(kHeadKey), this->headRowVersion },
                         { this->registration.Key(), this->registration.RowVersion() } },
                       { { std::string(kHeadKey), EncodeNumber(aChange.version) },
                         { ChangeKey(aChange.version), aEncoded } },
                       kCommitTimeout);
  if (committed) {
    return CommitOutcome::Committed;
  }
  switch (committed.error().error) {
    case PlatformError::Conflict:
      return CommitOutcome::LostToOtherChange;
    case PlatformError::NotReached:
    case PlatformError::Rejected:
      return CommitOutcome::NotCommitted;
    case PlatformError::AnswerLost:
      break;
  }
  return this->ResolveUnknownCommit(aChange);
}

ConfigurationManager::CommitOutcome ConfigurationManager::ResolveUnknownCommit(
  const ConfigurationChange& aChange)
{
  for (int attempt = 0; attempt < kResolveAttempts; ++attempt) {
    const auto rows = this->table.Read({ ChangeKey(aChange.version) }, kReadTimeout);
    if (!rows || rows->empty()) {
      // The read failed or the row does not exist yet; the commit may still be in progress.
      continue;
    }
    const auto present = DecodeChange(rows->front().value);
    return present && present->operationId == aChange.operationId
             ? CommitOutcome::Committed
             : CommitOutcome::LostToOtherChange;
  }
  return CommitOutcome::Unknown;
}

} // namespace mustardshift
