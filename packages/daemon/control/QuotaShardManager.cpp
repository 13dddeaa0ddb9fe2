#include "daemon/control/QuotaShardManager.h"

#include "adapters/clock/SystemBootClock.h"
#include "adapters/log/Log.h"
#include "daemon/control/PlatformRows.h"

#include <map>
#include <utility>

namespace mustardshift {

namespace {

constexpr Duration kTableTimeout = std::chrono::milliseconds(800);

const Log kLog(Component::Quota);

} // namespace

QuotaShardManager::QuotaShardManager(TableClient& aTable,
                                     VmId aSelf,
                                     std::uint64_t aIncarnation,
                                     ChangeHook aChanged)
  : table(aTable)
  , holder(std::move(aSelf), aIncarnation, SystemBootClock{}.Now())
  , changed(std::move(aChanged))
{
}

bool QuotaShardManager::ReadRows()
{
  const auto rows = this->table.Scan(std::string(kShardPrefix), 0, kTableTimeout);
  if (!rows) {
    return false;
  }
  const Instant now = SystemBootClock{}.Now();
  std::map<QuotaShardId, QuotaShardRow> found;
  for (const TableRow& row : *rows) {
    if (const std::optional<QuotaShardRow> decoded = DecodeShardRow(row)) {
      found.emplace(decoded->shard, *decoded);
    } else {
      kLog.Error("The row " + row.key + " is malformed.");
    }
  }
  for (unsigned index = 0; index < kQuotaShardsPerCell; ++index) {
    const QuotaShardId shard{ static_cast<std::uint8_t>(index) };
    const auto row = found.find(shard);
    QuotaShardRow absent;
    absent.shard = shard;
    this->holder.Observe(now, row == found.end() ? absent : row->second);
  }
  return true;
}

bool QuotaShardManager::Poll(Instant aNow,
                             const std::set<VmId>& aLive,
                             bool aIsLeaving,
                             bool aConnectionsAreWithinAllowance)
{
  if (!this->ReadRows()) {
    return false;
  }
  const QuotaShardPlan plan =
    PlanQuotaShards(aNow, this->holder, aLive, aIsLeaving, aConnectionsAreWithinAllowance);
  for (const QuotaShardId shard : plan.withdraw) {
    this->holder.Withdraw(SystemBootClock{}.Now(), shard);
  }
  if (!plan.renew.empty()) {
    this->CommitWrite(this->holder.BeginWrite(SystemBootClock{}.Now(), plan.renew));
  }
  for (const QuotaShardId shard : plan.claim) {
    this->CommitWrite(this->holder.BeginWrite(SystemBootClock{}.Now(), { shard }));
  }
  this->changed(this->holder);
  if (!plan.release.empty()) {
    this->CommitWrite(this->holder.BeginRelease(SystemBootClock{}.Now(), plan.release));
  }
  return true;
}

void QuotaShardManager::CommitWrite(const QuotaShardWrite& aWrite)
{
  std::vector<RowPrecondition> preconditions;
  std::vector<RowWrite> writes;
  for (const QuotaShardWrite::Change& change : aWrite.changes) {
    preconditions.push_back({ ShardKey(change.shard), change.expectedVersion });
    writes.push_back({ ShardKey(change.shard), EncodeShardWrite(aWrite), false });
  }
  const auto committed = this->table.Commit(preconditions, writes, kTableTimeout);
  const Instant now = SystemBootClock{}.Now();
  if (committed) {
    this->holder.WriteCommitted(now, aWrite);
    return;
  }
  // If the response was lost, the next read of the rows shows the outcome.
  if (committed.error().error != PlatformError::AnswerLost) {
    this->holder.WriteRejected(aWrite);
  }
}

} // namespace mustardshift
