#include "core/base/BoundedRing.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace mustardshift {

using test::Section;

/** Guards against items that are lost, reordered or taken in beyond the capacity. */
class BoundedRingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BoundedRingTest);
  CPPUNIT_TEST(KeepsOrderAndCapacity);
  CPPUNIT_TEST(HandsEveryItemToTheOtherThread);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeepsOrderAndCapacity()
  {
    BoundedRing<int> ring(2);
    Section("an empty ring gives nothing",
            [&] { CPPUNIT_ASSERT(!ring.PopFor(Duration{ 0 }).has_value()); });
    Section("a full ring refuses", [&] {
      CPPUNIT_ASSERT(ring.TryPush(1));
      CPPUNIT_ASSERT(ring.TryPush(2));
      CPPUNIT_ASSERT(!ring.TryPush(3));
    });
    Section("the oldest item comes first", [&] {
      CPPUNIT_ASSERT_EQUAL(1, ring.PopFor(Duration{ 0 }).value());
      CPPUNIT_ASSERT_EQUAL(2, ring.PopFor(Duration{ 0 }).value());
    });
  }

  void HandsEveryItemToTheOtherThread()
  {
    constexpr int kItems = 10000;
    BoundedRing<int> ring(16);
    std::thread producer([&ring] {
      for (int i = 1; i <= kItems; ++i) {
        ring.Push(i);
      }
    });
    int expected = 1;
    bool ordered = true;
    while (expected <= kItems) {
      const std::optional<int> item = ring.PopFor(std::chrono::seconds(30));
      ordered = ordered && item == expected;
      ++expected;
    }
    producer.join();
    CPPUNIT_ASSERT(ordered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedRingTest);

} // namespace mustardshift
