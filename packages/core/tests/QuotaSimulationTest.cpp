#include "QuotaSimulation.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace mustardshift {

using std::chrono::seconds;
using test::QuotaFault;
using test::QuotaSimulation;
using test::Section;

namespace {

/** Number of histories; QUOTA_HISTORIES in the environment sets another one for longer runs. */
std::uint64_t RunCount(std::uint64_t aDefault)
{
  const char* text = std::getenv("QUOTA_HISTORIES"); // NOLINT(concurrency-mt-unsafe): one thread
  return text == nullptr ? aDefault : std::stoull(text);
}

/** Returns the first seed, up to aLimit, whose simulation violates a limit, or zero. */
std::uint64_t FirstDetectingSeed(QuotaFault aFault, std::uint64_t aLimit)
{
  for (std::uint64_t seed = 1; seed <= aLimit; ++seed) {
    QuotaSimulation simulation(seed, 9, aFault);
    if (!simulation.Run(seconds(2000)).empty()) {
      return seed;
    }
  }
  return 0;
}

} // namespace

/** Guards against an organisation that exceeds its rate and burst over all VMs together, and
    against connections beyond a server's limit, while VMs, partitions, messages and the table
    misbehave. */
class QuotaSimulationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuotaSimulationTest);
  CPPUNIT_TEST(KeepsLimitsWithNineVms);
  CPPUNIT_TEST(KeepsLimitsWithTwoHundredVmsInCells);
  CPPUNIT_TEST(DetectsEachInjectedFault);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeepsLimitsWithNineVms()
  {
    std::uint64_t admitted = 0;
    std::uint64_t loans = 0;
    std::uint64_t takeovers = 0;
    const std::uint64_t count = RunCount(200);
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
      QuotaSimulation simulation(seed, 9, QuotaFault::None);
      const std::string violation = simulation.Run(seconds(2000));
      Section("seed " + std::to_string(seed),
              [&] { CPPUNIT_ASSERT_EQUAL(std::string(), violation); });
      admitted += simulation.AdmittedCount();
      loans += simulation.LoanCount();
      takeovers += simulation.TakeoverCount();
    }
    std::cout << "QuotaSimulation: " << count << " histories of 2000 s, " << admitted
              << " admissions, " << loans << " loans, " << takeovers << " takeovers" << std::endl;
    Section("the histories exercise what they check", [&] {
      CPPUNIT_ASSERT(admitted > 1000 * count);
      CPPUNIT_ASSERT(loans > 100 * count);
      CPPUNIT_ASSERT(takeovers > count);
    });
  }

  void KeepsLimitsWithTwoHundredVmsInCells()
  {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      QuotaSimulation simulation(seed, 200, QuotaFault::None);
      const std::string violation = simulation.Run(seconds(1000));
      Section("seed " + std::to_string(seed),
              [&] { CPPUNIT_ASSERT_EQUAL(std::string(), violation); });
    }
  }

  void DetectsEachInjectedFault()
  {
    for (const QuotaFault fault : { QuotaFault::FullBucketForGainedShard,
                                    QuotaFault::LeaseFromReplyTime,
                                    QuotaFault::LoanFromReplyTime,
                                    QuotaFault::ReleaseDuringLoans,
                                    QuotaFault::EarlyTakeover }) {
      const std::uint64_t seed = FirstDetectingSeed(fault, 300);
      std::cout << "QuotaSimulation: fault " << static_cast<int>(fault) << " caught by seed "
                << seed << std::endl;
      Section("fault " + std::to_string(static_cast<int>(fault)),
              [&] { CPPUNIT_ASSERT(seed != 0); });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaSimulationTest);

} // namespace mustardshift
