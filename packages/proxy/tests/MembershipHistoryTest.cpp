#include "proxy/tests/FleetSimulation.h"
#include "support/Section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mustardshift::proxy {

using mustardshift::test::Section;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::FleetSimulation;

namespace {

std::size_t CountRole(const FleetSimulation& aFleet, FleetRole aRole)
{
  return static_cast<std::size_t>(
    std::count_if(aFleet.vms.begin(), aFleet.vms.end(), [&](const auto& aVm) {
      return aVm.proxy->Role() == aRole;
    }));
}

/** Number of members that each failure domain should have. */
std::size_t MembersOfDomain(const FleetSimulation& aFleet)
{
  return MembersPerDomainOfFleet(MembersPerDomain(FleetSimulation::kFailureDomainCount),
                                 aFleet.vms.size());
}

std::size_t CountReady(const FleetSimulation& aFleet)
{
  return static_cast<std::size_t>(
    std::count_if(aFleet.vms.begin(), aFleet.vms.end(), [&](const auto& aVm) {
      return aVm.proxy->IsReady(aFleet.now);
    }));
}

/** Runs one statement on each VM and returns how many were served. */
std::size_t CountServed(FleetSimulation& aFleet, const std::string& aKey)
{
  std::size_t servedCount = 0;
  for (std::size_t vm = 0; vm < aFleet.vms.size(); ++vm) {
    aFleet.RunStatement(vm, "board", aKey, "READ slot-1", [&](Instant, const ClientReply& aReply) {
      servedCount += aReply.error ? 0 : 1;
    });
    // Half of the organisation's rate: parts of it are reserved while their holders are gone.
    aFleet.Advance(milliseconds(33));
  }
  aFleet.Advance(milliseconds(500));
  return servedCount;
}

double CallsPerSecond(FleetSimulation& aFleet, seconds aTime)
{
  const std::size_t before = aFleet.store.callCount;
  aFleet.Advance(aTime);
  return static_cast<double>(aFleet.store.callCount - before) / static_cast<double>(aTime.count());
}

} // namespace

/** Histories of fleets in which most VMs are attached to a few members: guards against load on the
    store that grows with the fleet, and against VMs that stay without a member. */
class MembershipHistoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipHistoryTest);
  CPPUNIT_TEST(StoreCallsDoNotGrowWithTheFleet);
  CPPUNIT_TEST(SmallFleetsHaveMembersOnly);
  CPPUNIT_TEST(FewMembersWatchTheTables);
  CPPUNIT_TEST(ConfirmationsAreRecentAndNeverTooNew);
  CPPUNIT_TEST(ChangesReachAttachedVmsAtOnce);
  CPPUNIT_TEST(MembersThatStopAreReplaced);
  CPPUNIT_TEST(MostVmsMayStopAtOnce);
  CPPUNIT_TEST(ExcessMembersLeave);
  CPPUNIT_TEST(AllVmsShareTheConnections);
  CPPUNIT_TEST(SilentAttachedVmsKeepServing);
  CPPUNIT_TEST(StoreOutagesCauseNoStampede);
  CPPUNIT_TEST(RestartedVmsUseNothingOld);
  CPPUNIT_TEST(LateFirstConfigurationCausesNoCalls);
  CPPUNIT_TEST_SUITE_END();

