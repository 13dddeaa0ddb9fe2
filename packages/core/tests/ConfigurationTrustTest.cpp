#include "TrustHistory.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>

namespace mustardshift {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Section;
using test::TrustFault;
using test::TrustHistory;

namespace {

constexpr Instant kStart{ seconds(1000) };

std::uint64_t FirstCaught(TrustFault aFault, unsigned aVmCount, std::uint64_t aLimit)
{
  for (std::uint64_t seed = 1; seed <= aLimit; ++seed) {
    TrustHistory history(seed, aVmCount, aFault, true);
    if (!history.Run(seconds(2000)).empty()) {
      return seed;
    }
  }
  return 0;
}

} // namespace

/** Guards against a revoked key that keeps working on a partitioned VM, and against VMs that stop
    serving because the platform alone is down. */
class ConfigurationTrustTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationTrustTest);
  CPPUNIT_TEST(CountsFromBeforeRequests);
  CPPUNIT_TEST(ConfirmsAfterRegistering);
  CPPUNIT_TEST(OutlastsATotalOutage);
  CPPUNIT_TEST(KeepsTheBoundInSeededHistories);
  CPPUNIT_TEST(CatchesEachFault);
  CPPUNIT_TEST_SUITE_END();

public:
  void CountsFromBeforeRequests()
  {
    ConfigurationTrust trust{ VmId("vm-1") };
    CPPUNIT_ASSERT(!trust.IsTrusted(kStart));
    trust.SetVersion(3);
    trust.HeadRead(kStart, 3);
    CPPUNIT_ASSERT(trust.IsTrusted(kStart + milliseconds(4999)));
    CPPUNIT_ASSERT(!trust.IsTrusted(kStart + seconds(5)));
    Section("a read of a later head confirms once its changes are here", [&] {
      trust.HeadRead(kStart + seconds(6), 5);
      CPPUNIT_ASSERT(!trust.IsTrusted(kStart + seconds(6)));
      trust.SetVersion(4);
      CPPUNIT_ASSERT(!trust.IsTrusted(kStart + seconds(6)));
      trust.SetVersion(5);
      CPPUNIT_ASSERT(trust.IsTrusted(kStart + seconds(10)));
    });
    Section("a peer's confirmation is as old as it says, before the ping", [&] {
      TrustReport report;
      report.vm = { VmId("vm-2"), 1 };
      report.version = 5;
      report.confirmationAge = seconds(2);
      trust.PeerReported(kStart + seconds(20), kStart + seconds(21), report);
      CPPUNIT_ASSERT(trust.IsTrusted(kStart + milliseconds(22'900)));
      CPPUNIT_ASSERT(!trust.IsTrusted(kStart + seconds(23)));
    });
    Section("a version never goes back", [&] {
      trust.SetVersion(2);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, trust.Version());
    });
  }

  /** An earlier process of the VM had a change accepted that the peer, which is not registered and
      gave the new process its configuration, never saw. */
  void ConfirmsAfterRegistering()
  {
    ConfigurationTrust trust{ VmId("vm-1") };
    TrustReport report;
    report.vm = { VmId("vm-2"), 0 };
    report.version = 3;
    report.confirmationAge = seconds(250);
    trust.PeerReported(kStart, kStart, report);
    trust.SetVersion(3);
    trust.Registered(kStart + seconds(1), kStart + seconds(2), 8);
    trust.RegistrationsRead(
      kStart + seconds(3), kStart + seconds(4), { { { VmId("vm-1"), 8 }, 1 } });
    CPPUNIT_ASSERT(!trust.IsTrusted(kStart + seconds(4)));
    CPPUNIT_ASSERT(!trust.MayAcceptChanges(kStart + seconds(4)));
    trust.HeadRead(kStart + seconds(5), 3);
    CPPUNIT_ASSERT(trust.MayAcceptChanges(kStart + seconds(5)));
    CPPUNIT_ASSERT(trust.IsTrusted(kStart + seconds(100)));
  }

  void OutlastsATotalOutage()
  {
    TrustHistory history(1, 9, TrustFault::None, false);
    CPPUNIT_ASSERT_EQUAL(std::string(), history.Run(seconds(400)));
    CPPUNIT_ASSERT_EQUAL(9U, history.CountTrusting());
    // A change that is under way when the platform fails ends trust: it may have been accepted.
    history.StopChanges();
    history.Run(seconds(5));
    history.SetTableDown(true);
    Section("the outage alone ends nobody's trust", [&] {
      for (int i = 0; i < 90; ++i) {
        history.Run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(9U, history.CountTrusting());
      }
    });
    Section("a partition on top ends it after the bound: those on the other side may differ", [&] {
      history.Cut(0, 1);
      history.Run(seconds(7));
      // Failure domains 0 and 1 have three and two of the nine VMs.
      CPPUNIT_ASSERT_EQUAL(4U, history.CountTrusting());
    });
    Section("the registration leases end it in any case", [&] {
      history.Run(seconds(610));
      CPPUNIT_ASSERT_EQUAL(0U, history.CountTrusting());
    });
    Section("it returns with the platform", [&] {
      history.SetTableDown(false);
      history.Run(seconds(3));
      CPPUNIT_ASSERT_EQUAL(9U, history.CountTrusting());
    });
  }

  void KeepsTheBoundInSeededHistories()
  {
    std::uint64_t accepted = 0;
    std::uint64_t outage = 0;
    for (std::uint64_t seed = 1; seed <= 90; ++seed) {
      const unsigned vmCount = seed % 3 == 0 ? 9 : seed % 3 + 1;
      TrustHistory history(seed, vmCount, TrustFault::None, true);
      const std::string violation = history.Run(seconds(2000));
      Section("seed " + std::to_string(seed) + ", " + std::to_string(vmCount) + " VMs",
              [&] { CPPUNIT_ASSERT_EQUAL(std::string(), violation); });
      accepted += history.AcceptedCount();
      outage += history.OutageTrustCount();
    }
    std::cout << "ConfigurationTrust: 90 histories of 2000 s, " << accepted
              << " changes accepted, trusted " << outage << " times in total outages" << std::endl;
    Section("the histories exercise what they check", [&] {
      CPPUNIT_ASSERT(accepted > 500);
      CPPUNIT_ASSERT(outage > 1000);
    });
  }

  void CatchesEachFault()
  {
    const auto expect = [](TrustFault aFault, unsigned aVmCount) {
      const std::uint64_t seed = FirstCaught(aFault, aVmCount, 200);
      std::cout << "ConfigurationTrust: fault " << static_cast<int>(aFault) << " caught by seed "
                << seed << std::endl;
      Section("fault " + std::to_string(static_cast<int>(aFault)),
              [&] { CPPUNIT_ASSERT(seed != 0); });
    };
    expect(TrustFault::AcceptsUnknown, 2);
    expect(TrustFault::ConfirmsFromAnswer, 4);
    expect(TrustFault::PeerAgeFromArrival, 4);
    expect(TrustFault::HidesUnresolvedChange, 4);
    expect(TrustFault::RemovesRunningLease, 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTrustTest);

} // namespace mustardshift
