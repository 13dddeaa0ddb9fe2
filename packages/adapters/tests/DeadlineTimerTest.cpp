#include "adapters/timer/DeadlineTimer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <vector>

namespace mustardshift {

/** Guards against a timeout that fires early, out of order, after it was cancelled, or not at all:
    a request would be refused too early or hang. */
class DeadlineTimerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DeadlineTimerTest);
  CPPUNIT_TEST(RunsActionsInOrderOfTime);
  CPPUNIT_TEST(CancelsActions);
  CPPUNIT_TEST(DropsActionsAtItsEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void RunsActionsInOrderOfTime()
  {
    DeadlineTimer timer;
    std::vector<int> order;
    std::promise<void> done;
    const auto start = std::chrono::steady_clock::now();
    std::chrono::steady_clock::time_point end;
    timer.Schedule(std::chrono::milliseconds(40), [&] {
      end = std::chrono::steady_clock::now();
      order.push_back(3);
      timer.Schedule(Duration(0), [&] {
        order.push_back(4);
        done.set_value();
      });
    });
    timer.Schedule(std::chrono::milliseconds(10), [&] { order.push_back(1); });
    timer.Schedule(std::chrono::milliseconds(20), [&] { order.push_back(2); });
    done.get_future().wait();
    CPPUNIT_ASSERT((order == std::vector<int>{ 1, 2, 3, 4 }));
    CPPUNIT_ASSERT(end - start >= std::chrono::milliseconds(40));
  }

  void CancelsActions()
  {
    DeadlineTimer timer;
    bool ran = false;
    const auto ticket = timer.Schedule(std::chrono::milliseconds(10), [&] { ran = true; });
    CPPUNIT_ASSERT(timer.Cancel(ticket));
    CPPUNIT_ASSERT(!timer.Cancel(ticket));
    std::promise<void> later;
    timer.Schedule(std::chrono::milliseconds(30), [&] { later.set_value(); });
    later.get_future().wait();
    CPPUNIT_ASSERT(!ran);
  }

  void DropsActionsAtItsEnd()
  {
    const auto captured = std::make_shared<int>(1);
    {
      DeadlineTimer timer;
      timer.Schedule(std::chrono::hours(1), [captured] { CPPUNIT_FAIL("the action ran"); });
    }
    CPPUNIT_ASSERT_EQUAL(1L, captured.use_count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeadlineTimerTest);

} // namespace mustardshift
