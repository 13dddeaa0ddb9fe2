#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/lease/HeldQuotaShard.h"
#include "core/lease/QuotaShard.h"
#include "core/lease/QuotaShardRow.h"
#include "core/lease/QuotaShardWrite.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mustardshift {

/** What one VM knows of its cell's shards: the rows as observed, its writes under way, and the
    leases that it may use. A lease counts only once an answer or a row read back shows that a write
    of this process took effect, and then from before that write was sent.

    Order of calls for a write: BeginWrite() or BeginRelease(), send it, then WriteCommitted() or
    WriteRejected(). When the answer is lost, call neither; Observe() of the row read back decides.

    Thread safety: none; one thread owns the holder. */
class QuotaShardHolder
{
public:
  /** @param aSelf         id of this VM.
      @param aIncarnation  of this process; larger than that of every earlier process of this VM.
      @param aStarted      when this process started. */
  QuotaShardHolder(VmId aSelf, std::uint64_t aIncarnation, Instant aStarted);

  /** Takes over a row as read from the table at aNow or earlier. A version older than one that is
      already known is ignored, so answers may arrive late or twice. */
  void Observe(Instant aNow, const QuotaShardRow& aRow);

  /** Makes the write that claims or renews shards, as of the versions observed. Precondition:
      aShards is not empty. Call it before the request is sent: the leases count from aNow. */
  QuotaShardWrite BeginWrite(Instant aNow, const std::vector<QuotaShardId>& aShards);

  /** Ends the use of a shard at once, ahead of its release. */
  void Withdraw(Instant aNow, QuotaShardId aShard);

  /** Makes the write that releases shards. Precondition: each was withdrawn. */
  QuotaShardWrite BeginRelease(Instant aNow, const std::vector<QuotaShardId>& aShards);

  /** The platform answered that a write took effect. */
  void WriteCommitted(Instant aNow, const QuotaShardWrite& aWrite);

  /** The platform answered that a write has not taken effect and never will. */
  void WriteRejected(const QuotaShardWrite& aWrite);

  /** Returns the shards that this VM may use at aNow. Ask at each use, and ask for a later time to
      learn what remains if no renewal succeeds until then: a connection that may be in use for a
      while should be covered by the entitlement at its end. */
  std::vector<HeldQuotaShard> HeldShards(Instant aNow) const;

  /** Returns how many connections to one server this VM may have open at aNow, when all VMs
      together may have aConnectionLimit. */
  unsigned ConnectionsEntitled(Instant aNow, unsigned aConnectionLimit) const;

  /** Returns since when a shard is withdrawn, or nothing. */
  std::optional<Instant> WithdrawnSince(QuotaShardId aShard) const;

  /** The rows as observed; a row that was never observed has version zero and no holder. */
  const std::array<QuotaShardRow, kQuotaShardsPerCell>& Rows() const { return this->rows; }
  /** True once each row was observed; before that, absent and unread rows look alike. */
  bool HasObservedAll() const;

  const VmId& Self() const { return this->self; }
  std::uint64_t Incarnation() const { return this->incarnation; }
  Instant Started() const { return this->started; }

private:
  struct Lease
  {
    /** Nothing when the shard is not held. */
    std::optional<Instant> deadline;
    std::optional<Instant> withdrawnSince;
    /** Writes with smaller numbers were sent before the shard was last withdrawn and give no
        lease: a release that was sent after them may have taken effect. */
    std::uint64_t firstUsableOperation = 1;
  };

  void RemoveExpiredWrites(Instant aNow);
  void RecordLease(QuotaShardId aShard, std::uint64_t aOperation, Instant aSent);
  QuotaShardWrite CreateWrite(Instant aNow, const std::vector<QuotaShardId>& aShards, VmId aHolder);

  VmId self;
  std::uint64_t incarnation;
  Instant started;
  std::uint64_t lastOperation = 0;
  std::array<QuotaShardRow, kQuotaShardsPerCell> rows;
  std::array<bool, kQuotaShardsPerCell> isObserved{};
  std::array<Lease, kQuotaShardsPerCell> leases;
  /** When each write that may yet turn out to have taken effect was sent. */
  std::map<std::uint64_t, Instant> sentWrites;
};

} // namespace mustardshift
