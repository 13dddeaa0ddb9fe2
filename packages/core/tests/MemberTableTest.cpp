#include "core/membership/MemberTable.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace mustardshift {

using std::chrono::seconds;
using test::Section;

namespace {

constexpr Instant kStart{ seconds(1000) };

MemberRow RowOf(const std::string& aVm, const std::string& aFailureDomain)
{
  return { { { VmId(aVm), 1 }, 1 }, aVm + ":1", FailureDomainName(aFailureDomain) };
}

} // namespace

/** Guards against work, quota loans or quota shards that are assigned to VMs that no longer exist,
    are unreachable or are drained. */
class MemberTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MemberTableTest);
  CPPUNIT_TEST(SeparatesExistenceFromReachability);
  CPPUNIT_TEST(LeavesDrainedVmsOut);
  CPPUNIT_TEST_SUITE_END();

public:
  void SeparatesExistenceFromReachability()
  {
    MemberTable table(VmId("a"), FailureDomainName("fd-1"));
    table.OnRowsRead(kStart, { RowOf("a", "fd-1"), RowOf("b", "fd-2") });
    table.OnListRead(kStart, { { VmId("c"), "c:1", false } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, table.OtherMembers(kStart).size());
    CPPUNIT_ASSERT(table.ReachablePeers(kStart).empty());
    table.OnPong(kStart, VmId("b"), false);
    table.OnPong(kStart - seconds(2), VmId("b"), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.ReachablePeers(kStart + seconds(3)).size());
    CPPUNIT_ASSERT(table.ReachablePeers(kStart + seconds(4)).empty());
    Section("the result of an earlier read is ignored when it arrives late", [&] {
      table.OnRowsRead(kStart - seconds(1), {});
      CPPUNIT_ASSERT(table.FailureDomainOf(VmId("b")) == FailureDomainName("fd-2"));
    });
  }

  void LeavesDrainedVmsOut()
  {
    MemberTable table(VmId("a"), FailureDomainName("fd-1"));
    table.OnRowsRead(kStart, { RowOf("b", "fd-2"), RowOf("c", "fd-3"), RowOf("d", "fd-4") });
    table.OnListRead(kStart, { { VmId("d"), "d:1", true } });
    for (const char* vm : { "b", "c", "d" }) {
      table.OnPong(kStart, VmId(vm), false);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, table.AvailableMembers(kStart).size());
    table.SetDrainedFailureDomains({ FailureDomainName("fd-2"), FailureDomainName("fd-1") });
    CPPUNIT_ASSERT(table.AvailableMembers(kStart) == std::set<VmId>{ VmId("c") });
    CPPUNIT_ASSERT(table.IsSelfDrained());
    table.OnPong(kStart, VmId("c"), true);
    CPPUNIT_ASSERT(table.AvailableMembers(kStart).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, table.ReachablePeers(kStart).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTableTest);

} // namespace mustardshift
