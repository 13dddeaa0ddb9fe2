#include "proxy/rate/OrganisationBuckets.h"
#include "proxy/rate/PlanRateAllocation.h"
#include "support/Section.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace mustardshift::proxy {

using mustardshift::test::Section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const OrganisationName kBlue("blue");

std::map<OrganisationName, OrganisationLimit> Limits(double aRate)
{
  return { { kBlue, { aRate, aRate } } };
}

/** VMs "a", "b", ... that have the same demand. */
std::vector<AllocationMember> MakeMembers(std::size_t aCount, double aDemand)
{
  std::vector<AllocationMember> members(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    members[index].vm = VmId(std::string(1, static_cast<char>('a' + index)));
    members[index].demand[kBlue] = aDemand;
  }
  return members;
}

std::uint32_t SumOfParts(const RateAllocation& aAllocation)
{
  std::uint32_t sum = 0;
  for (const auto& [vm, share] : aAllocation.shares.at(kBlue)) {
    sum += share.parts;
  }
  return sum;
}

/** A VM in a simulation with seeded random events. */
struct SimulatedVm
{
  VmId id;
  OrganisationBuckets buckets;
  RateAllocation appliedAllocation;
  bool isUp = true;
  double demand = 0;
};

} // namespace

/** Guards against shares that together exceed the rate of an organisation while parts are moved,
    and against refused requests within the rate because the shares do not follow the demand. */
class RateAllocationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RateAllocationTest);
  CPPUNIT_TEST(EnforcedLimitsStayWithinTheTolerance);
  CPPUNIT_TEST(PartsMoveOnlyAfterTheirHolderConfirms);
  CPPUNIT_TEST(ExpiredVmsLoseTheirParts);
  CPPUNIT_TEST(SharesFollowDemand);
  CPPUNIT_TEST(LowDemandBarelyChangesShares);
  CPPUNIT_TEST(FewVmsOfALargeFleetHoldParts);
  CPPUNIT_TEST(AnExpiredLeaseStopsTheBuckets);
  CPPUNIT_TEST(AdmissionStaysWithinToleranceInRandomRuns);
  CPPUNIT_TEST(EncodedAllocationsRoundTrip);
  CPPUNIT_TEST_SUITE_END();

