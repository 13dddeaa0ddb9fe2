#include "core/configuration/KeyHash.h"
#include "e2e/fixture/Cluster.h"
#include "e2e/fixture/FinalState.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace mustardshift::test {

/** Guards against a client's key that reaches a database: in metadata, in a frame, or as a hash
   that could be tried out offline. */
class KeyLeakTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeyLeakTest);
  CPPUNIT_TEST(SendsNoKeyToADatabase);
  CPPUNIT_TEST_SUITE_END();

public:
  void SendsNoKeyToADatabase()
  {
    ClusterOptions options;
    options.network = 108;
    Cluster cluster(options);
    Section("all kinds of requests go through all VMs", [&] {
      for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
        const CallerClient caller = cluster.Caller(vm);
        const std::string suffix = std::to_string(vm);
        CPPUNIT_ASSERT(
          caller.Execute("bookings", "put-" + suffix, "PUT seat-marker-" + suffix + " 1").HasRun());
        CPPUNIT_ASSERT(
          caller.Execute("bookings", "get-" + suffix, "GET seat-marker-" + suffix, Reading())
            .HasRun());
        CPPUNIT_ASSERT(
          cluster.Caller(vm, cluster.southKey)
            .Execute("south-bookings", "south-" + suffix, "ADD south-marker-" + suffix + " 1")
            .HasRun());
        const CallAnswer begun = caller.Begin("bookings", "begin-" + suffix);
        CPPUNIT_ASSERT_MESSAGE(begun.Text(), begun.HasRun());
        CPPUNIT_ASSERT(
          caller.ExecuteInTransaction(begun.transactionId, "PUT in-transaction-" + suffix + " 1")
            .HasRun());
        CPPUNIT_ASSERT(caller.Commit(begun.transactionId, "commit-" + suffix).HasRun());
        caller.Execute("bookings", "malformed-" + suffix, "NONSENSE");
        // A public route needs no key; a client may send one all the same.
        CPPUNIT_ASSERT(
          caller.Execute("hours", "hours-" + suffix, "GET seat-marker-0", Reading()).HasRun());
      }
    });
    Section("requests go on while the primary is replaced", [&] {
      const std::size_t old = cluster.Primary(0);
      const std::uint64_t term = cluster.Term(0);
      cluster.Server(old).Freeze();
      cluster.AwaitTermAbove(0, term);
      ReadFinalState(cluster, 0, "seat-marker");
      cluster.Server(old).Resume();
    });
    Section("the servers received the statements, but no key and no hash of one", [&] {
      std::size_t statements = 0;
      for (std::size_t server = 0; server < Cluster::kServers; ++server) {
        statements += cluster.CountReceived(server, "PUT seat-marker-");
        for (const std::string& key : { cluster.northKey, cluster.southKey }) {
          CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cluster.CountReceived(server, key));
          CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cluster.CountReceived(server, KeyHash(key)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cluster.CountReceived(server, "mustardshift-key"));
      }
      CPPUNIT_ASSERT(statements >= cluster.VmCount());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyLeakTest);

} // namespace mustardshift::test