public:
  /** The pattern of a fleet of hundreds of VMs: each call to the store has a price, and all VMs
      share its rates. */
  void StoreCallsDoNotGrowWithTheFleet()
  {
    std::map<std::size_t, double> callsPerSecond;
    for (const std::size_t vms : { std::size_t(20), std::size_t(300), std::size_t(800) }) {
      FleetSimulation fleet(vms, 101);
      Section(std::to_string(vms) + " VMs are ready after their start",
              [&] { CPPUNIT_ASSERT_EQUAL(vms, CountReady(fleet)); });
      Section("the start takes at most four calls of each VM, and those of the members", [&] {
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.store.callCount),
                               fleet.store.callCount <= 4 * vms + 30 * kWantedMembers);
      });
      // Until the members in excess have left.
      fleet.Advance(seconds(15));
      callsPerSecond[vms] = CallsPerSecond(fleet, seconds(5));
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(callsPerSecond[800]), callsPerSecond[800] < 20);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(callsPerSecond[300]) + " and " +
                             std::to_string(callsPerSecond[20]),
                           callsPerSecond[300] < 1.5 * callsPerSecond[20]);
  }

  void SmallFleetsHaveMembersOnly()
  {
    FleetSimulation fleet(9, 102);
    CPPUNIT_ASSERT_EQUAL(std::size_t(9), CountRole(fleet, FleetRole::Member));
  }

  /** The pattern of a large fleet whose members all watch the same tables: two thirds of its calls
      to the store. Guards against members that go on watching, and against a fleet in which nobody
      watches after the watchers have stopped. */
  void FewMembersWatchTheTables()
  {
    FleetSimulation fleet(60, 127);
    fleet.Advance(seconds(15));
    const auto countWatchers = [&] {
      return std::count_if(fleet.vms.begin(), fleet.vms.end(), [](const auto& aVm) {
        return aVm.proxy->Role() == FleetRole::Member &&
               aVm.proxy->Fleet().IsWatcher(VmId(aVm.name));
      });
    };
    const auto domains = static_cast<std::ptrdiff_t>(FleetSimulation::kFailureDomainCount);
    CPPUNIT_ASSERT_EQUAL(domains, countWatchers());
    Section("all watchers stop at once: other members watch instead", [&] {
      for (std::size_t index = fleet.vms.size(); index-- > 0;) {
        const auto& vm = fleet.vms[index];
        if (vm.proxy->Role() == FleetRole::Member && vm.proxy->Fleet().IsWatcher(VmId(vm.name))) {
          fleet.Kill(index);
        }
      }
      for (int step = 0; step < 100; ++step) {
        fleet.Advance(milliseconds(100));
        for (const auto& vm : fleet.vms) {
          CPPUNIT_ASSERT(vm.proxy->Cluster().IsTrusted(fleet.now));
        }
      }
      CPPUNIT_ASSERT_EQUAL(domains, countWatchers());
    });
  }

  /** Guards against notices that make a configuration look newer than it is, so that a withdrawn
      key is served for too long, and against confirmations that reach the VMs late. */
  void ConfirmationsAreRecentAndNeverTooNew()
  {
    for (unsigned seed = 1; seed <= 4; ++seed) {
      FleetSimulation fleet(60, 130 + seed);
      fleet.Advance(seconds(15));
      Section("no VM's confirmation is older than two watches and the way", [&] {
        for (int step = 0; step < 30; ++step) {
          fleet.Advance(milliseconds(100));
          for (const auto& vm : fleet.vms) {
            CPPUNIT_ASSERT(fleet.now - vm.proxy->Cluster().ConfirmedAt() <= milliseconds(1700));
          }
        }
      });
      Section("messages are late, and the store stops answering", [&] {
        fleet.maxReportDelayMs = 600;
        fleet.Advance(seconds(2));
        fleet.store.behaviour = [](const std::string&) { return test::StoreBehaviour::Refuse; };
        const Instant lostAt = fleet.now;
        for (int step = 0; step < 30; ++step) {
          fleet.Advance(milliseconds(100));
          for (const auto& vm : fleet.vms) {
            CPPUNIT_ASSERT(vm.proxy->Cluster().ConfirmedAt() <= lostAt);
          }
        }
      });
    }
  }

  /** An attached VM has to know of an evacuation well before the bound of the operators, of which a
      draining primary takes the larger part. */
  void ChangesReachAttachedVmsAtOnce()
  {
    FleetSimulation fleet(60, 103);
    fleet.Advance(seconds(12));
    const std::size_t callsBefore = fleet.store.callCount;
    const auto readyAtAll = [&](std::size_t aCount) {
      return std::all_of(fleet.vms.begin(), fleet.vms.end(), [&](const auto& aVm) {
        return aVm.proxy->Cluster().ReadyServers(DatabaseName("fittings")).size() == aCount;
      });
    };
    Section("a failure domain goes out of service", [&] {
      fleet.store.Put("operators", "evacuate-domain-s3", "{}");
      fleet.Advance(milliseconds(300));
      CPPUNIT_ASSERT(readyAtAll(2));
    });
    Section("it comes back", [&] {
      fleet.store.Remove("operators", "evacuate-domain-s3");
      fleet.Advance(milliseconds(300));
      CPPUNIT_ASSERT(readyAtAll(3));
    });
    Section("a server begins to drain", [&] {
      fleet.store.Put("servers", "s2", "replica draining fittings");
      fleet.Advance(milliseconds(300));
      CPPUNIT_ASSERT(readyAtAll(2));
    });
    Section("a key is withdrawn", [&] {
      fleet.Configure({ "key-green=green" });
      fleet.Advance(milliseconds(300));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), CountServed(fleet, "key-blue"));
    });
    Section("the attached VMs read the changes from members, not from the store", [&] {
      // Four changes, each read by the members' watches.
      const double calls = static_cast<double>(fleet.store.callCount - callsBefore);
      const double elapsed = 4 * 0.3 + 60 * 0.033 + 0.5;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(calls),
                             calls < 60 * elapsed + 8.0 * static_cast<double>(kWantedMembers));
      CPPUNIT_ASSERT(fleet.peerReadCount > 0);
    });
  }

  void MembersThatStopAreReplaced()
  {
    FleetSimulation fleet(60, 104);
    fleet.Advance(seconds(12));
    const FailureDomainName domain = fleet.vms[0].domain;
    const auto stopMembersOfDomain = [&] {
      std::size_t stopped = 0;
      for (std::size_t index = fleet.vms.size(); index-- > 0;) {
        if (fleet.vms[index].domain == domain &&
            fleet.vms[index].proxy->Role() == FleetRole::Member) {
          fleet.Kill(index);
          ++stopped;
        }
      }
      return stopped;
    };
    const auto membersOfDomain = [&] {
      return std::count_if(fleet.vms.begin(), fleet.vms.end(), [&](const auto& aVm) {
        return aVm.domain == domain && aVm.proxy->Role() == FleetRole::Member;
      });
    };
    Section("all members of a failure domain stop at once", [&] {
      CPPUNIT_ASSERT(stopMembersOfDomain() >= 2);
      fleet.Advance(milliseconds(2500));
      Section("the VMs attached to them are served by others", [&] {
        CPPUNIT_ASSERT_EQUAL(fleet.vms.size(), CountReady(fleet));
        CPPUNIT_ASSERT_EQUAL(fleet.vms.size(), CountServed(fleet, "key-green"));
      });
      // Several may have registered at the same time; each in excess leaves after 10 s.
      fleet.Advance(seconds(60));
      CPPUNIT_ASSERT_EQUAL(MembersOfDomain(fleet), static_cast<std::size_t>(membersOfDomain()));
    });
    Section("one member stops, and one VM is invited in its place", [&] {
      for (std::size_t index = 0; index < fleet.vms.size(); ++index) {
        if (fleet.vms[index].domain == domain &&
            fleet.vms[index].proxy->Role() == FleetRole::Member) {
          fleet.Kill(index);
          break;
        }
      }
      fleet.Advance(seconds(12));
      CPPUNIT_ASSERT_EQUAL(MembersOfDomain(fleet), static_cast<std::size_t>(membersOfDomain()));
    });
  }

  /** 55 % of the VMs are killed and start again at the same moment. */
  void MostVmsMayStopAtOnce()
  {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      FleetSimulation fleet(100, 110 + seed);
      fleet.Advance(seconds(5));
      for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        if (fleet.random() % 100 < 55) {
          fleet.Restart(vm);
        }
      }
      fleet.Advance(milliseconds(3500));
      CPPUNIT_ASSERT_EQUAL(fleet.vms.size(), CountReady(fleet));
      CPPUNIT_ASSERT(CountServed(fleet, "key-green") >= 95);
    }
    Section("all of them", [] {
      FleetSimulation fleet(100, 120);
      fleet.Advance(seconds(5));
      for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
        fleet.Restart(vm);
      }
      fleet.Advance(milliseconds(3500));
      CPPUNIT_ASSERT_EQUAL(fleet.vms.size(), CountReady(fleet));
    });
  }

  void ExcessMembersLeave()
  {
    FleetSimulation fleet(200, 121);
    fleet.Advance(seconds(60));
    CPPUNIT_ASSERT_EQUAL(FleetSimulation::kFailureDomainCount * MembersOfDomain(fleet),
                         CountRole(fleet, FleetRole::Member));
    CPPUNIT_ASSERT_EQUAL(fleet.vms.size(), CountReady(fleet));
    Section("their rates are held by the others",
            [&] { CPPUNIT_ASSERT(CountServed(fleet, "key-green") >= 195); });
  }

  /** Guards against members that divide the servers' connections among themselves only. */
  void AllVmsShareTheConnections()
  {
    FleetSimulation fleet(60, 124);
    // Until the members in excess have left and their rows have expired.
    fleet.Advance(seconds(60));
    for (const auto& vm : fleet.vms) {
      CPPUNIT_ASSERT_EQUAL(fleet.vms.size(), vm.proxy->Fleet().VmCount());
    }
    Section("VMs that have stopped are no longer counted", [&] {
      for (int count = 0; count < 20; ++count) {
        fleet.Kill(fleet.vms.size() - 1);
      }
      fleet.Advance(seconds(15));
      CPPUNIT_ASSERT_EQUAL(fleet.vms.size(), fleet.vms.front().proxy->Fleet().VmCount());
    });
  }

  /** Guards against a VM whose messages are lost for a while being given up: it keeps its sessions
      and serves until its configuration can't be trusted any longer. */
  void SilentAttachedVmsKeepServing()
  {
    FleetSimulation fleet(60, 122);
    fleet.Advance(seconds(12));
    const auto attached = std::find_if(fleet.vms.begin(), fleet.vms.end(), [](const auto& aVm) {
      return aVm.proxy->Role() == FleetRole::Attached;
    });
    const auto index = static_cast<std::size_t>(attached - fleet.vms.begin());
    fleet.unreachablePeers = { attached->name };
    for (int step = 0; step < 100; ++step) {
      fleet.Advance(milliseconds(100));
      CPPUNIT_ASSERT(fleet.vms[index].proxy->Cluster().IsTrusted(fleet.now));
    }
    Section("it is counted again when its messages arrive again", [&] {
      fleet.unreachablePeers.clear();
      fleet.Advance(seconds(5));
      CPPUNIT_ASSERT(fleet.vms[index].proxy->IsReady(fleet.now));
    });
  }

  /** A process that starts may get its first copies from a member that has lost the store. A key
     that was withdrawn, or a server that has left, must not come back with them. */
  void RestartedVmsUseNothingOld()
  {
    FleetSimulation fleet(60, 125);
    fleet.Advance(seconds(12));
    const FailureDomainName domain = fleet.vms[0].domain;
    std::size_t restarted = 0;
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
      if (fleet.vms[vm].domain == domain) {
        const bool isMember = fleet.vms[vm].proxy->Role() == FleetRole::Member;
        fleet.vms[vm].store->isDisconnected = isMember;
        restarted = isMember ? restarted : vm;
      }
    }
    fleet.Advance(milliseconds(100));
    fleet.Configure({ "key-green=green" });
    fleet.store.Remove("servers", "s3");
    const Instant changedAt = fleet.now;
    fleet.Advance(milliseconds(500));
    fleet.Restart(restarted);
    std::size_t servedWithOldKey = 0;
    std::size_t served = 0;
    while (fleet.now - changedAt < seconds(14)) {
      fleet.Advance(milliseconds(100));
      const bool isLate = fleet.now - changedAt > seconds(5);
      fleet.RunStatement(
        restarted, "board", "key-blue", "READ slot-1", [&](Instant, const ClientReply& aReply) {
          servedWithOldKey += isLate && !aReply.error ? 1 : 0;
        });
      fleet.RunStatement(
        restarted, "board", "key-green", "READ slot-1", [&](Instant, const ClientReply& aReply) {
          served += aReply.error ? 0 : 1;
        });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), servedWithOldKey);
    CPPUNIT_ASSERT(fleet.vms[restarted].proxy->Cluster().Find(ServerId("s3")) == nullptr);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(served), served > 60);
  }

  /** The pattern of a fleet that starts 10 s before its operators write the first configuration:
     VMs that look for another member again and again call the store each time. */
  void LateFirstConfigurationCausesNoCalls()
  {
    FleetSimulation fleet(60, 126, false);
    fleet.Advance(seconds(4));
    // The members make up to 3 calls a second; each VM reads the table once or twice.
    const std::size_t members = CountRole(fleet, FleetRole::Member);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.store.callCount),
                           fleet.store.callCount <= members * 3 * 10 + 3 * fleet.vms.size());
    Section("all VMs are ready soon after it", [&] {
      fleet.Configure({ "key-green=green" });
      fleet.Advance(seconds(3));
      CPPUNIT_ASSERT_EQUAL(fleet.vms.size(), CountReady(fleet));
    });
  }

  /** Calls that the store refuses have a price as well. */
  void StoreOutagesCauseNoStampede()
  {
    FleetSimulation fleet(200, 123);
    fleet.Advance(seconds(12));
    fleet.store.behaviour = [](const std::string&) { return test::StoreBehaviour::Refuse; };
    const double calls = CallsPerSecond(fleet, seconds(8));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls < 200);
    fleet.store.behaviour = nullptr;
    fleet.Advance(seconds(3));
    CPPUNIT_ASSERT_EQUAL(fleet.vms.size(), CountReady(fleet));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipHistoryTest);

} // namespace mustardshift::proxy
