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

/** Returns the number of simulations to run. The environment variable QUOTA_HISTORIES overrides it
    for longer runs. */
std::uint64_t RunCount(std::uint64_t aDefault)
{
  const char* text = std::getenv("QUOTA_HISTORIES"); // NOLINT(concurrency-mt-unsafe): one thread
  return text == nullptr ? aDefault : std::stoull(text);
}

/** Returns the first seed, up to aLimit, whose simulation violates a limit, or zero if there is
    none. */
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

/** Tests that an organisation never exceeds its rate and burst over all VMs together, and that
    connections never exceed the limit of a server, while VMs, the network and the table fail in
    random ways. */
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
    std::cout << "QuotaSimulation: " << count << " simulations of 2000 s, " << admitted
              << " admissions, " << loans << " loans, " << takeovers << " takeovers" << std::endl;
    Section("the simulations exercise what they check", [&] {
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
      std::cout << "QuotaSimulation: fault " << static_cast<int>(fault) << " detected with seed "
                << seed << std::endl;
      Section("fault " + std::to_string(static_cast<int>(fault)),
              [&] { CPPUNIT_ASSERT(seed != 0); });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaSimulationTest);

} // namespace mustardshift
