#include "core/rate/TokenBucket.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace mustardshift {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Section;

/** Tests that no tokens are created by a change of the rate or capacity, by a clock that goes
    backwards, or by rounding. Any of these would admit more requests than the rate and the burst
    allow. */
class TokenBucketTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TokenBucketTest);
  CPPUNIT_TEST(FillsAtItsRateUpToItsCapacity);
  CPPUNIT_TEST(CreatesNoTokensByChanges);
  CPPUNIT_TEST(PredictsWhenTokensAreAvailable);
  CPPUNIT_TEST(StaysWithinRateAndBurstInRandomRuns);
  CPPUNIT_TEST_SUITE_END();

public:
  void FillsAtItsRateUpToItsCapacity()
  {
    const Instant start{ seconds(100) };
    TokenBucket bucket(10, 5, 0, start);
    Section("a new bucket contains no more than its initial tokens",
            [&] { CPPUNIT_ASSERT(!bucket.TryTake(start)); });
    Section("the bucket refills at its rate", [&] {
      CPPUNIT_ASSERT(bucket.TryTake(start + milliseconds(100)));
      CPPUNIT_ASSERT(!bucket.TryTake(start + milliseconds(150)));
    });
    Section("the bucket holds no more than its capacity", [&] {
      bucket.Refill(start + seconds(60));
      CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, bucket.Tokens(), 1e-9);
    });
    Section("a clock that goes backwards adds no tokens, not even when it catches up", [&] {
      CPPUNIT_ASSERT(bucket.TryTake(start + seconds(60), 5));
      bucket.Refill(start);
      bucket.Refill(start + seconds(60));
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, bucket.Tokens(), 1e-9);
    });
  }

  void CreatesNoTokensByChanges()
  {
    const Instant start{ seconds(100) };
    TokenBucket bucket(10, 5, 3, start);
    bucket.SetRateAndCapacity(start, 1000, 500);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, bucket.Tokens(), 1e-9);
    bucket.SetRateAndCapacity(start, 10, 1);
    bucket.SetRateAndCapacity(start, 10, 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, bucket.Tokens(), 1e-9);
    Section("the time before a change is counted at the old rate", [&] {
      bucket.SetRateAndCapacity(start + milliseconds(100), 1000, 500);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, bucket.Tokens(), 1e-9);
    });
  }

  void PredictsWhenTokensAreAvailable()
  {
    const Instant start{ seconds(100) };
    TokenBucket bucket(10, 5, 0.5, start);
    const auto availableAt = bucket.AvailableAt(start, 1);
    CPPUNIT_ASSERT(availableAt.has_value());
    CPPUNIT_ASSERT(bucket.TryTake(*availableAt));
    CPPUNIT_ASSERT(!bucket.AvailableAt(start, 6).has_value());
    bucket.SetRateAndCapacity(start, 0, 5);
    CPPUNIT_ASSERT(!bucket.AvailableAt(start, 1).has_value());
  }

  void StaysWithinRateAndBurstInRandomRuns()
  {
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
      std::mt19937_64 random(seed);
      Instant now{ seconds(100) };
      double rate = 10;
      TokenBucket bucket(rate, 5, 5, now);
      double allowedTokens = 5;
      double takenTokens = 0;
      for (int step = 0; step < 200; ++step) {
        const Duration elapsed(static_cast<std::int64_t>(random() % 200'000));
        now += elapsed;
        allowedTokens += rate * std::chrono::duration<double>(elapsed).count();
        if (random() % 10 == 0) {
          rate = static_cast<double>(random() % 50);
          bucket.SetRateAndCapacity(now, rate, static_cast<double>(random() % 20));
        }
        const Instant requestedAt = random() % 10 == 0 ? now - seconds(1) : now;
        takenTokens += bucket.TryTake(requestedAt) ? 1 : 0;
      }
      CPPUNIT_ASSERT(takenTokens <= allowedTokens + 1e-6);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenBucketTest);

} // namespace mustardshift
