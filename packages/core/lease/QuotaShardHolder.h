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

/** State of one VM for the shards of its cell: the rows as last observed, the writes whose outcome
    is unknown, and the leases that the VM may use. A lease becomes usable only when a reply, or a
    row that is read back, shows that a write of this process took effect. It is counted from an
    instant before that write was sent.

    Order of calls for a write: BeginWrite() or BeginRelease(), send the write, then
    WriteCommitted() or WriteRejected(). If the reply is lost, call neither of the two; Observe()
    with the row read back determines the outcome.

    Thread safety: none; one thread owns the object. */
class QuotaShardHolder
{
public:
  /** @param aSelf         id of this VM.
      @param aIncarnation  number of this process; larger than that of every earlier process of this
                           VM.
      @param aStartedAt    when this process started. */
  QuotaShardHolder(VmId aSelf, std::uint64_t aIncarnation, Instant aStartedAt);

  /** Records a row that was read from the table at aNow or earlier. A row with an older version
      than the one already observed is ignored, so replies may arrive late or more than once. */
  void Observe(Instant aNow, const QuotaShardRow& aRow);

  /** Creates the write that claims or renews shards. The write applies only if the rows still have
      the versions observed. Precondition: aShards is not empty. Call it before the request is sent,
      because the leases are counted from aNow. */
  QuotaShardWrite BeginWrite(Instant aNow, const std::vector<QuotaShardId>& aShards);

  /** Stops the use of a shard immediately. Required before BeginRelease(). */
  void Withdraw(Instant aNow, QuotaShardId aShard);

  /** Creates the write that releases shards. Preconditions: aShards is not empty, and Withdraw()
      was called for each shard. */
  QuotaShardWrite BeginRelease(Instant aNow, const std::vector<QuotaShardId>& aShards);

  /** Call when the platform replied that a write took effect. */
  void WriteCommitted(Instant aNow, const QuotaShardWrite& aWrite);

  /** Call when the platform replied that a write has not taken effect and never will. */
  void WriteRejected(const QuotaShardWrite& aWrite);

  /** Returns the shards that this VM may use at aNow. Call it at each use. Pass a later time to
      learn which shards remain usable at that time if no renewal succeeds: a connection that may
      stay in use for some time should still be within the VM's allowance at the end of that
      time. */
  std::vector<HeldQuotaShard> HeldShards(Instant aNow) const;

  /** Returns how many connections to one server this VM may have open at aNow, when all VMs
      together may have aConnectionLimit. */
  unsigned ConnectionAllowance(Instant aNow, unsigned aConnectionLimit) const;

  /** Returns when the shard was withdrawn, or nothing if it is not withdrawn. */
  std::optional<Instant> WithdrawnSince(QuotaShardId aShard) const;

  /** Returns the rows as last observed. A row that was never observed has version zero and no
      holder. */
  const std::array<QuotaShardRow, kQuotaShardsPerCell>& Rows() const { return this->rows; }
  /** Returns true once every row was observed. Until then, a row that does not exist cannot be
      distinguished from one that was not read yet. */
  bool HasObservedAll() const;

  const VmId& Self() const { return this->self; }
  std::uint64_t Incarnation() const { return this->incarnation; }
  Instant StartedAt() const { return this->startedAt; }

private:
  struct Lease
  {
    /** Not set when the shard is not held. */
    std::optional<Instant> deadline;
    std::optional<Instant> withdrawnSince;
    /** Writes with smaller operation numbers were sent before the shard was last withdrawn. They
        grant no lease, because a release that was sent after them may have taken effect. */
    std::uint64_t firstUsableOperation = 1;
  };

  void RemoveExpiredWrites(Instant aNow);
  void RecordLease(QuotaShardId aShard, std::uint64_t aOperation, Instant aSent);
  QuotaShardWrite CreateWrite(Instant aNow, const std::vector<QuotaShardId>& aShards, VmId aHolder);

  VmId self;
  std::uint64_t incarnation;
  Instant startedAt;
  std::uint64_t lastOperation = 0;
  std::array<QuotaShardRow, kQuotaShardsPerCell> rows;
  std::array<bool, kQuotaShardsPerCell> isObserved{};
  std::array<Lease, kQuotaShardsPerCell> leases;
  /** For each write that may have taken effect or may still do so, by operation number: when it was
      sent. */
  std::map<std::uint64_t, Instant> sentWrites;
};

} // namespace mustardshift