public:
  void EnforcedLimitsStayWithinTheTolerance()
  {
    for (const double rate : { 1.0, 20.0, 136.0, 2000.0 }) {
      for (const double burst : { 0.0, 1.0, 136.0 }) {
        const OrganisationLimit limit = EnforcedLimit({ rate, burst }, RateTolerance{});
        CPPUNIT_ASSERT(limit.ratePerSecond >= rate);
        CPPUNIT_ASSERT(limit.ratePerSecond * 5 + limit.burst <= (rate * 5 + burst) * 1.1 + 20);
      }
    }
    Section("without a tolerance the limit is no higher than configured", [] {
      const OrganisationLimit limit = EnforcedLimit({ 100, 100 }, { seconds(5), 0, 0 });
      CPPUNIT_ASSERT(limit.ratePerSecond * 5 + limit.burst <= 600);
    });
  }

  void PartsMoveOnlyAfterTheirHolderConfirms()
  {
    std::vector<AllocationMember> members{ { VmId("a"), {}, 0, { { kBlue, 10 } }, false },
                                           { VmId("b"), {}, 0, { { kBlue, 10 } }, false } };
    RateAllocation allocation = *PlanRateAllocation({}, members, Limits(100));
    CPPUNIT_ASSERT(allocation.PartsOf(kBlue, VmId("a")) >= 4900);
    members[0].demand[kBlue] = 0;
    members[1].demand[kBlue] = 90;
    members[0].confirmedVersion = allocation.version;
    members[1].confirmedVersion = allocation.version;
    allocation = *PlanRateAllocation(allocation, members, Limits(100));
    Section("revoked parts are not granted to others before a confirmation", [&] {
      CPPUNIT_ASSERT(allocation.PartsOf(kBlue, VmId("a")) < 3000);
      CPPUNIT_ASSERT(allocation.PartsOf(kBlue, VmId("b")) <= 5100);
    });
    Section("revoked parts are not granted when only the other VM has confirmed", [&] {
      members[1].confirmedVersion = allocation.version;
      const auto next = PlanRateAllocation(allocation, members, Limits(100));
      CPPUNIT_ASSERT(!next || next->PartsOf(kBlue, VmId("b")) <= 5100);
    });
    Section("revoked parts are granted once their holder has confirmed", [&] {
      members[0].confirmedVersion = allocation.version;
      allocation = *PlanRateAllocation(allocation, members, Limits(100));
      CPPUNIT_ASSERT(allocation.PartsOf(kBlue, VmId("b")) > 7000);
      CPPUNIT_ASSERT(SumOfParts(allocation) <= kRateParts);
    });
  }

  void ExpiredVmsLoseTheirParts()
  {
    std::vector<AllocationMember> members{ { VmId("a"), {}, 0, {}, false },
                                           { VmId("b"), {}, 0, {}, false } };
    RateAllocation allocation = *PlanRateAllocation({}, members, Limits(100));
    members[1].hasLeaseExpired = true;
    members[0].demand[kBlue] = 80;
    allocation = *PlanRateAllocation(allocation, members, Limits(100));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), allocation.PartsOf(kBlue, VmId("b")));
    CPPUNIT_ASSERT(allocation.PartsOf(kBlue, VmId("a")) > 9000);
    Section("the lease of a VM without a row counts as expired", [&] {
      members.erase(members.begin());
      members[0].hasLeaseExpired = false;
      allocation = *PlanRateAllocation(allocation, members, Limits(100));
      CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), allocation.PartsOf(kBlue, VmId("a")));
    });
  }

  void SharesFollowDemand()
  {
    std::vector<AllocationMember> members = MakeMembers(6, 4);
    members[2].demand[kBlue] = 40;
    RateAllocation allocation;
    for (int round = 0; round < 4; ++round) {
      auto next = PlanRateAllocation(allocation, members, Limits(100));
      if (!next) {
        break;
      }
      allocation = std::move(*next);
      for (AllocationMember& member : members) {
        member.confirmedVersion = allocation.version;
      }
    }
    Section("the share of each VM exceeds its demand", [&] {
      for (const AllocationMember& member : members) {
        const double rate = 100.0 * allocation.PartsOf(kBlue, member.vm) / kRateParts;
        CPPUNIT_ASSERT(rate > 1.1 * member.demand.at(kBlue));
      }
    });
    Section("an allocation that covers the demand is not changed",
            [&] { CPPUNIT_ASSERT(!PlanRateAllocation(allocation, members, Limits(100))); });
  }

  /** After an outage, the first request of an organisation arrives at one VM, but its next requests
      may arrive at any VM. Guards against moving most parts to the first VM. */
  void LowDemandBarelyChangesShares()
  {
    std::vector<AllocationMember> members = MakeMembers(6, 0);
    RateAllocation allocation = *PlanRateAllocation({}, members, Limits(20));
    members[0].demand[kBlue] = 2.7;
    for (int round = 0; round < 4; ++round) {
      for (AllocationMember& member : members) {
        member.confirmedVersion = allocation.version;
      }
      if (auto next = PlanRateAllocation(allocation, members, Limits(20))) {
        allocation = std::move(*next);
      }
    }
    for (const AllocationMember& member : members) {
      CPPUNIT_ASSERT(allocation.PartsOf(kBlue, member.vm) > 0.7 * kRateParts / 6);
    }
  }

  /** Guards against allocations that are too large to store and shares that are too small to use.
      With 89 VMs and 87 organisations, the allocation exceeded the largest row of the store (64
      KiB), so that no request was served. A small rate divided by 89 is less than one token per
      VM. */
  void FewVmsOfALargeFleetHoldParts()
  {
    std::map<OrganisationName, OrganisationLimit> limits;
    for (int index = 0; index < 87; ++index) {
      limits[OrganisationName("organisation-" + std::to_string(index))] = { 14, 14 };
    }
    std::vector<AllocationMember> members;
    RateAllocation allocation;
    const auto settle = [&] {
      for (int round = 0; round < 6; ++round) {
        for (AllocationMember& member : members) {
          member.confirmedVersion = allocation.version;
        }
        if (auto next = PlanRateAllocation(allocation, members, limits)) {
          allocation = std::move(*next);
        }
        for (const auto& [organisation, shares] : allocation.shares) {
          std::uint32_t reserved = 0;
          for (const auto& [vm, share] : shares) {
            reserved += share.reservedParts;
          }
          CPPUNIT_ASSERT(reserved <= kRateParts);
        }
      }
    };
    const auto join = [&](std::size_t aCount) {
      while (members.size() < aCount) {
        const std::size_t index = members.size();
        members.push_back({ VmId("front-kigali-" + std::to_string(index)),
                            FailureDomainName("kigali-" + std::to_string(index % 4)),
                            0,
                            {},
                            false });
      }
      settle();
    };
    join(6);
    Section("in a small fleet all VMs hold parts", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(6), allocation.shares.begin()->second.size());
    });
    join(89);
    Section("in a large fleet two VMs of each failure domain hold parts", [&] {
      for (const auto& [organisation, shares] : allocation.shares) {
        std::map<FailureDomainName, std::uint32_t> parts;
        for (const AllocationMember& member : members) {
          parts[member.domain] += allocation.PartsOf(organisation, member.vm);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), shares.size());
        for (const auto& [domain, count] : parts) {
          CPPUNIT_ASSERT(count > 0.8 * kRateParts / 4);
        }
      }
    });
    Section("the encoded allocation is well below the size limit of a row",
            [&] { CPPUNIT_ASSERT(EncodeRateAllocation(allocation).size() < 64 * 1024 / 2); });
    Section("a stopped holder is replaced by a VM of its failure domain", [&] {
      const VmId stoppedVm = allocation.shares.begin()->second.begin()->first;
      const auto member = std::find_if(members.begin(), members.end(), [&](const auto& aMember) {
        return aMember.vm == stoppedVm;
      });
      member->hasLeaseExpired = true;
      settle();
      const auto& shares = allocation.shares.begin()->second;
      CPPUNIT_ASSERT_EQUAL(std::size_t(8), shares.size());
      CPPUNIT_ASSERT(!shares.contains(stoppedVm));
    });
  }

  void AnExpiredLeaseStopsTheBuckets()
  {
    const Instant start{ seconds(100) };
    OrganisationBuckets buckets(VmId("a"));
    RateAllocation allocation;
    allocation.shares[kBlue][VmId("a")] = { kRateParts, kRateParts, 1 };
    buckets.Configure(start, Limits(100), allocation);
    buckets.SetLease(start + seconds(5));
    CPPUNIT_ASSERT(buckets.TryTake(start + seconds(4), kBlue));
    CPPUNIT_ASSERT(!buckets.TryTake(start + seconds(5), kBlue));
    CPPUNIT_ASSERT(!buckets.NextTokenAt(start + seconds(5), kBlue));
  }

  void AdmissionStaysWithinToleranceInRandomRuns()
  {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      this->RunRandomSimulation(seed);
    }
  }

  void EncodedAllocationsRoundTrip()
  {
    RateAllocation allocation;
    allocation.version = 7;
    allocation.shares[kBlue][VmId("a")] = { 4000, 5000, 6 };
    const std::string bytes = EncodeRateAllocation(allocation);
    CPPUNIT_ASSERT(DecodeRateAllocation(bytes) == allocation);
    CPPUNIT_ASSERT(!DecodeRateAllocation("no such thing"));
    CPPUNIT_ASSERT(!DecodeRateAllocation(bytes.substr(0, bytes.size() - 1)));
  }

