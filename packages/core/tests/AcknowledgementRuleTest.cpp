#include "core/failover/AcknowledgementRule.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace mustardshift {

using test::Section;

namespace {

const ServerAddress kPrimary("a");
const ServerAddress kSecond("b");
const ServerAddress kThird("c");
constexpr LogPosition kWrite{ 3, 10 };

ServerReport Report(std::uint64_t aAcceptedTerm, LogPosition aPosition)
{
  return { aAcceptedTerm, aPosition, false };
}

} // namespace

/** Guards against acknowledging a write that is missing from the log of a later primary. This
    happens if reports of other terms, or of logs that end before the write, are counted. */
class AcknowledgementRuleTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AcknowledgementRuleTest);
  CPPUNIT_TEST(NeedsAMajorityInTheTerm);
  CPPUNIT_TEST(IgnoresServersInALaterTerm);
  CPPUNIT_TEST(MatchesTheDefinitionOnRandomReports);
  CPPUNIT_TEST_SUITE_END();

public:
  void NeedsAMajorityInTheTerm()
  {
    AcknowledgementRule rule(kWrite, 3);
    CPPUNIT_ASSERT(!rule.Record(kPrimary, Report(3, kWrite)));
    Section("two reports of one server are not a majority", [&] {
      CPPUNIT_ASSERT(!rule.Record(kPrimary, Report(3, { 3, 11 })));
    });
    Section("a log that ends before the write does not count", [&] {
      CPPUNIT_ASSERT(!rule.Record(kSecond, Report(3, { 3, 9 })));
    });
    Section("a longer log of an earlier term does not count", [&] {
      CPPUNIT_ASSERT(!rule.Record(kSecond, Report(3, { 2, 50 })));
    });
    CPPUNIT_ASSERT(rule.Record(kSecond, Report(3, { 3, 12 })));
    Section("an acknowledged write stays acknowledged", [&] {
      CPPUNIT_ASSERT(rule.Record(kSecond, Report(4, { 4, 12 })));
    });
  }

  void IgnoresServersInALaterTerm()
  {
    AcknowledgementRule rule(kWrite, 3);
    Section("an answer of the primary after it accepted a later term does not count", [&] {
      CPPUNIT_ASSERT(!rule.Record(kPrimary, Report(4, kWrite)));
      CPPUNIT_ASSERT(rule.CanBeAcknowledged());
    });
    CPPUNIT_ASSERT(!rule.Record(kSecond, Report(3, kWrite)));
    CPPUNIT_ASSERT(!rule.Record(kThird, Report(4, { 4, 20 })));
    CPPUNIT_ASSERT(!rule.CanBeAcknowledged());
  }

  void MatchesTheDefinitionOnRandomReports()
  {
    std::mt19937_64 random(20261204);
    std::size_t acknowledged = 0;
    for (int i = 0; i < 20000; ++i) {
      const std::size_t servers = 1 + random() % 5;
      AcknowledgementRule rule(kWrite, servers);
      std::set<std::uint64_t> confirmingServers;
      for (int step = 0; step < 8; ++step) {
        const std::uint64_t server = random() % servers;
        const ServerReport report =
          Report(2 + random() % 3, { 2 + random() % 3, 8 + random() % 5 });
        if (report.acceptedTerm == kWrite.term && report.position.term == kWrite.term &&
            report.position.offset >= kWrite.offset) {
          confirmingServers.insert(server);
        }
        const bool expected = 2 * confirmingServers.size() > servers;
        CPPUNIT_ASSERT_EQUAL(expected, rule.Record(ServerAddress(std::to_string(server)), report));
        CPPUNIT_ASSERT(!expected || rule.CanBeAcknowledged());
        acknowledged += expected ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(acknowledged > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AcknowledgementRuleTest);

} // namespace mustardshift
