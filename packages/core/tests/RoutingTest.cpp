#include "core/routing/FreshnessTracker.h"
#include "core/routing/ReadRouter.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

Instant At(std::int64_t aMicroseconds)
{
  return Instant(Duration(aMicroseconds));
}

ReplicaView ViewOf(const std::string& aAddress, std::uint64_t aOffset)
{
  ReplicaView view;
  view.address = ServerAddress(aAddress);
  view.acceptedTerm = 3;
  view.position = { 3, aOffset };
  view.history = TermHistory({ { 1, 1 }, { 3, 50 } });
  return view;
}

ReadRequirement Requirement(LogPosition aMinimumPosition)
{
  return { aMinimumPosition, false, 3, ServerAddress("primary"), At(1'000'000) };
}

/** Returns the plan's kind and server as text. */
std::string Describe(const ReadPlan& aPlan)
{
  if (const auto* ready = std::get_if<ReadAtReplica>(&aPlan)) {
    return "read " + ready->replica.Text();
  }
  if (const auto* wait = std::get_if<WaitAtReplica>(&aPlan)) {
    return "wait " + wait->replica.Text() + " " + std::to_string(wait->bound.count());
  }
  if (const auto* primary = std::get_if<ReadAtPrimary>(&aPlan)) {
    return "primary " + primary->primary.Text();
  }
  const auto& refusal = std::get<Refusal>(aPlan);
  CPPUNIT_ASSERT(refusal.verdict == Verdict::NotRun);
  return "refuse " + std::string(ToString(refusal.reason));
}

/** Simulates a primary that writes at random times, and counts minimum positions that do not
    include a write that is older than the requested age.

    @param aUseArrival  if true, simulates a defect: observations get the time at which the answer
                        arrived instead of the time at which the request was sent. */
int CountStaleMinimumPositions(std::uint64_t aSeed, bool aUseArrivalTime)
{
  std::mt19937_64 random(aSeed);
  FreshnessTracker tracker(Duration(500), 8);
  std::vector<std::uint64_t> offsetAtTime;
  std::uint64_t offset = 0;
  int staleCount = 0;
  for (std::int64_t now = 0; now < 1000; ++now) {
    offset += random() % 8 == 0 ? 1 : 0;
    offsetAtTime.push_back(offset);
    if (random() % 4 == 0) {
      const auto sentAt = now - static_cast<std::int64_t>(random() % 20);
      const auto answeredAt = sentAt + static_cast<std::int64_t>(random() % 20);
      if (sentAt >= 0 && answeredAt <= now) {
        tracker.Observe(At(aUseArrivalTime ? now : sentAt),
                        { 1, offsetAtTime[static_cast<std::size_t>(answeredAt)] });
      }
    }
    const auto age = static_cast<std::int64_t>(random() % 500);
    const std::optional<LogPosition> minimumPosition =
      tracker.MinimumPositionFor(Duration(age), At(now));
    CPPUNIT_ASSERT(tracker.Size() <= 8U);
    if (minimumPosition && age <= now &&
        minimumPosition->offset < offsetAtTime[static_cast<std::size_t>(now - age)]) {
      ++staleCount;
    }
  }
  return staleCount;
}

} // namespace

/** Guards against reads from a server that lags too far behind, fails or is drained, and against
    minimum positions that admit data older than the route's freshness bound. */
class RoutingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(PrefersReplicas);
  CPPUNIT_TEST(AvoidsUnsuitableReplicas);
  CPPUNIT_TEST(SpreadsLoad);
  CPPUNIT_TEST(BacksOffAfterFailures);
  CPPUNIT_TEST(MinimumPositionIsNeverTooLow);
  CPPUNIT_TEST(RemovesDiscardedPositions);
  CPPUNIT_TEST_SUITE_END();

