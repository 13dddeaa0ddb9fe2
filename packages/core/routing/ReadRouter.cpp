#include "core/routing/ReadRouter.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <cstdint>

namespace mustardshift {

ReadRouter::ReadRouter(ReadRouterSettings aSettings)
  : settings(aSettings)
{
  MUSTARDSHIFT_ASSERT(aSettings.replicaWaitBound >= Duration::zero());
  MUSTARDSHIFT_ASSERT(aSettings.failureBackoff >= Duration::zero());
}

bool ReadRouter::IsBackingOff(const ReplicaView& aView, Instant aNow) const
{
  if (aView.consecutiveFailures == 0) {
    return false;
  }
  Duration pause = this->settings.failureBackoff;
  for (std::uint32_t i = 1; i < aView.consecutiveFailures && pause < this->settings.maxBackoff;
       ++i) {
    pause *= 2;
  }
  return aNow - aView.lastFailure < std::min(pause, this->settings.maxBackoff);
}

ReadRouter::Candidates ReadRouter::FindCandidates(const ReadRequirement& aRequirement,
                                                  std::span<const ReplicaView> aViews,
                                                  Instant aNow) const
{
  Candidates candidates;
  if (aRequirement.mustReadAtPrimary || aNow >= aRequirement.deadline) {
    return candidates;
  }
  const Duration bound = this->WaitBound(aRequirement, aNow);
  const Duration maxWait =
    aRequirement.primary ? std::min(bound, this->settings.maxPreferredWait) : bound;
  for (const ReplicaView& view : aViews) {
    if (!view.inService || this->IsBackingOff(view, aNow)) {
      continue;
    }
    if (view.IsReadableIn(aRequirement.term) &&
        view.history.Holds(view.position, aRequirement.minimumPosition)) {
      candidates.readyReplicas.push_back(&view);
      continue;
    }
    // A replica in another term doesn't replicate from the current primary, so it is not expected
    // to reach the minimum position in time.
    if (aRequirement.term > 0 && view.acceptedTerm == aRequirement.term &&
        view.estimatedLag <= maxWait) {
      candidates.laggingReplicas.push_back(&view);
    }
  }
  if (!candidates.readyReplicas.empty()) {
    candidates.laggingReplicas.clear();
  }
  return candidates;
}

Duration ReadRouter::WaitBound(const ReadRequirement& aRequirement, Instant aNow) const
{
  return std::min(this->settings.replicaWaitBound, aRequirement.deadline - aNow);
}

const ReplicaView& ReadRouter::LessLoaded(const ReplicaView& aFirst, const ReplicaView& aSecond)
{
  // A replica in another failure domain counts as if it had one more outstanding request, because
  // of its higher network latency.
  const auto load = [](const ReplicaView& aView) {
    return std::uint64_t{ aView.outstanding } + (aView.isLocal ? 0 : 1);
  };
  return load(aSecond) < load(aFirst) ? aSecond : aFirst;
}

ReadPlan ReadRouter::PlanWithoutReplica(const ReadRequirement& aRequirement, Instant aNow)
{
  if (aNow >= aRequirement.deadline) {
    return Refusal{ Verdict::NotRun, Reason::DeadlineExceeded, "the read's deadline has passed" };
  }
  if (aRequirement.primary) {
    return ReadAtPrimary{ *aRequirement.primary };
  }
  return Refusal{ Verdict::NotRun,
                  Reason::NoPrimary,
                  "no replica is far enough, and the primary is unknown or drained" };
}

} // namespace mustardshift
