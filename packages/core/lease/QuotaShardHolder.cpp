#include "core/lease/QuotaShardHolder.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

QuotaShardHolder::QuotaShardHolder(VmId aSelf, std::uint64_t aIncarnation, Instant aStartedAt)
  : self(std::move(aSelf))
  , incarnation(aIncarnation)
  , startedAt(aStartedAt)
{
  for (unsigned index = 0; index < kQuotaShardsPerCell; ++index) {
    this->rows[index].shard = { static_cast<std::uint8_t>(index) };
    this->rows[index].firstObserved = aStartedAt;
  }
}

void QuotaShardHolder::Observe(Instant aNow, const QuotaShardRow& aRow)
{
  MUSTARDSHIFT_ASSERT(aRow.shard.index < kQuotaShardsPerCell);
  QuotaShardRow& row = this->rows[aRow.shard.index];
  const bool isFirst = !std::exchange(this->isObserved[aRow.shard.index], true);
  if (aRow.version < row.version || (aRow.version == row.version && !isFirst)) {
    return;
  }
  row = aRow;
  row.firstObserved = aNow;
  if (row.holder != this->self || row.incarnation != this->incarnation) {
    Lease& lease = this->leases[aRow.shard.index];
    lease.deadline.reset();
    lease.withdrawnSince.reset();
    return;
  }
  if (const auto sent = this->sentWrites.find(row.operation); sent != this->sentWrites.end()) {
    this->RecordLease(row.shard, row.operation, sent->second);
  }
}

QuotaShardWrite QuotaShardHolder::BeginWrite(Instant aNow, const std::vector<QuotaShardId>& aShards)
{
  return this->CreateWrite(aNow, aShards, this->self);
}

void QuotaShardHolder::Withdraw(Instant aNow, QuotaShardId aShard)
{
  Lease& lease = this->leases[aShard.index];
  lease.deadline.reset();
  if (!lease.withdrawnSince) {
    lease.withdrawnSince = aNow;
  }
  lease.firstUsableOperation = this->lastOperation + 1;
}

QuotaShardWrite QuotaShardHolder::BeginRelease(Instant aNow,
                                               const std::vector<QuotaShardId>& aShards)
{
  for (const QuotaShardId shard : aShards) {
    Lease& lease = this->leases[shard.index];
    MUSTARDSHIFT_ASSERT(lease.withdrawnSince.has_value());
    // A renewal that was already sent may still take effect before the release does. It must not
    // restore the lease.
    lease.firstUsableOperation = this->lastOperation + 2;
  }
  return this->CreateWrite(aNow, aShards, VmId());
}

void QuotaShardHolder::WriteCommitted(Instant aNow, const QuotaShardWrite& aWrite)
{
  const auto sent = this->sentWrites.find(aWrite.operation);
  if (sent == this->sentWrites.end()) {
    return;
  }
  const Instant sentAt = sent->second;
  for (const QuotaShardWrite::Change& change : aWrite.changes) {
    // The write incremented the row's version by one. Observe() also records the lease, unless this
    // VM has already observed a later version of the row, which then takes precedence.
    this->Observe(aNow,
                  { change.shard,
                    aWrite.holder,
                    aWrite.incarnation,
                    aWrite.operation,
                    change.expectedVersion + 1,
                    sentAt });
  }
  this->sentWrites.erase(aWrite.operation);
}

void QuotaShardHolder::WriteRejected(const QuotaShardWrite& aWrite)
{
  this->sentWrites.erase(aWrite.operation);
}

std::vector<HeldQuotaShard> QuotaShardHolder::HeldShards(Instant aNow) const
{
  std::vector<HeldQuotaShard> held;
  for (const QuotaShardRow& row : this->rows) {
    const std::optional<Instant>& deadline = this->leases[row.shard.index].deadline;
    if (deadline && aNow < *deadline) {
      held.push_back({ row.shard, *deadline });
    }
  }
  return held;
}

unsigned QuotaShardHolder::ConnectionAllowance(Instant aNow, unsigned aConnectionLimit) const
{
  unsigned connections = 0;
  for (const HeldQuotaShard& held : this->HeldShards(aNow)) {
    connections += ConnectionLimitOfShard(held.shard, aConnectionLimit);
  }
  return connections;
}

std::optional<Instant> QuotaShardHolder::WithdrawnSince(QuotaShardId aShard) const
{
  return this->leases[aShard.index].withdrawnSince;
}

bool QuotaShardHolder::HasObservedAll() const
{
  return std::all_of(
    this->isObserved.begin(), this->isObserved.end(), [](bool aIsObserved) { return aIsObserved; });
}

void QuotaShardHolder::RemoveExpiredWrites(Instant aNow)
{
  std::erase_if(this->sentWrites,
                [&](const auto& aSent) { return aNow - aSent.second >= kQuotaLeaseDuration; });
}

void QuotaShardHolder::RecordLease(QuotaShardId aShard, std::uint64_t aOperation, Instant aSent)
{
  Lease& lease = this->leases[aShard.index];
  if (aOperation < lease.firstUsableOperation) {
    return;
  }
  lease.withdrawnSince.reset();
  lease.deadline = std::max(lease.deadline.value_or(Instant::min()), aSent + kQuotaLeaseDuration);
}

QuotaShardWrite QuotaShardHolder::CreateWrite(Instant aNow,
                                              const std::vector<QuotaShardId>& aShards,
                                              VmId aHolder)
{
  MUSTARDSHIFT_ASSERT(!aShards.empty());
  this->RemoveExpiredWrites(aNow);
  QuotaShardWrite write;
  write.holder = std::move(aHolder);
  write.incarnation = this->incarnation;
  write.operation = ++this->lastOperation;
  for (const QuotaShardId shard : aShards) {
    write.changes.push_back({ shard, this->rows[shard.index].version });
  }
  this->sentWrites.emplace(write.operation, aNow);
  return write;
}

} // namespace mustardshift