public:
  void PrefersReplicas()
  {
    ReplicaView ahead = ViewOf("ahead", 100);
    ReplicaView behind = ViewOf("behind", 60);
    behind.estimatedLag = Duration(8'000);
    ReadRequirement requirement = Requirement({ 3, 80 });
    Section("a replica that has reached the minimum position serves the read", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("read ahead"), this->Plan(requirement, { behind, ahead }));
    });
    Section("a replica that will reach the minimum position shortly is asked to wait", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("wait behind 50000"), this->Plan(requirement, { behind }));
    });
    Section("the wait does not extend beyond the deadline", [&] {
      requirement.deadline = At(20'000);
      CPPUNIT_ASSERT_EQUAL(std::string("wait behind 20000"), this->Plan(requirement, { behind }));
      requirement.deadline = At(1'000'000);
    });
    Section("the primary is preferred to a long wait", [&] {
      behind.estimatedLag = Duration(30'000);
      CPPUNIT_ASSERT_EQUAL(std::string("primary primary"), this->Plan(requirement, { behind }));
    });
    Section("without a primary, a long wait is preferred to a refusal", [&] {
      requirement.primary.reset();
      CPPUNIT_ASSERT_EQUAL(std::string("wait behind 50000"), this->Plan(requirement, { behind }));
      behind.estimatedLag = Duration(50'001);
      CPPUNIT_ASSERT_EQUAL(std::string("refuse no-primary"), this->Plan(requirement, { behind }));
    });
  }

  void AvoidsUnsuitableReplicas()
  {
    const ReadRequirement requirement = Requirement({ 1, 40 });
    ReplicaView view = ViewOf("replica", 100);
    CPPUNIT_ASSERT_EQUAL(std::string("read replica"), this->Plan(requirement, { view }));
    Section("a drained replica", [&] {
      ReplicaView drained = view;
      drained.inService = false;
      CPPUNIT_ASSERT_EQUAL(std::string("primary primary"), this->Plan(requirement, { drained }));
    });
    Section("a replica in another term, which may be a deposed primary", [&] {
      ReplicaView deposed = view;
      deposed.acceptedTerm = 2;
      deposed.position = { 2, 100 };
      CPPUNIT_ASSERT_EQUAL(std::string("primary primary"), this->Plan(requirement, { deposed }));
    });
    Section("a replica whose log has not reached its accepted term", [&] {
      ReplicaView copying = view;
      copying.position = { 1, 45 };
      copying.estimatedLag = Duration(20'000);
      CPPUNIT_ASSERT_EQUAL(std::string("primary primary"), this->Plan(requirement, { copying }));
    });
    Section("all replicas if the read has to go to the primary", [&] {
      ReadRequirement strict = requirement;
      strict.mustReadAtPrimary = true;
      CPPUNIT_ASSERT_EQUAL(std::string("primary primary"), this->Plan(strict, { view }));
      strict.primary.reset();
      CPPUNIT_ASSERT_EQUAL(std::string("refuse no-primary"), this->Plan(strict, { view }));
    });
    Section("all servers after the deadline has passed", [&] {
      ReadRequirement late = requirement;
      late.deadline = At(0);
      CPPUNIT_ASSERT_EQUAL(std::string("refuse deadline-exceeded"), this->Plan(late, { view }));
    });
  }

  void SpreadsLoad()
  {
    std::vector<ReplicaView> views{ ViewOf("a", 100), ViewOf("b", 100), ViewOf("c", 100) };
    views[2].outstanding = 9;
    const auto count = [&] {
      std::map<std::string, int> counts;
      for (int i = 0; i < 3000; ++i) {
        ++counts[this->Plan(Requirement({ 3, 90 }), views)];
      }
      return counts;
    };
    Section("the most loaded of three replicas is never chosen", [&] {
      std::map<std::string, int> counts = count();
      CPPUNIT_ASSERT_EQUAL(0, counts["read c"]);
      CPPUNIT_ASSERT(counts["read a"] > 1000);
      CPPUNIT_ASSERT(counts["read b"] > 1000);
    });
    Section("at equal load, the replica in the VM's own failure domain is chosen", [&] {
      views.pop_back();
      views[1].isLocal = true;
      CPPUNIT_ASSERT_EQUAL(3000, count()["read b"]);
    });
  }

  void BacksOffAfterFailures()
  {
    const ReadRouter router;
    ReplicaView view = ViewOf("replica", 100);
    view.lastFailure = At(1'000'000);
    CPPUNIT_ASSERT(!router.IsBackingOff(view, At(1'000'000)));
    view.consecutiveFailures = 1;
    CPPUNIT_ASSERT(router.IsBackingOff(view, At(1'099'999)));
    CPPUNIT_ASSERT(!router.IsBackingOff(view, At(1'100'000)));
    view.consecutiveFailures = 3;
    CPPUNIT_ASSERT(router.IsBackingOff(view, At(1'399'999)));
    CPPUNIT_ASSERT(!router.IsBackingOff(view, At(1'400'000)));
    view.consecutiveFailures = 4'000'000'000U;
    CPPUNIT_ASSERT(router.IsBackingOff(view, At(5'999'999)));
    CPPUNIT_ASSERT(!router.IsBackingOff(view, At(6'000'000)));
  }

  void MinimumPositionIsNeverTooLow()
  {
    int staleCount = 0;
    int staleWithArrivalTimes = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      staleCount += CountStaleMinimumPositions(seed, false);
      staleWithArrivalTimes += CountStaleMinimumPositions(seed, true);
    }
    CPPUNIT_ASSERT_EQUAL(0, staleCount);
    Section("the check detects observations with the time of the answer's arrival",
            [&] { CPPUNIT_ASSERT(staleWithArrivalTimes > 0); });
    Section("without an observation there is no minimum position", [] {
      FreshnessTracker tracker(Duration(500));
      CPPUNIT_ASSERT(!tracker.MinimumPositionFor(Duration(100), At(1000)));
      tracker.Observe(At(800), { 1, 7 });
      CPPUNIT_ASSERT(!tracker.MinimumPositionFor(Duration(199), At(1000)));
      CPPUNIT_ASSERT((tracker.MinimumPositionFor(Duration(200), At(1000)) == LogPosition{ 1, 7 }));
    });
  }

  void RemovesDiscardedPositions()
  {
    FreshnessTracker tracker(Duration(500));
    tracker.Observe(At(100), { 1, 40 });
    tracker.Observe(At(200), { 1, 60 });
    tracker.Observe(At(300), { 2, 52 });
    tracker.RemoveDiscarded({ 2, 52 }, TermHistory({ { 1, 1 }, { 2, 50 } }));
    CPPUNIT_ASSERT((tracker.MinimumPositionFor(Duration(200), At(300)) == LogPosition{ 1, 40 }));
    CPPUNIT_ASSERT((tracker.MinimumPositionFor(Duration(150), At(300)) == LogPosition{ 2, 52 }));
  }

private:
  std::string Plan(const ReadRequirement& aRequirement, const std::vector<ReplicaView>& aViews)
  {
    return Describe(ReadRouter().Plan(aRequirement, aViews, At(0), this->random));
  }

  std::mt19937_64 random{ 42 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

} // namespace mustardshift
