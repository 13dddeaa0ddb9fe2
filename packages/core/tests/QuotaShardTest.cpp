#include "core/lease/QuotaShardHolder.h"
#include "core/lease/QuotaShardPlan.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace mustardshift {

using std::chrono::seconds;
using test::Section;

namespace {

const VmId kSelf("vm-1");
const VmId kOther("vm-2");
constexpr Instant kStart{ seconds(1000) };
constexpr QuotaShardId kShard{ 3 };

QuotaShardHolder HolderWithAllRowsFree(Instant aNow)
{
  QuotaShardHolder holder(kSelf, 7, kStart);
  for (const QuotaShardRow& row : QuotaShardHolder(kSelf, 7, kStart).Rows()) {
    holder.Observe(aNow, row);
  }
  return holder;
}

QuotaShardRow RowOf(const QuotaShardWrite& aWrite)
{
  return { aWrite.changes.front().shard,
           aWrite.holder,
           aWrite.incarnation,
           aWrite.operation,
           aWrite.changes.front().expectedVersion + 1,
           {} };
}

} // namespace

/** Tests that no VM uses a lease for longer than the other readers of the table expect, and that no
    shard is in use while another VM may take it over. */
class QuotaShardTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuotaShardTest);
  CPPUNIT_TEST(DividesConnectionsExactly);
  CPPUNIT_TEST(RecoversALostReplyFromTheRow);
  CPPUNIT_TEST(KeepsAWithdrawnShardOutOfUse);
  CPPUNIT_TEST(PlansTakeoversAndRebalancing);
  CPPUNIT_TEST_SUITE_END();

public:
  void DividesConnectionsExactly()
  {
    for (unsigned limit = 0; limit < 100; ++limit) {
      unsigned sum = 0;
      for (unsigned index = 0; index < kQuotaShardsPerCell; ++index) {
        sum += ConnectionLimitOfShard({ static_cast<std::uint8_t>(index) }, limit);
      }
      CPPUNIT_ASSERT_EQUAL(limit, sum);
    }
  }

  void RecoversALostReplyFromTheRow()
  {
    QuotaShardHolder holder = HolderWithAllRowsFree(kStart);
    const QuotaShardWrite first = holder.BeginWrite(kStart, { kShard });
    const QuotaShardWrite second = holder.BeginWrite(kStart + seconds(50), { kShard });
    CPPUNIT_ASSERT(holder.HeldShards(kStart + seconds(50)).empty());
    Section("the lease is counted from the write that took effect, not from a later one", [&] {
      holder.Observe(kStart + seconds(60), RowOf(first));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, holder.HeldShards(kStart + seconds(599)).size());
      CPPUNIT_ASSERT(holder.HeldShards(kStart + seconds(600)).empty());
      holder.WriteRejected(second);
    });
    Section("a reply that arrives after the row was read back changes nothing", [&] {
      holder.WriteCommitted(kStart + seconds(70), first);
      CPPUNIT_ASSERT(holder.HeldShards(kStart + seconds(600)).empty());
    });
    Section("a row written by an earlier process grants no lease", [&] {
      QuotaShardHolder restarted(kSelf, 8, kStart);
      restarted.Observe(kStart, RowOf(first));
      CPPUNIT_ASSERT(restarted.HeldShards(kStart).empty());
    });
    Section("a newer row with another holder ends the lease, an older row does not", [&] {
      QuotaShardRow row = RowOf(first);
      row.holder = kOther;
      row.version = 0;
      holder.Observe(kStart + seconds(80), row);
      CPPUNIT_ASSERT(!holder.HeldShards(kStart + seconds(80)).empty());
      row.version = 2;
      holder.Observe(kStart + seconds(80), row);
      CPPUNIT_ASSERT(holder.HeldShards(kStart + seconds(80)).empty());
    });
  }

  void KeepsAWithdrawnShardOutOfUse()
  {
    QuotaShardHolder holder = HolderWithAllRowsFree(kStart);
    holder.WriteCommitted(kStart, holder.BeginWrite(kStart, { kShard }));
    const QuotaShardWrite renewal = holder.BeginWrite(kStart + seconds(1), { kShard });
    holder.Withdraw(kStart + seconds(2), kShard);
    Section("a renewal sent before the withdrawal does not restore the lease", [&] {
      holder.WriteCommitted(kStart + seconds(3), renewal);
      CPPUNIT_ASSERT(holder.HeldShards(kStart + seconds(3)).empty());
    });
    Section(
      "a release whose outcome is unknown keeps the shard out of use until a later write "
      "takes effect",
      [&] {
        holder.BeginRelease(kStart + seconds(10), { kShard });
        const QuotaShardWrite laterWrite = holder.BeginWrite(kStart + seconds(20), { kShard });
        CPPUNIT_ASSERT(holder.HeldShards(kStart + seconds(20)).empty());
        holder.WriteCommitted(kStart + seconds(21), laterWrite);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, holder.HeldShards(kStart + seconds(21)).size());
      });
  }

  void PlansTakeoversAndRebalancing()
  {
    QuotaShardHolder holder = HolderWithAllRowsFree(kStart);
    Section("free shards are divided evenly among the live VMs", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 },
                           PlanQuotaShards(kStart, holder, { kOther }, false, true).claim.size());
    });
    Section("a holder that has crashed keeps its shard for the lease duration plus the clock drift",
            [&] {
              holder.Observe(kStart, { kShard, VmId("gone"), 1, 1, 1, {} });
              const auto claims = [&](Instant aNow) {
                return PlanQuotaShards(aNow, holder, {}, false, true).claim.size();
              };
              CPPUNIT_ASSERT_EQUAL(std::size_t{ 11 }, claims(kStart + seconds(606)));
              CPPUNIT_ASSERT_EQUAL(std::size_t{ 12 }, claims(kStart + seconds(607)));
            });
    Section(
      "the shard of an earlier process of this VM is taken over after the maximum loan duration",
      [&] {
        holder.Observe(kStart, { kShard, kSelf, 6, 1, 2, {} });
        const auto claims = [&](Instant aNow) {
          return PlanQuotaShards(aNow, holder, {}, false, true).claim.size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 11 }, claims(kStart + seconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 12 }, claims(kStart + seconds(6)));
      });
    Section("a joining VM receives its part of the shards after the loans have ended", [&] {
      std::vector<QuotaShardId> all;
      for (const QuotaShardRow& row : holder.Rows()) {
        all.push_back(row.shard);
      }
      holder.WriteCommitted(kStart, holder.BeginWrite(kStart, all));
      const auto plan = [&](Instant aNow, bool aConnectionsAreWithinAllowance) {
        return PlanQuotaShards(aNow, holder, { kOther }, false, aConnectionsAreWithinAllowance);
      };
      const QuotaShardPlan first = plan(kStart, true);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, first.withdraw.size());
      CPPUNIT_ASSERT(first.release.empty() && first.renew.empty());
      for (const QuotaShardId shard : first.withdraw) {
        holder.Withdraw(kStart, shard);
      }
      CPPUNIT_ASSERT(plan(kStart + seconds(5), true).release.empty());
      CPPUNIT_ASSERT(plan(kStart + seconds(6), false).release.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, plan(kStart + seconds(6), true).release.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, plan(kStart + seconds(201), true).renew.size());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaShardTest);

} // namespace mustardshift
