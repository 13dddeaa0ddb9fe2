#include "core/base/BoundedQueue.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace mustardshift {

using test::Section;

/** Guards against items that are lost, reordered or accepted beyond the capacity. */
class BoundedQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BoundedQueueTest);
  CPPUNIT_TEST(KeepsOrderAndCapacity);
  CPPUNIT_TEST(DeliversEveryItemAcrossThreads);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeepsOrderAndCapacity()
  {
    BoundedQueue<int> queue(2);
    Section("an empty queue returns nothing",
            [&] { CPPUNIT_ASSERT(!queue.TryPopFor(Duration{ 0 }).has_value()); });
    Section("a full queue refuses an item", [&] {
      CPPUNIT_ASSERT(queue.TryPush(1));
      CPPUNIT_ASSERT(queue.TryPush(2));
      CPPUNIT_ASSERT(!queue.TryPush(3));
    });
    Section("the oldest item is returned first", [&] {
      CPPUNIT_ASSERT_EQUAL(1, queue.TryPopFor(Duration{ 0 }).value());
      CPPUNIT_ASSERT_EQUAL(2, queue.TryPopFor(Duration{ 0 }).value());
    });
  }

  void DeliversEveryItemAcrossThreads()
  {
    constexpr int kItems = 10000;
    BoundedQueue<int> queue(16);
    std::thread producer([&queue] {
      for (int i = 1; i <= kItems; ++i) {
        queue.Push(i);
      }
    });
    int expected = 1;
    bool ordered = true;
    while (expected <= kItems) {
      const std::optional<int> item = queue.TryPopFor(std::chrono::seconds(30));
      ordered = ordered && item == expected;
      ++expected;
    }
    producer.join();
    CPPUNIT_ASSERT(ordered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedQueueTest);

} // namespace mustardshift
