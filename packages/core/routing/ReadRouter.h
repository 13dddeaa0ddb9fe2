#pragma once

#include "core/base/Instant.h"
#include "core/routing/ReadPlan.h"
#include "core/routing/ReadRequirement.h"
#include "core/routing/ReplicaView.h"

#include <cstddef>
#include <random>
#include <span>
#include <vector>

namespace mustardshift {

/** Limits on waiting for replicas, and pauses after their failures. */
struct ReadRouterSettings
{
  /** Maximum time that a replica is asked to wait for a position. Replicas with a larger estimated
      lag are not asked. */
  Duration replicaWaitBound{ 50'000 };
  /** Maximum estimated lag up to which waiting for a replica is preferred to reading from the
      primary. */
  Duration maxPreferredWait{ 10'000 };
  /** Time for which a replica is not used after its first failure; doubled with each further
      consecutive failure. */
  Duration failureBackoff{ 100'000 };
  /** Maximum time for which a replica is not used after consecutive failures. */
  Duration maxBackoff{ 5'000'000 };
};

/** Decides which server serves a read.

    Takes the first of these that is available:
    1. a replica that is known to have reached the minimum position,
    2. a replica that is expected to reach it within maxPreferredWait,
    3. the primary,
    4. if the primary is unknown or out of service, a replica that is expected to reach the minimum
       position within replicaWaitBound.
    Otherwise the read is refused.

    The choice is based on views that may be outdated. Before the caller passes on a replica's
    answer, it therefore has to check the accepted term and the position in the answer in the same
    way: with ReplicaView::IsReadableIn for the term of the plan, and with TermHistory::Holds for
    the minimum position.

    Thread safety: Plan may be called concurrently with different generators. */
class ReadRouter
{
public:
  explicit ReadRouter(ReadRouterSettings aSettings = {});

  /** Plans one read.

      @param aViews  the database's servers, except for the primary of aRequirement.term (even if
                     it is out of service) and for replicas on which this read has already failed.
      @param aGenerator  uniform random bit generator.
      @return  the plan; a refusal has the reason DeadlineExceeded or NoPrimary. */
  template<class Generator>
  ReadPlan Plan(const ReadRequirement& aRequirement,
                std::span<const ReplicaView> aViews,
                Instant aNow,
                Generator& aGenerator) const
  {
    const Candidates candidates = this->FindCandidates(aRequirement, aViews, aNow);
    if (!candidates.readyReplicas.empty()) {
      return ReadAtReplica{ PickLessLoaded(candidates.readyReplicas, aGenerator).address };
    }
    if (!candidates.laggingReplicas.empty()) {
      return WaitAtReplica{ PickLessLoaded(candidates.laggingReplicas, aGenerator).address,
                            aRequirement.minimumPosition,
                            this->WaitBound(aRequirement, aNow) };
    }
    return PlanWithoutReplica(aRequirement, aNow);
  }

  /** Whether a replica is temporarily not used because of failures. */
  bool IsBackingOff(const ReplicaView& aView, Instant aNow) const;

private:
  using Views = std::vector<const ReplicaView*>;

  struct Candidates
  {
    /** Replicas that are known to have reached the minimum position. */
    Views readyReplicas;
    /** Replicas that are expected to reach the minimum position soon enough to wait for them; empty
        unless `readyReplicas` is empty. */
    Views laggingReplicas;
  };

  /** Picks two random candidates and returns the one with the lower load. Choosing the least loaded
      of all candidates would make all VMs choose the same replica. */
  template<class Generator>
  static const ReplicaView& PickLessLoaded(const Views& aViews, Generator& aGenerator)
  {
    using IndexDistribution = std::uniform_int_distribution<std::size_t>;
    const std::size_t first = IndexDistribution(0, aViews.size() - 1)(aGenerator);
    if (aViews.size() == 1) {
      return *aViews[first];
    }
    std::size_t second = IndexDistribution(0, aViews.size() - 2)(aGenerator);
    second += second >= first ? 1 : 0;
    return LessLoaded(*aViews[first], *aViews[second]);
  }

  static const ReplicaView& LessLoaded(const ReplicaView& aFirst, const ReplicaView& aSecond);
  static ReadPlan PlanWithoutReplica(const ReadRequirement& aRequirement, Instant aNow);
  Candidates FindCandidates(const ReadRequirement& aRequirement,
                            std::span<const ReplicaView> aViews,
                            Instant aNow) const;
  Duration WaitBound(const ReadRequirement& aRequirement, Instant aNow) const;

  ReadRouterSettings settings;
};

} // namespace mustardshift
