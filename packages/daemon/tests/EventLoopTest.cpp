#include "daemon/loop/EventLoop.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <future>

namespace mustardshift {

using test::Section;

/** Guards against starvation: a task that posts itself again from the loop's thread must not keep
    timers and tasks of other threads from running. A starved daemon appears alive but serves no
    requests. */
class EventLoopTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventLoopTest);
  CPPUNIT_TEST(RunsTimersAndOtherTasksDespiteRepostingTask);
  CPPUNIT_TEST_SUITE_END();

public:
  void RunsTimersAndOtherTasksDespiteRepostingTask()
  {
    EventLoop loop(16);
    std::promise<void> timerFired;
    const std::function<void(Instant)> repeat = [&](Instant) { loop.Post(repeat); };
    loop.Start();
    loop.PostAndWait([&](Instant aNow) {
      loop.Schedule(aNow + std::chrono::milliseconds(20), [&](Instant) { timerFired.set_value(); });
      loop.Post(repeat);
    });
    Section("a timer fires", [&] {
      CPPUNIT_ASSERT(timerFired.get_future().wait_for(std::chrono::seconds(60)) ==
                     std::future_status::ready);
    });
    Section("a task of another thread runs",
            [&] { CPPUNIT_ASSERT(loop.PostAndWait([](Instant) {})); });
    loop.Stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);

} // namespace mustardshift
