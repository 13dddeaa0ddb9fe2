#include "core/rate/OrganisationQuota.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mustardshift {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Section;

namespace {

const OrganisationName kOrganisation("organisation");
const VmId kSelf("vm-0");
const VmId kPeer("vm-1");
constexpr Instant kStart{ seconds(1000) };

std::vector<HeldQuotaShard> Shards(unsigned aFirst, unsigned aCount, Instant aDeadline)
{
  std::vector<HeldQuotaShard> shards;
  for (unsigned index = aFirst; index < aFirst + aCount; ++index) {
    shards.push_back({ { static_cast<std::uint8_t>(index) }, aDeadline });
  }
  return shards;
}

/** Takes all tokens that are available and returns how many were taken. */
int TakeAllTokens(OrganisationQuota& aQuota, Instant aNow)
{
  int taken = 0;
  while (true) {
    const auto admission = aQuota.Admit(aNow);
    if (!admission || !admission->isAdmitted) {
      if (admission) {
        aQuota.CancelWait(*admission);
      }
      return taken;
    }
    ++taken;
  }
}

QuotaLoanRequest Request(std::uint64_t aNumber, QuotaUnits aUnits)
{
  return { kOrganisation, kPeer, kSelf, 1, aNumber, aUnits, std::nullopt, 0 };
}

struct Counts
{
  std::uint64_t asked = 0;
  std::uint64_t refused = 0;
};

/** Simulates Poisson arrivals at nine tenths of the rate, all on one of nine VMs; peers reply to
    loan requests after two milliseconds. Counts the requests and the refusals after the first three
    seconds. */
Counts CountRefusals(std::uint64_t aSeed, double aRate, bool aWithLoans)
{
  constexpr unsigned kVmCount = 9;
  std::mt19937_64 random(aSeed);
  std::exponential_distribution<double> interarrivalTime(0.9 * aRate);
  std::vector<std::unique_ptr<OrganisationQuota>> quotas;
  std::vector<VmId> peers;
  unsigned firstShard = 0;
  for (unsigned index = 0; index < kVmCount; ++index) {
    peers.emplace_back("vm-" + std::to_string(index));
    quotas.push_back(
      std::make_unique<OrganisationQuota>(kOrganisation, peers.back(), 1, aRate, aRate));
    // The VM that receives the requests is one of those with a single shard.
    const unsigned count = index >= 1 && index <= 3 ? 2 : 1;
    quotas.back()->SetShards(kStart, Shards(firstShard, count, kStart + seconds(10'000)));
    firstShard += count;
  }
  TokenBucket fixedShare(aRate / kVmCount, aRate / kVmCount, 0, kStart);

  Counts counts;
  const auto count = [&](Instant aArrived, bool aIsRefused) {
    if (aArrived >= kStart + seconds(3)) {
      ++counts.asked;
      counts.refused += aIsRefused ? 1 : 0;
    }
  };
  struct Waiting
  {
    Instant arrived;
    Admission admission;
  };
  std::multimap<Instant, Waiting> waiting;
  const auto settle = [&](Instant aNow, Instant aArrived, const Outcome<Admission>& aOutcome) {
    if (aOutcome && !aOutcome->isAdmitted) {
      CPPUNIT_ASSERT(aOutcome->waitUntil > aNow);
      waiting.emplace(aOutcome->waitUntil, Waiting{ aArrived, *aOutcome });
      return;
    }
    CPPUNIT_ASSERT(aNow <= aArrived + kMaxAdmissionWait + milliseconds(2));
    count(aArrived, !aOutcome);
  };

  Instant nextLoans = kStart;
  Instant now = kStart;
  const Instant end = kStart + seconds(60);
  while (now < end) {
    now += Duration(1 + static_cast<std::int64_t>(interarrivalTime(random) * 1e6));
    if (!aWithLoans) {
      count(now, !fixedShare.TryTake(now));
      continue;
    }
    while (!waiting.empty() && waiting.begin()->first <= now) {
      const auto [at, waiter] = *waiting.begin();
      waiting.erase(waiting.begin());
      settle(at, waiter.arrived, quotas[0]->RetryAdmission(at, waiter.admission));
    }
    for (; nextLoans <= now; nextLoans += milliseconds(50)) {
      for (const QuotaLoanRequest& request : quotas[0]->PlanLoanRequests(nextLoans, peers)) {
        const std::size_t lender = std::stoul(request.lender.Text().substr(3));
        const QuotaLoanGrant grant = quotas[lender]->Lend(nextLoans + milliseconds(1), request);
        quotas[0]->Borrow(nextLoans + milliseconds(2), grant, nextLoans);
      }
    }
    settle(now, now, quotas[0]->Admit(now));
  }
  return counts;
}

} // namespace

/** Tests that no tokens or units are created when shards, loans or the configuration change, and
    that requests within the rate are hardly ever refused when all callers are on one VM. */
class OrganisationQuotaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OrganisationQuotaTest);
  CPPUNIT_TEST(ShardChangesCreateNoTokens);
  CPPUNIT_TEST(ConfigurationChangesCreateNoTokens);
  CPPUNIT_TEST(LendsOwnUnitsUntilItsLeaseEnds);
  CPPUNIT_TEST(ExtensionsNeverEnlargeALoan);
  CPPUNIT_TEST(QueuesRequestsForABoundedTime);
  CPPUNIT_TEST(RarelyRefusesWithinTheRate);
  CPPUNIT_TEST_SUITE_END();

public:
  void ShardChangesCreateNoTokens()
  {
    OrganisationQuota quota(kOrganisation, kSelf, 1, 120, 120);
    quota.SetShards(kStart, Shards(0, 2, kStart + seconds(10)));
    Section("a gained shard adds no tokens",
            [&] { CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, quota.Tokens(kStart), 1e-9); });
    Section("a lost shard removes its part of the tokens", [&] {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(20.0, quota.Tokens(kStart + seconds(5)), 1e-9);
      quota.SetShards(kStart + seconds(5), Shards(0, 1, kStart + seconds(10)));
      CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, quota.Tokens(kStart + seconds(5)), 1e-9);
    });
    Section(
      "an expired lease leaves no units and no tokens, even if no method was called meanwhile",
      [&] {
        CPPUNIT_ASSERT_EQUAL(QuotaUnits{ 0 }, quota.Units(kStart + seconds(20)));
        CPPUNIT_ASSERT_EQUAL(0, TakeAllTokens(quota, kStart + seconds(20)));
      });
    Section("a renewal observed after the lease expired restores no tokens", [&] {
      quota.SetShards(kStart + seconds(20), Shards(0, 1, kStart + seconds(600)));
      CPPUNIT_ASSERT_EQUAL(0, TakeAllTokens(quota, kStart + seconds(20)));
    });
  }

  void ConfigurationChangesCreateNoTokens()
  {
    OrganisationQuota quota(kOrganisation, kSelf, 1, 12, 12);
    quota.SetShards(kStart, Shards(0, 12, kStart + seconds(600)));
    const Instant later = kStart + seconds(60);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, quota.Tokens(later), 1e-9);
    quota.Configure(later, 1200, 1200);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, quota.Tokens(later), 1e-9);
    quota.Configure(later, 1, 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, quota.Tokens(later), 1e-9);
    quota.Configure(later, 0, 0);
    CPPUNIT_ASSERT_EQUAL(0, TakeAllTokens(quota, later + seconds(10)));
  }

  void LendsOwnUnitsUntilItsLeaseEnds()
  {
    OrganisationQuota lender(kOrganisation, kPeer, 1, 120, 120);
    OrganisationQuota borrower(kOrganisation, kSelf, 1, 120, 120);
    lender.SetShards(kStart, Shards(0, 2, kStart + seconds(20)));
    const Instant now = kStart + seconds(10);
    const QuotaLoanGrant grant = lender.Lend(now, Request(1, kQuotaUnitsPerShard));
    Section("units and tokens are removed from the lender before it returns the grant", [&] {
      CPPUNIT_ASSERT_EQUAL(kQuotaUnitsPerShard, grant.units);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, grant.tokens, 1e-6);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, lender.Tokens(now), 1e-6);
    });
    Section("a repeated request gets no second loan", [&] {
      CPPUNIT_ASSERT_EQUAL(QuotaUnits{ 0 }, lender.Lend(now, Request(1, 100'000)).units);
    });
    Section("a grant is applied once, and its duration counts from before the request was sent",
            [&] {
              CPPUNIT_ASSERT(borrower.Borrow(now + seconds(2), grant, now));
              CPPUNIT_ASSERT(!borrower.Borrow(now + seconds(2), grant, now));
              CPPUNIT_ASSERT_EQUAL(10, TakeAllTokens(borrower, now + seconds(2)));
              CPPUNIT_ASSERT_EQUAL(grant.units, borrower.Units(now + milliseconds(4999)));
              CPPUNIT_ASSERT_EQUAL(QuotaUnits{ 0 }, borrower.Units(now + seconds(5)));
              CPPUNIT_ASSERT(!borrower.Borrow(now + seconds(5), grant, now));
            });
    Section("borrowed units are not lent", [&] {
      QuotaLoanGrant other = grant;
      other.loan.number = 99;
      CPPUNIT_ASSERT(borrower.Borrow(now + seconds(5), other, now + seconds(5)));
      QuotaLoanRequest request = Request(2, kQuotaUnitsPerShard);
      std::swap(request.lender, request.borrower);
      CPPUNIT_ASSERT_EQUAL(QuotaUnits{ 0 }, borrower.Lend(now + seconds(5), request).units);
    });
    Section("the lender regains the units after the deadline plus the clock drift", [&] {
      CPPUNIT_ASSERT_EQUAL(kQuotaUnitsPerShard, lender.Units(now + milliseconds(5050)));
      CPPUNIT_ASSERT_EQUAL(2 * kQuotaUnitsPerShard, lender.Units(now + milliseconds(5051)));
    });
    Section("every loan ends before the lender's lease does", [&] {
      const QuotaLoanGrant shortGrant = lender.Lend(now + seconds(7), Request(3, 100'000));
      CPPUNIT_ASSERT(shortGrant.units > 0);
      CPPUNIT_ASSERT(WithClockDriftMargin(shortGrant.duration) <= seconds(3));
      CPPUNIT_ASSERT_EQUAL(QuotaUnits{ 0 },
                           lender.Lend(now + milliseconds(9500), Request(4, 100'000)).units);
    });
  }

  void ExtensionsNeverEnlargeALoan()
  {
    OrganisationQuota lender(kOrganisation, kPeer, 1, 120, 120);
    OrganisationQuota borrower(kOrganisation, kSelf, 1, 120, 120);
    lender.SetShards(kStart, Shards(0, 2, kStart + seconds(600)));
    const QuotaLoanGrant grant = lender.Lend(kStart, Request(1, kQuotaUnitsPerShard));
    CPPUNIT_ASSERT(borrower.Borrow(kStart, grant, kStart));
    QuotaLoanRequest extension = Request(2, kQuotaUnitsPerShard);
    extension.extends = grant.loan;
    const Instant later = kStart + seconds(4);
    // One shard was withdrawn in the meantime, so no more than the units of the other shard may
    // stay lent.
    lender.SetShards(later, Shards(0, 1, kStart + seconds(600)));
    const QuotaLoanGrant extensionGrant = lender.Lend(later, extension);
    CPPUNIT_ASSERT(extensionGrant.isExtension && extensionGrant.units > 0);
    CPPUNIT_ASSERT(extensionGrant.units < grant.units);
    Section("the rest stays lent until the previous end of the loan, since the reply may be lost",
            [&] {
              CPPUNIT_ASSERT_EQUAL(QuotaUnits{ 0 }, lender.Units(later));
              CPPUNIT_ASSERT_EQUAL(kQuotaUnitsPerShard - extensionGrant.units,
                                   lender.Units(kStart + milliseconds(5051)));
            });
    Section("the borrower's units decrease immediately, and earlier replies do not restore them",
            [&] {
              CPPUNIT_ASSERT(borrower.Borrow(later, extensionGrant, later));
              CPPUNIT_ASSERT_EQUAL(extensionGrant.units, borrower.Units(later));
              QuotaLoanGrant old = extensionGrant;
              old.units = grant.units;
              CPPUNIT_ASSERT(!borrower.Borrow(later, old, later - seconds(1)));
              CPPUNIT_ASSERT_EQUAL(extensionGrant.units, borrower.Units(kStart + seconds(6)));
              CPPUNIT_ASSERT_EQUAL(QuotaUnits{ 0 }, borrower.Units(later + seconds(5)));
            });
  }

  void QueuesRequestsForABoundedTime()
  {
    OrganisationQuota quota(kOrganisation, kSelf, 1, 100, 10);
    quota.SetShards(kStart, Shards(0, 12, kStart + seconds(600)));
    const Instant now = kStart + seconds(1);
    CPPUNIT_ASSERT_EQUAL(10, TakeAllTokens(quota, now));
    const auto first = quota.Admit(now);
    const auto second = quota.Admit(now);
    CPPUNIT_ASSERT(first && !first->isAdmitted && second && !second->isAdmitted);
    Section("new requests do not overtake waiting ones", [&] {
      const auto third = quota.Admit(first->waitUntil);
      CPPUNIT_ASSERT(third && !third->isAdmitted);
      quota.CancelWait(*third);
      CPPUNIT_ASSERT(quota.RetryAdmission(first->waitUntil, *first)->isAdmitted);
      CPPUNIT_ASSERT(quota.RetryAdmission(second->waitUntil, *second)->isAdmitted);
    });
    Section("requests that cannot be admitted within the maximum wait are refused immediately",
            [&] {
              int offered = 0;
              while (quota.Admit(now + milliseconds(30)).has_value()) {
                ++offered;
              }
              CPPUNIT_ASSERT(offered >= 19 && offered <= 22);
              const auto refused = quota.Admit(now + milliseconds(30));
              CPPUNIT_ASSERT(refused.error().reason == Reason::RateExceeded);
              CPPUNIT_ASSERT(refused.error().verdict == Verdict::NotRun);
            });
  }

  void RarelyRefusesWithinTheRate()
  {
    for (const double rate : { 50.0, 200.0, 2000.0 }) {
      Counts loans;
      Counts shares;
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const Counts withLoans = CountRefusals(seed, rate, true);
        const Counts withShares = CountRefusals(seed, rate, false);
        loans.asked += withLoans.asked;
        loans.refused += withLoans.refused;
        shares.asked += withShares.asked;
        shares.refused += withShares.refused;
      }
      std::cout << "OrganisationQuota: rate " << rate << ", with loans " << loans.refused << " of "
                << loans.asked << " refused, with equal fixed shares " << shares.refused << " of "
                << shares.asked << std::endl;
      CPPUNIT_ASSERT(loans.refused * 1000 <= loans.asked);
      CPPUNIT_ASSERT(shares.refused * 2 > shares.asked);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationQuotaTest);

} // namespace mustardshift
