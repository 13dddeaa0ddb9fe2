#include "proxy/promotion/ChooseCandidate.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace mustardshift::proxy {

namespace {

/** Returns the replica that has received most, among all or among the ready ones only. */
std::optional<ServerId> MostAdvanced(const PromotionCandidates& aCandidates, bool aOnlyReady)
{
  std::optional<ServerId> best;
  std::tuple<LogPosition, bool, bool> bestRank;
  for (const auto& [id, position] : aCandidates.receivedPositions) {
    const bool isReady = aCandidates.readyReplicas.contains(id);
    const std::tuple<LogPosition, bool, bool> rank(
      position, id == aCandidates.orderedReplica, isReady);
    if ((isReady || !aOnlyReady) && (!best || rank > bestRank)) {
      best = id;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace

namespace {

tl::expected<ServerId, NoCandidateReason> ChooseSynchronous(const PromotionCandidates& aCandidates)
{
  const std::optional<ServerId> best = MostAdvanced(aCandidates, false);
  if (!best) {
    return tl::unexpected(NoCandidateReason::NoAnswer);
  }
  if (aCandidates.receivedPositions.size() + aCandidates.syncReplicas <= aCandidates.replicaCount) {
    return tl::unexpected(NoCandidateReason::TooFewAnswers);
  }
  if (aCandidates.receivedPositions.at(*best).offset < aCandidates.requiredOffset) {
    return tl::unexpected(NoCandidateReason::RequiredPositionMissing);
  }
  if (aCandidates.isPrimaryServing && !aCandidates.readyReplicas.contains(*best)) {
    return tl::unexpected(NoCandidateReason::ReadyReplicasBehind);
  }
  return *best;
}

} // namespace

tl::expected<ServerId, NoCandidateReason> ChooseCandidate(const PromotionCandidates& aCandidates)
{
  if (aCandidates.syncReplicas == 0) {
    const std::optional<ServerId> best = MostAdvanced(aCandidates, true);
    return best ? tl::expected<ServerId, NoCandidateReason>(*best)
                : tl::unexpected(NoCandidateReason::NoAnswer);
  }
  auto chosen = ChooseSynchronous(aCandidates);
  if (chosen || chosen.error() == NoCandidateReason::ReadyReplicasBehind) {
    return chosen;
  }
  if (aCandidates.formerPrimary) {
    return *aCandidates.formerPrimary;
  }
  const std::optional<ServerId> best = MostAdvanced(aCandidates, false);
  const bool isComplete = best && aCandidates.completePosition &&
                          aCandidates.receivedPositions.at(*best) >= *aCandidates.completePosition;
  return isComplete ? tl::expected<ServerId, NoCandidateReason>(*best) : chosen;
}

} // namespace mustardshift::proxy
