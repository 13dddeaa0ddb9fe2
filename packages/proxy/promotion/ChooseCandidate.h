#pragma once

#include "core/base/NameTable.h"
#include "core/session/LogPosition.h"
#include "proxy/cluster/ServerRecord.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace mustardshift::proxy {

/** What is known of the replicas of a group that needs a new primary. */
struct PromotionCandidates
{
  /** End of what each replica that has answered has received. */
  std::map<ServerId, LogPosition> receivedPositions;
  /** Replicas that may be given new work. */
  std::set<ServerId> readyReplicas;
  /** Number of replicas that may hold acknowledged commits, whether or not they have answered. */
  std::size_t replicaCount = 0;
  /** Number of replicas that have received a commit before it is acknowledged. */
  std::size_t syncReplicas = 0;
  /** Replica that an order names which may still be carried out; empty if there is none. */
  ServerId orderedReplica;
  /** Offset that the promoted replica has to have received. */
  std::uint64_t requiredOffset = 0;
  /** What the group had acknowledged when nobody could acknowledge more, while an order is open; a
      replica that has it lacks nothing, whoever has not answered. */
  std::optional<LogPosition> completePosition;
  /** The server that led last, if it has answered as a replica: its log holds all that was
      acknowledged in its term, whoever has not answered. */
  std::optional<ServerId> formerPrimary;
  /** The old primary still sends its log to the replicas, so that a replica that is behind catches
      up. */
  bool isPrimaryServing = false;
};

/** Reason why no replica is promoted for now. */
enum class NoCandidateReason
{
  NoAnswer,
  /** A replica without an answer may hold acknowledged commits that the others lack. */
  TooFewAnswers,
  /** The replicas that may be given new work lack commits that another one has. */
  ReadyReplicasBehind,
  /** The replicas lack commits that were acknowledged before the old primary took the lead. */
  RequiredPositionMissing,
};

inline constexpr std::array<std::pair<NoCandidateReason, std::string_view>, 4>
  kNoCandidateReasonNames{ {
    { NoCandidateReason::NoAnswer, "no replica answered" },
    { NoCandidateReason::TooFewAnswers,
      "a replica without an answer may hold acknowledged commits" },
    { NoCandidateReason::ReadyReplicasBehind, "the ready replicas are behind a leaving one" },
    { NoCandidateReason::RequiredPositionMissing,
      "the replicas lack commits that the old primary took over" },
  } };

/** Returns the replica to promote: the one that has received most, since a promoted server keeps
   all that it has received and nothing more. Of equal ones, the one that was ordered before,
   since two servers would lead in turn if both orders are carried out; then a ready one, then the
   one with the smallest id.

    Without syncReplicas, only ready replicas are promoted, and those that have answered decide.
   With syncReplicas, the promoted replica has received each acknowledged commit: such a commit is
   on at least syncReplicas replicas, so all but syncReplicas - 1 of them have to answer, and a
   replica that is leaving is promoted if it alone has everything and the old primary is gone. What
   was acknowledged before the old primary took the lead may be on that server alone; the promoted
    replica has to have received it too. If no replica can be promoted for these reasons, the former
    primary is or, if that has not answered, one that has the completePosition.

    Thread safety: pure. */
tl::expected<ServerId, NoCandidateReason> ChooseCandidate(const PromotionCandidates& aCandidates);

} // namespace mustardshift::proxy
