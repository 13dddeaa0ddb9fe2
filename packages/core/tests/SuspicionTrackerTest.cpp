#include "core/failover/SuspicionTracker.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mustardshift {

using test::Section;

namespace {

const DatabaseName kDatabase("orders");
const ServerAddress kPrimary("a");

Instant At(std::int64_t aMilliseconds)
{
  return Instant{ std::chrono::milliseconds(aMilliseconds) };
}

} // namespace

/** Guards against primaries that are suspected too late, and against a VM that suspects healthy
    primaries because it was paused itself. */
class SuspicionTrackerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SuspicionTrackerTest);
  CPPUNIT_TEST(SuspectsAnUnresponsivePrimary);
  CPPUNIT_TEST(DoesNotSuspectThePrimaryAfterAPause);
  CPPUNIT_TEST(ResetsForANewPrimary);
  CPPUNIT_TEST_SUITE_END();

public:
  void SuspectsAnUnresponsivePrimary()
  {
    SuspicionTracker tracker;
    tracker.Monitor(kDatabase, 1, kPrimary, At(0));
    tracker.RecordResponse(kDatabase, 1, kPrimary, At(100));
    tracker.RecordFailure(kDatabase, kPrimary);
    tracker.RecordFailure(kDatabase, kPrimary);
    CPPUNIT_ASSERT(!tracker.IsSuspected(kDatabase, 1, At(699)));
    CPPUNIT_ASSERT(tracker.IsSuspected(kDatabase, 1, At(700)));
    CPPUNIT_ASSERT(tracker.Suspected(At(700)) == std::vector<DatabaseName>{ kDatabase });
    Section("responses of other servers and terms don't clear the suspicion", [&] {
      tracker.RecordResponse(kDatabase, 1, ServerAddress("b"), At(800));
      tracker.RecordResponse(kDatabase, 2, kPrimary, At(800));
      CPPUNIT_ASSERT(tracker.IsSuspected(kDatabase, 1, At(800)));
    });
    Section("a valid response clears the suspicion", [&] {
      tracker.RecordResponse(kDatabase, 1, kPrimary, At(900));
      CPPUNIT_ASSERT(!tracker.IsSuspected(kDatabase, 1, At(5000)));
    });
    Section("the primary of a database that is no longer monitored is not suspected", [&] {
      tracker.StopMonitoring(kDatabase);
      CPPUNIT_ASSERT(!tracker.IsSuspected(kDatabase, 1, At(9000)));
    });
  }

  void DoesNotSuspectThePrimaryAfterAPause()
  {
    SuspicionTracker tracker;
    tracker.Monitor(kDatabase, 1, kPrimary, At(0));
    tracker.RecordResponse(kDatabase, 1, kPrimary, At(100));
    // The probe that was in progress counts as failed right after the pause.
    tracker.RecordFailure(kDatabase, kPrimary);
    CPPUNIT_ASSERT(!tracker.IsSuspected(kDatabase, 1, At(60'000)));
    tracker.RecordFailure(kDatabase, kPrimary);
    CPPUNIT_ASSERT(tracker.IsSuspected(kDatabase, 1, At(60'000)));
  }

  void ResetsForANewPrimary()
  {
    SuspicionTracker tracker;
    tracker.Monitor(kDatabase, 1, kPrimary, At(0));
    tracker.RecordFailure(kDatabase, kPrimary);
    tracker.RecordFailure(kDatabase, kPrimary);
    CPPUNIT_ASSERT(tracker.IsSuspected(kDatabase, 1, At(1000)));
    Section("monitoring the same primary again does not reset the suspicion", [&] {
      tracker.Monitor(kDatabase, 1, kPrimary, At(1000));
      CPPUNIT_ASSERT(tracker.IsSuspected(kDatabase, 1, At(1000)));
    });
    tracker.Monitor(kDatabase, 2, kPrimary, At(1000));
    CPPUNIT_ASSERT(!tracker.IsSuspected(kDatabase, 2, At(9000)));
    Section("a suspicion applies to the monitored term only", [&] {
      tracker.RecordFailure(kDatabase, kPrimary);
      tracker.RecordFailure(kDatabase, kPrimary);
      CPPUNIT_ASSERT(tracker.IsSuspected(kDatabase, 2, At(9000)));
      CPPUNIT_ASSERT(!tracker.IsSuspected(kDatabase, 1, At(9000)));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspicionTrackerTest);

} // namespace mustardshift
