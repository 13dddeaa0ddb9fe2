#pragma once

#include "core/base/NameTable.h"
#include "proxy/cluster/ServerRecord.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** Whether a replica that may hold acknowledged commits is listed. */
enum class ReplicaPresence
{
  Listed,
  /** Listed, and it has announced that it is about to leave. */
  Leaving,
  /** Its entry is gone without such an announcement: it is silent, and may come back with all that
      it has received. */
  Absent,
  /** Its entry is gone after the announcement. Its log goes to a new server at its address; until
      that one is listed, or if it was only silent, what it alone had received may come back. */
  Left,
  /** Another process has its id: what it alone had received is on the primary only. */
  Replaced,
};

inline constexpr std::array<std::pair<ReplicaPresence, std::string_view>, 5> kReplicaPresenceNames{
  {
    { ReplicaPresence::Listed, "listed" },
    { ReplicaPresence::Leaving, "leaving" },
    { ReplicaPresence::Absent, "absent" },
    { ReplicaPresence::Left, "left" },
    { ReplicaPresence::Replaced, "replaced" },
  }
};

/** One process of a database server. A later one with the same id holds nothing of it. */
struct ServerProcess
{
  ServerId id;
  /** See ServerRecord. */
  std::int64_t startedAtMs = 0;

  friend auto operator<=>(const ServerProcess&, const ServerProcess&) = default;
};

struct RecordedReplica
{
  ReplicaPresence presence = ReplicaPresence::Listed;
  /** See ServerRecord; empty if it is not known. */
  ServerAddress address;

  /** Whether its answer can't be expected at present. */
  bool IsGone() const
  {
    return this->presence != ReplicaPresence::Listed && this->presence != ReplicaPresence::Leaving;
  }

  friend bool operator==(const RecordedReplica&, const RecordedReplica&) = default;
};

using RecordedReplicas = std::map<ServerProcess, RecordedReplica>;

/** What is stored of one group whose commits are acknowledged by replicas, so that the next holder
    of the promotion lease continues where the previous one stopped. */
struct PromotionRecord
{
  /** The primary that is being replaced, or else the present one; empty if none was listed. */
  ServerId primary;
  /** Term of that primary, as far as the replicas know it. */
  std::uint64_t term = 0;
  /** Whether an order to promote a replica may still be carried out. Set before the first order is
      sent, and reset once the server that the latest order names leads the group: earlier orders
      have lower fencing tokens. Until then no replica may receive commits, since the promoted one
      would lack them. */
  bool isOrderOpen = false;
  /** Server that the latest order names; empty before the first one. */
  ServerId candidate;
  /** Replicas that count for a promotion. */
  RecordedReplicas replicas;
  /** Offset at which the primary took the lead, until so many replicas were seen to have received
     it as acknowledge a commit; 0 then. Before that, what was acknowledged up to it may be on the
      primary alone. */
  std::uint64_t requiredOffset = 0;
  /** Era of the store in which the record was written. */
  std::uint64_t era = 0;
  /** The process that led last; its log holds all that was acknowledged in its term. Without an id
      if it is not known. */
  ServerProcess formerPrimary;

  friend bool operator==(const PromotionRecord&, const PromotionRecord&) = default;
};

/** Returns the replicas that count, given those that counted before and the servers that are listed
    now. One that is gone goes on counting, whether it is silent, has left or has started again as
    another process: it may have been the only one to receive some commits. The place of one that
    has left is taken by a new server that is listed at its address, which has its log.
    @param aListed  the listed servers of the group.
    @param aPrimary  server that is no replica; nothing if there is none.

    Thread safety: pure. */
RecordedReplicas UpdateReplicas(const RecordedReplicas& aRecorded,
                                const std::vector<ServerRecord>& aListed,
                                const std::optional<ServerId>& aPrimary);

/** Encodes a record as CBOR. Thread safety: pure. */
std::string EncodePromotionRecord(const PromotionRecord& aRecord);

/** Decodes what EncodePromotionRecord() produced. Returns nothing if the bytes are malformed.
    Thread safety: pure. */
std::optional<PromotionRecord> DecodePromotionRecord(std::string_view aBytes);

} // namespace mustardshift::proxy
