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

/** Limits of ReadRouter. */
struct ReadRouterSettings
{
  /** Longest time that a replica is asked to wait for a position. Replicas with a larger estimated
      lag are not asked. */
  Duration replicaWaitBound{ 50'000 };
  /** Up to this expected wait, a replica is preferred to the primary. */
  Duration maximumPreferredWait{ 10'000 };
  /** Pause after the first failure of a replica; doubled with each further one. */
  Duration failureBackoff{ 100'000 };
  /** Longest such pause. */
  Duration maximumBackoff{ 5'000'000 };
};

/** Decides which server serves a read.

    In this order: a replica known to hold the floor; a replica that is expected to hold it shortly;
    the primary; without a primary, a replica that may hold it within replicaWaitBound; a refusal.
    The choice is made from views that may be out of date. Before the caller passes on a replica's
    answer, it checks the accepted term and the position that came with the answer in the same way:
    ReplicaView::IsReadableIn the term of the plan, and TermHistory::Holds the floor.

    Thread safety: Plan may be called concurrently with different generators. */
class ReadRouter
{
public:
  explicit ReadRouter(ReadRouterSettings aSettings = {});

  /** Plans one read.

      @param aViews  the database's servers without the primary of aRequirement.term, also when this
                     primary is out of service, and without replicas on which this
                     read has already failed.
      @param aGenerator  uniform random bit generator.
      @return  the plan; a refusal has one of the reasons DeadlineExceeded, NoPrimary. */
  template<class Generator>
  ReadPlan Plan(const ReadRequirement& aRequirement,
                std::span<const ReplicaView> aViews,
                Instant aNow,
                Generator& aGenerator) const
  {
    const Candidates candidates = this->FindCandidates(aRequirement, aViews, aNow);
    if (!candidates.ready.empty()) {
      return ReadAtReplica{ PickLessLoaded(candidates.ready, aGenerator).address };
    }
    if (!candidates.waiting.empty()) {
      return WaitAtReplica{ PickLessLoaded(candidates.waiting, aGenerator).address,
                            aRequirement.minimumPosition,
                            this->WaitBound(aRequirement, aNow) };
    }
    return PlanWithoutReplica(aRequirement, aNow);
  }

  /** Whether a replica rests after failures. */
  bool IsBackingOff(const ReplicaView& aView, Instant aNow) const;

private:
  using Views = std::vector<const ReplicaView*>;

  struct Candidates
  {
    /** Known to hold the floor. */
    Views ready;
    /** Worth waiting for; empty when `ready` isn't. */
    Views waiting;
  };

  /** Draws two candidates and returns the one with fewer outstanding requests. Choosing the least
      loaded of all would send all VMs to the same replica. */
  template<class Generator>
  static const ReplicaView& PickLessLoaded(const Views& aViews, Generator& aGenerator)
  {
    using Draw = std::uniform_int_distribution<std::size_t>;
    const std::size_t first = Draw(0, aViews.size() - 1)(aGenerator);
    if (aViews.size() == 1) {
      return *aViews[first];
    }
    std::size_t second = Draw(0, aViews.size() - 2)(aGenerator);
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