private:
  /** VMs read the allocation late, restart without tokens, and receive more requests than their
      rate allows. In any window of 5 s, the admitted operations must stay within the tolerance. */
  void RunRandomSimulation(unsigned aSeed)
  {
    std::mt19937 random(aSeed);
    const auto limits = Limits(40);
    const RateTolerance tolerance;
    Instant now{ seconds(100) };
    std::vector<SimulatedVm> vms;
    vms.reserve(6);
    for (int index = 0; index < 6; ++index) {
      const VmId id("vm-" + std::to_string(index));
      vms.push_back({ id, OrganisationBuckets(id, tolerance), {}, true, 10.0 });
    }
    RateAllocation allocation;
    std::deque<Instant> admissionTimes;
    const double bound = (40 * 5 + 40) * 1.1 + 20;
    for (int step = 0; step < 3000; ++step) {
      now += milliseconds(20);
      if (step % 50 == 0) {
        this->ChangeLoadAndRestart(random, vms, now, tolerance);
        this->PlanAndCheck(vms, allocation, limits);
      }
      for (SimulatedVm& vm : vms) {
        this->ReadAllocationAtRandom(random, vm, allocation, limits, now);
        std::poisson_distribution<int> arrivals(vm.demand * 0.02);
        for (int left = vm.isUp ? arrivals(random) : 0; left > 0; --left) {
          vm.buckets.CountDemand(now, kBlue);
          if (vm.buckets.TryTake(now, kBlue)) {
            admissionTimes.push_back(now);
          }
        }
      }
      while (!admissionTimes.empty() && now - admissionTimes.front() > tolerance.window) {
        admissionTimes.pop_front();
      }
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(aSeed) + " step " + std::to_string(step),
                             static_cast<double>(admissionTimes.size()) <= bound);
    }
  }

  void ChangeLoadAndRestart(std::mt19937& aRandom,
                            std::vector<SimulatedVm>& aVms,
                            Instant aNow,
                            const RateTolerance& aTolerance)
  {
    for (SimulatedVm& vm : aVms) {
      vm.buckets.SetLease(aNow + seconds(5));
      if (aRandom() % 20 == 0) {
        vm.demand = static_cast<double>(aRandom() % 120);
      }
      if (aRandom() % 40 == 0) {
        // Restarted: the VM has to read the current allocation again.
        vm.buckets = OrganisationBuckets(vm.id, aTolerance);
        vm.appliedAllocation = RateAllocation{};
      }
    }
  }

  void PlanAndCheck(const std::vector<SimulatedVm>& aVms,
                    RateAllocation& aAllocation,
                    const std::map<OrganisationName, OrganisationLimit>& aLimits)
  {
    std::vector<AllocationMember> members;
    members.reserve(aVms.size());
    for (const SimulatedVm& vm : aVms) {
      members.push_back(
        { vm.id, {}, vm.appliedAllocation.version, { { kBlue, vm.demand } }, false });
    }
    if (auto next = PlanRateAllocation(aAllocation, members, aLimits)) {
      aAllocation = std::move(*next);
    }
    for (const auto& [vm, share] : aAllocation.shares[kBlue]) {
      CPPUNIT_ASSERT(share.reservedParts >= share.parts);
    }
    CPPUNIT_ASSERT(SumOfParts(aAllocation) <= kRateParts);
  }

  void ReadAllocationAtRandom(std::mt19937& aRandom,
                              SimulatedVm& aVm,
                              const RateAllocation& aAllocation,
                              const std::map<OrganisationName, OrganisationLimit>& aLimits,
                              Instant aNow)
  {
    if (aRandom() % 100 == 0) {
      aVm.appliedAllocation = aAllocation;
      aVm.buckets.Configure(aNow, aLimits, aAllocation);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateAllocationTest);

} // namespace mustardshift::proxy
