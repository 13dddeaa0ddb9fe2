#include "proxy/retry/RetryBudget.h"
#include "support/Section.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>

namespace mustardshift::proxy {

using mustardshift::test::Section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Instant kNow{ seconds(1000) };

RetryRequest MakeRequest()
{
  RetryRequest request;
  request.startBy = kNow + seconds(100);
  return request;
}

} // namespace

/** Guards against retries that multiply an overload, and against statements that fail although
    another server could run them. */
class RetryBudgetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(RetriesAreATenthOfWhatSucceeds);
  CPPUNIT_TEST(AttemptsAndTimeEnd);
  CPPUNIT_TEST(RetriesAreSpaced);
  CPPUNIT_TEST(BusyRejectionsDontGoToFullServers);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Load: everything fails for a minute on a VM that served 100 statements/s. */
  void RetriesAreATenthOfWhatSucceeds()
  {
    RetryBudget budget;
    Instant now = kNow;
    for (int count = 0; count < 6000; ++count) {
      now += milliseconds(10);
      budget.RecordSuccess(now);
    }
    const auto countRetries = [&](Duration aLength) {
      int retries = 0;
      RetryRequest request = MakeRequest();
      request.startBy = now + seconds(1000);
      for (const Instant end = now + aLength; now < end; now += milliseconds(10)) {
        retries += budget.Plan(now, request) ? 1 : 0;
      }
      return retries;
    };
    Section("the successes of about ten seconds count", [&] {
      const int retries = countRetries(seconds(5));
      CPPUNIT_ASSERT(retries >= 80 && retries <= 108);
    });
    Section("then one retry a second is left", [&] {
      const int retries = countRetries(seconds(55));
      CPPUNIT_ASSERT(retries >= 50 && retries <= 58);
    });
    Section("successes earn retries again", [&] {
      for (int count = 0; count < 100; ++count) {
        budget.RecordSuccess(now);
      }
      CPPUNIT_ASSERT(countRetries(seconds(1)) >= 9);
    });
  }

  /** Load: one statement that fails again and again on an otherwise healthy VM. */
  void AttemptsAndTimeEnd()
  {
    RetryBudget budget;
    RetryRequest request = MakeRequest();
    request.attempts = RetryBudget::kMaxAttempts - 1;
    CPPUNIT_ASSERT(budget.Plan(kNow, request));
    request.attempts = RetryBudget::kMaxAttempts;
    CPPUNIT_ASSERT(!budget.Plan(kNow, request));
    Section("an attempt that could not start in time takes nothing from the budget", [&] {
      request.attempts = 1;
      request.startBy = kNow + milliseconds(1);
      request.isSameServer = true;
      const double before = budget.Available(kNow);
      CPPUNIT_ASSERT(!budget.Plan(kNow, request));
      CPPUNIT_ASSERT_EQUAL(before, budget.Available(kNow));
    });
  }

  /** Load: many statements that fail at the same moment. */
  void RetriesAreSpaced()
  {
    RetryBudget budget;
    RetryRequest request = MakeRequest();
    Section("another server without a wait is asked at once",
            [&] { CPPUNIT_ASSERT(budget.Plan(kNow, request) == kNow); });
    request.expectedWait = milliseconds(40);
    Section("a server with a wait is asked after half to all of it", [&] {
      CPPUNIT_ASSERT(budget.Plan(kNow, request) == kNow + milliseconds(20));
      request.draw = 1;
      CPPUNIT_ASSERT(budget.Plan(kNow, request) == kNow + milliseconds(40));
    });
    Section("the same server is never asked at once", [&] {
      request.expectedWait = Duration::zero();
      request.isSameServer = true;
      CPPUNIT_ASSERT(budget.Plan(kNow + seconds(2), request) ==
                     kNow + seconds(2) + RetryBudget::kMinDelay);
    });
  }

  /** Load: all servers of a group are full. */
  void BusyRejectionsDontGoToFullServers()
  {
    RetryBudget budget;
    RetryRequest request = MakeRequest();
    request.startBy = kNow + milliseconds(100);
    request.expectedWait = milliseconds(150);
    request.wasRejectedAsBusy = true;
    CPPUNIT_ASSERT(!budget.Plan(kNow, request));
    request.expectedWait = milliseconds(50);
    CPPUNIT_ASSERT(budget.Plan(kNow, request));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

} // namespace mustardshift::proxy
