#pragma once

#include "core/base/NameTable.h"
#include "core/session/LogPosition.h"
#include "proxy/cluster/ServerRecord.h"

#include <array>
#include <cstddef>
#include <map>
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
};

inline constexpr std::array<std::pair<NoCandidateReason, std::string_view>, 3>
  kNoCandidateReasonNames{ {
    { NoCandidateReason::NoAnswer, "no replica answered" },
    { NoCandidateReason::TooFewAnswers,
      "a replica without an answer may hold acknowledged commits" },
    { NoCandidateReason::ReadyReplicasBehind, "the ready replicas are behind a leaving one" },
  } };

/** Returns the replica to promote: the one that has received most, since a promoted server keeps
   all that it has received and nothing more. Of equal ones, a ready one, then the one with the
   smallest id.

    Without syncReplicas, only ready replicas are promoted, and those that have answered decide.
   With syncReplicas, the promoted replica has received each acknowledged commit: such a commit is
   on at least syncReplicas replicas, so all but syncReplicas - 1 of them have to answer, and a
   replica that is leaving is promoted if it alone has everything and the old primary is gone.

    Thread safety: pure. */
tl::expected<ServerId, NoCandidateReason> ChooseCandidate(const PromotionCandidates& aCandidates);

} // namespace mustardshift::proxy
