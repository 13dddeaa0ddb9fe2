#include "core/queueing/FairQueue.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardshift {

using std::chrono::seconds;
using test::Section;

namespace {

const OrganisationName kLarge("large");
const OrganisationName kSmall("small");
constexpr Instant kStart{ seconds(100) };

struct TestItem
{
  OrganisationName organisation;
  int number = 0;
  Instant deadline{};
};

/** First-in-first-out queue, which HasFairShare has to reject. */
class FifoQueue
{
public:
  void Push(const OrganisationName& aOrganisation) { this->items.push_back(aOrganisation); }
  OrganisationName Pop()
  {
    OrganisationName item = this->items.front();
    this->items.erase(this->items.begin());
    return item;
  }

private:
  std::vector<OrganisationName> items;
};

/** Returns whether the small organisation, at equal weight, got at least a third of the served
    items. */
bool HasFairShare(const std::map<OrganisationName, int>& aServed)
{
  const auto small = aServed.find(kSmall);
  int total = 0;
  for (const auto& [organisation, count] : aServed) {
    total += count;
  }
  return small != aServed.end() && small->second * 3 >= total;
}

} // namespace

/** Guards against an organisation that starves others with a large number of requests, against
    requests that are served after their deadline, and against requests that the queue loses. */
class FairQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(SharesByWeight);
  CPPUNIT_TEST(GivesNoCreditForIdleTime);
  CPPUNIT_TEST(ServesANewOrganisationFirstWithinItsWeight);
  CPPUNIT_TEST(RefusesWhenFull);
  CPPUNIT_TEST(ReturnsExpiredItemsSeparately);
  CPPUNIT_TEST(ReturnsEachItemOnceInSeededHistories);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Guards against infrequent requests that wait for complete turns of an organisation with many
      requests, and against an organisation that gets more than its share by pushing one request at
      a time. */
  void ServesANewOrganisationFirstWithinItsWeight()
  {
    constexpr unsigned kWeight = 8;
    FairQueue<OrganisationName> queue(1000, 2000);
    queue.SetWeight(kLarge, kWeight);
    const Instant deadline = kStart + seconds(10);
    for (int count = 0; count < 500; ++count) {
      CPPUNIT_ASSERT(queue.Push(kLarge, kLarge, deadline));
    }
    // The organisation's first turn, and one item of its second turn.
    for (unsigned count = 0; count < kWeight + 1; ++count) {
      CPPUNIT_ASSERT(queue.Pop(kStart) == kLarge);
    }
    CPPUNIT_ASSERT(queue.Push(kSmall, kSmall, deadline));
    Section("the request of the new organisation is served next",
            [&] { CPPUNIT_ASSERT(queue.Pop(kStart) == kSmall); });
    Section("an organisation that pushes one request at a time is served once in a round", [&] {
      constexpr int kRounds = 20;
      int small = 0;
      for (unsigned pops = 0; pops < kRounds * (kWeight + 1); ++pops) {
        if (queue.SizeOf(kSmall) == 0) {
          CPPUNIT_ASSERT(queue.Push(kSmall, kSmall, deadline));
        }
        small += queue.Pop(kStart) == kSmall ? 1 : 0;
      }
      CPPUNIT_ASSERT(small >= kRounds - 1 && small <= kRounds + 1);
    });
  }

  void SharesByWeight()
  {
    FairQueue<OrganisationName> queue(1000, 2000);
    FifoQueue fifo;
    for (int i = 0; i < 500; ++i) {
      CPPUNIT_ASSERT(queue.Push(kLarge, kLarge, kStart + seconds(10)).has_value());
      fifo.Push(kLarge);
    }
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(queue.Push(kSmall, kSmall, kStart + seconds(10)).has_value());
      fifo.Push(kSmall);
    }
    std::map<OrganisationName, int> served;
    std::map<OrganisationName, int> servedByFifo;
    for (int i = 0; i < 100; ++i) {
      ++served[*queue.Pop(kStart)];
      ++servedByFifo[fifo.Pop()];
    }
    Section("equal weights give equal shares", [&] { CPPUNIT_ASSERT_EQUAL(50, served[kSmall]); });
    Section("the checker accepts this queue and rejects a first-in-first-out queue", [&] {
      CPPUNIT_ASSERT(HasFairShare(served));
      CPPUNIT_ASSERT(!HasFairShare(servedByFifo));
    });
    Section("a weight of three against one gives three quarters", [&] {
      queue.SetWeight(kLarge, 3);
      served.clear();
      for (int i = 0; i < 80; ++i) {
        ++served[*queue.Pop(kStart)];
      }
      CPPUNIT_ASSERT_EQUAL(20, served[kSmall]);
    });
  }

  void GivesNoCreditForIdleTime()
  {
    FairQueue<OrganisationName> queue(1000, 2000);
    for (int i = 0; i < 300; ++i) {
      CPPUNIT_ASSERT(queue.Push(kLarge, kLarge, kStart + seconds(10)).has_value());
    }
    for (int i = 0; i < 200; ++i) {
      CPPUNIT_ASSERT(*queue.Pop(kStart) == kLarge);
    }
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT(queue.Push(kSmall, kSmall, kStart + seconds(10)).has_value());
    }
    int small = 0;
    for (int i = 0; i < 20; ++i) {
      small += *queue.Pop(kStart) == kSmall ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(10, small);
  }

  void RefusesWhenFull()
  {
    FairQueue<int> queue(2, 3);
    CPPUNIT_ASSERT(queue.Push(kLarge, 1, kStart + seconds(1)).has_value());
    CPPUNIT_ASSERT(queue.Push(kLarge, 2, kStart + seconds(1)).has_value());
    Section("the limit of one organisation does not affect another one", [&] {
      const auto refused = queue.Push(kLarge, 3, kStart + seconds(1));
      CPPUNIT_ASSERT(!refused.has_value());
      CPPUNIT_ASSERT(refused.error().reason == Reason::QueueFull);
      CPPUNIT_ASSERT(refused.error().verdict == Verdict::NotRun);
      CPPUNIT_ASSERT(queue.Push(kSmall, 4, kStart + seconds(1)).has_value());
    });
    Section("the total limit applies too and includes expired items", [&] {
      CPPUNIT_ASSERT(!queue.Push(kSmall, 5, kStart + seconds(1)).has_value());
      CPPUNIT_ASSERT(!queue.Pop(kStart + seconds(1)).has_value());
      CPPUNIT_ASSERT(!queue.Push(kSmall, 6, kStart + seconds(9)).has_value());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, queue.TakeExpired(kStart + seconds(1)).size());
      CPPUNIT_ASSERT(queue.Push(kSmall, 7, kStart + seconds(9)).has_value());
    });
  }

  void ReturnsExpiredItemsSeparately()
  {
    FairQueue<int> queue(10, 10);
    CPPUNIT_ASSERT(queue.Push(kLarge, 1, kStart + seconds(1)).has_value());
    CPPUNIT_ASSERT(queue.Push(kLarge, 2, kStart + seconds(5)).has_value());
    CPPUNIT_ASSERT(*queue.NextDeadline() == kStart + seconds(1));
    CPPUNIT_ASSERT(queue.HasWaiting(kStart + seconds(1)));
    CPPUNIT_ASSERT_EQUAL(2, *queue.Pop(kStart + seconds(1)));
    // An expired item still counts in size(), but Pop() doesn't return it.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, queue.size());
    CPPUNIT_ASSERT(!queue.HasWaiting(kStart + seconds(1)));
    const std::vector<int> expired = queue.TakeExpired(kStart + seconds(1));
    CPPUNIT_ASSERT(expired == std::vector<int>{ 1 });
    CPPUNIT_ASSERT(queue.TakeExpired(kStart + seconds(100)).empty());
  }

  void ReturnsEachItemOnceInSeededHistories()
  {
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
      std::mt19937_64 random(seed);
      FairQueue<TestItem> queue(20, 50);
      Instant now = kStart;
      std::set<int> pushed;
      std::map<OrganisationName, int> lastServed;
      for (int number = 1; number <= 300; ++number) {
        now += Duration(static_cast<std::int64_t>(random() % 20'000));
        const OrganisationName organisation(std::to_string(random() % 5));
        const Instant deadline = now + Duration(static_cast<std::int64_t>(random() % 500'000));
        if (queue.Push(organisation, { organisation, number, deadline }, deadline)) {
          pushed.insert(number);
        }
        if (random() % 2 == 0) {
          if (const auto item = queue.Pop(now)) {
            CPPUNIT_ASSERT(item->deadline > now);
            CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, pushed.erase(item->number));
            CPPUNIT_ASSERT(lastServed[item->organisation] < item->number);
            lastServed[item->organisation] = item->number;
          }
        }
        if (random() % 10 == 0) {
          for (const TestItem& item : queue.TakeExpired(now)) {
            CPPUNIT_ASSERT(item.deadline <= now);
            CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, pushed.erase(item.number));
          }
        }
        CPPUNIT_ASSERT_EQUAL(pushed.size(), queue.size());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

} // namespace mustardshift
