#include "ConfigurationTrustSimulation.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>

namespace mustardshift {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::ConfigurationTrustFault;
using test::ConfigurationTrustSimulation;
using test::Section;

namespace {

constexpr Instant kStart{ seconds(1000) };

std::uint64_t FirstDetectingSeed(ConfigurationTrustFault aFault,
                                 unsigned aVmCount,
                                 std::uint64_t aLimit)
{
  for (std::uint64_t seed = 1; seed <= aLimit; ++seed) {
    ConfigurationTrustSimulation simulation(seed, aVmCount, aFault, true);
    if (!simulation.Run(seconds(2000)).empty()) {
      return seed;
    }
  }
  return 0;
}

} // namespace

/** Guards against a partitioned VM that keeps accepting a revoked key, and against VMs that stop
    serving although only the platform is down. */
class ConfigurationTrustTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationTrustTest);
  CPPUNIT_TEST(MeasuresAgeFromRequestSendTime);
  CPPUNIT_TEST(RequiresConfirmationAfterRegistering);
  CPPUNIT_TEST(StaysTrustedDuringPlatformOutage);
  CPPUNIT_TEST(KeepsTrustBoundInRandomSimulations);
  CPPUNIT_TEST(DetectsEachFault);
  CPPUNIT_TEST_SUITE_END();

public:
  void MeasuresAgeFromRequestSendTime()
  {
    ConfigurationTrust trust{ VmId("vm-1") };
    CPPUNIT_ASSERT(!trust.IsTrusted(kStart));
    trust.SetVersion(3);
    trust.OnHeadRead(kStart, 3);
    CPPUNIT_ASSERT(trust.IsTrusted(kStart + milliseconds(4999)));
    CPPUNIT_ASSERT(!trust.IsTrusted(kStart + seconds(5)));
    Section("a read of a later head confirms once the VM has its changes", [&] {
      trust.OnHeadRead(kStart + seconds(6), 5);
      CPPUNIT_ASSERT(!trust.IsTrusted(kStart + seconds(6)));
      trust.SetVersion(4);
      CPPUNIT_ASSERT(!trust.IsTrusted(kStart + seconds(6)));
      trust.SetVersion(5);
      CPPUNIT_ASSERT(trust.IsTrusted(kStart + seconds(10)));
    });
    Section("a peer's confirmation counts as its reported age before the ping", [&] {
      TrustReport report;
      report.vm = { VmId("vm-2"), 1 };
      report.version = 5;
      report.confirmationAge = seconds(2);
      trust.OnPeerReport(kStart + seconds(20), kStart + seconds(21), report);
      CPPUNIT_ASSERT(trust.IsTrusted(kStart + milliseconds(22'900)));
      CPPUNIT_ASSERT(!trust.IsTrusted(kStart + seconds(23)));
    });
    Section("the version never decreases", [&] {
      trust.SetVersion(2);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, trust.Version());
    });
  }

  /** Guards against trust without a confirmation by the platform: an earlier process of the VM may
      have had a change accepted. The new process got its configuration from a peer that isn't
      registered and may never have received that change. */
  void RequiresConfirmationAfterRegistering()
  {
    ConfigurationTrust trust{ VmId("vm-1") };
    TrustReport report;
    report.vm = { VmId("vm-2"), 0 };
    report.version = 3;
    report.confirmationAge = seconds(250);
    trust.OnPeerReport(kStart, kStart, report);
    trust.SetVersion(3);
    trust.OnRegistered(kStart + seconds(1), kStart + seconds(2), 8);
    trust.OnRegistrationsRead(
      kStart + seconds(3), kStart + seconds(4), { { { VmId("vm-1"), 8 }, 1 } });
    CPPUNIT_ASSERT(!trust.IsTrusted(kStart + seconds(4)));
    CPPUNIT_ASSERT(!trust.MayAcceptChanges(kStart + seconds(4)));
    trust.OnHeadRead(kStart + seconds(5), 3);
    CPPUNIT_ASSERT(trust.MayAcceptChanges(kStart + seconds(5)));
    CPPUNIT_ASSERT(trust.IsTrusted(kStart + seconds(100)));
  }

  void StaysTrustedDuringPlatformOutage()
  {
    ConfigurationTrustSimulation simulation(1, 9, ConfigurationTrustFault::None, false);
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Run(seconds(400)));
    CPPUNIT_ASSERT_EQUAL(9U, simulation.CountTrustingVms());
    // If a change were in flight when the platform fails, the VMs could not trust their
    // configuration during the outage, because the change may have been accepted.
    simulation.StopChanges();
    simulation.Run(seconds(5));
    simulation.SetTableDown(true);
    Section("every VM trusts its configuration while only the platform is down", [&] {
      for (int i = 0; i < 90; ++i) {
        simulation.Run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(9U, simulation.CountTrustingVms());
      }
    });
    Section("VMs that cannot reach all others in the outage do not trust their configuration", [&] {
      simulation.Partition(0, 1);
      simulation.Run(seconds(7));
      // Failure domains 0 and 1 have three and two of the nine VMs.
      CPPUNIT_ASSERT_EQUAL(4U, simulation.CountTrustingVms());
    });
    Section("no VM trusts its configuration after the registration leases have expired", [&] {
      simulation.Run(seconds(610));
      CPPUNIT_ASSERT_EQUAL(0U, simulation.CountTrustingVms());
    });
    Section("all VMs trust their configuration after the platform is reachable again", [&] {
      simulation.SetTableDown(false);
      simulation.Run(seconds(3));
      CPPUNIT_ASSERT_EQUAL(9U, simulation.CountTrustingVms());
    });
  }

  void KeepsTrustBoundInRandomSimulations()
  {
    std::uint64_t accepted = 0;
    std::uint64_t outage = 0;
    for (std::uint64_t seed = 1; seed <= 90; ++seed) {
      const unsigned vmCount = seed % 3 == 0 ? 9 : seed % 3 + 1;
      ConfigurationTrustSimulation simulation(seed, vmCount, ConfigurationTrustFault::None, true);
      const std::string violation = simulation.Run(seconds(2000));
      Section("seed " + std::to_string(seed) + ", " + std::to_string(vmCount) + " VMs",
              [&] { CPPUNIT_ASSERT_EQUAL(std::string(), violation); });
      accepted += simulation.AcceptedChangeCount();
      outage += simulation.OutageTrustCount();
    }
    std::cout << "ConfigurationTrust: 90 simulations of 2000 s, " << accepted
              << " changes accepted, trusted " << outage << " times in total outages" << std::endl;
    Section("the simulations contain changes and outages", [&] {
      CPPUNIT_ASSERT(accepted > 500);
      CPPUNIT_ASSERT(outage > 1000);
    });
  }

  void DetectsEachFault()
  {
    const auto expect = [](ConfigurationTrustFault aFault, unsigned aVmCount) {
      const std::uint64_t seed = FirstDetectingSeed(aFault, aVmCount, 200);
      std::cout << "ConfigurationTrust: fault " << static_cast<int>(aFault) << " detected by seed "
                << seed << std::endl;
      Section("fault " + std::to_string(static_cast<int>(aFault)),
              [&] { CPPUNIT_ASSERT(seed != 0); });
    };
    expect(ConfigurationTrustFault::AcceptsBeforePeersKnow, 2);
    expect(ConfigurationTrustFault::ConfirmsFromResponseTime, 4);
    expect(ConfigurationTrustFault::PeerAgeFromArrival, 4);
    expect(ConfigurationTrustFault::HidesUnresolvedChange, 4);
    expect(ConfigurationTrustFault::RemovesRunningLease, 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTrustTest);

} // namespace mustardshift
