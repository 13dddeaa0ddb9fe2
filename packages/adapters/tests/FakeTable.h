#pragma once

#include "adapters/platform/PlatformFailure.h"
#include "adapters/platform/RowPrecondition.h"
#include "adapters/platform/RowWrite.h"
#include "adapters/platform/TableRow.h"
#include "core/base/Instant.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mustardshift::test {

/** In-memory table with the methods of TableClient, for unit tests of code that takes its table as
    a template parameter. It passes the same contract tests. Timeouts are ignored.

    Thread safety: all methods may be called from any thread. */
class FakeTable
{
public:
  PlatformResult<void> Commit(const std::vector<RowPrecondition>& aPreconditions,
                              const std::vector<RowWrite>& aWrites,
                              Duration /*aTimeout*/)
  {
    const std::lock_guard lock(this->mutex);
    ++this->commits;
    if (this->outage) {
      return this->Unreachable();
    }
    std::vector<TableRow> conflicts;
    for (const RowPrecondition& precondition : aPreconditions) {
      TableRow present = this->RowOf(precondition.key);
      if (present.version != precondition.version) {
        conflicts.push_back(std::move(present));
      }
    }
    if (!conflicts.empty()) {
      return tl::unexpected<PlatformFailure>(PlatformFailure{
        PlatformError::Conflict, std::move(conflicts), "a precondition did not hold" });
    }
    for (const RowWrite& write : aWrites) {
      this->Apply(write);
    }
    if (this->answersToDrop > 0) {
      --this->answersToDrop;
      return tl::unexpected<PlatformFailure>(
        PlatformFailure{ PlatformError::AnswerLost, {}, "no answer" });
    }
    return {};
  }

  PlatformResult<std::vector<TableRow>> Read(const std::vector<std::string>& aKeys,
                                             Duration /*aTimeout*/)
  {
    const std::lock_guard lock(this->mutex);
    if (this->outage) {
      return this->Unreachable();
    }
    std::vector<TableRow> found;
    for (const std::string& key : aKeys) {
      TableRow row = this->RowOf(key);
      if (row.version != 0) {
        found.push_back(std::move(row));
      }
    }
    return found;
  }

  PlatformResult<std::vector<TableRow>> Scan(const std::string& aPrefix,
                                             std::uint32_t aLimit,
                                             Duration /*aTimeout*/)
  {
    const std::lock_guard lock(this->mutex);
    if (this->outage) {
      return this->Unreachable();
    }
    std::vector<TableRow> found;
    for (const auto& [key, row] : this->rows) {
      if (key.starts_with(aPrefix) && (aLimit == 0 || found.size() < aLimit)) {
        found.push_back(row);
      }
    }
    return found;
  }

  /** While set, every call returns NotReached. */
  void SetOutage(bool aOutage)
  {
    const std::lock_guard lock(this->mutex);
    this->outage = aOutage;
  }

  /** The next commits take effect and return AnswerLost. */
  void DropCommitAnswers(std::uint32_t aCount)
  {
    const std::lock_guard lock(this->mutex);
    this->answersToDrop = aCount;
  }

  /** Commits that were asked for so far. */
  std::uint64_t Commits() const
  {
    const std::lock_guard lock(this->mutex);
    return this->commits;
  }

private:
  static tl::unexpected<PlatformFailure> Unreachable()
  {
    return tl::unexpected<PlatformFailure>(
      PlatformFailure{ PlatformError::NotReached, {}, "no connection to the platform" });
  }

  TableRow RowOf(const std::string& aKey) const
  {
    const auto found = this->rows.find(aKey);
    return found == this->rows.end() ? TableRow{ aKey, {}, 0 } : found->second;
  }

  void Apply(const RowWrite& aWrite)
  {
    if (aWrite.remove && !this->rows.contains(aWrite.key)) {
      return;
    }
    const std::uint64_t version = ++this->lastVersions[aWrite.key];
    if (aWrite.remove) {
      this->rows.erase(aWrite.key);
    } else {
      this->rows[aWrite.key] = TableRow{ aWrite.key, aWrite.value, version };
    }
  }

  mutable std::mutex mutex;
  std::map<std::string, TableRow> rows;
  /** Versions of removed rows go on, so that a row created anew never repeats one. */
  std::map<std::string, std::uint64_t> lastVersions;
  bool outage = false;
  std::uint32_t answersToDrop = 0;
  std::uint64_t commits = 0;
};

} // namespace mustardshift::test
