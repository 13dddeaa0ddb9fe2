#include "e2e/fixture/Cluster.h"
#include "e2e/fixture/FinalState.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

namespace mustardshift::test {

namespace {

std::string RandomBytes(std::mt19937_64& aGenerator, std::size_t aSize)
{
  std::string bytes(aSize, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(aGenerator());
  }
  return bytes;
}

void CheckNotRun(const CallAnswer& aAnswer, const std::string& aReason)
{
  CPPUNIT_ASSERT_MESSAGE(aAnswer.Text(), aAnswer.HasNotRun());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aAnswer.Text(), aReason, aAnswer.reason);
}

} // namespace

/** Guards against a request that runs for an organisation whose key it does not carry, and against
    malformed input that ends the daemon or reaches a database. */
class RefusedRequestTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RefusedRequestTest);
  CPPUNIT_TEST(RefusesWhatIsNotInOrder);
  CPPUNIT_TEST_SUITE_END();

public:
  void RefusesWhatIsNotInOrder()
  {
    ClusterOptions options;
    options.network = 109;
    Cluster cluster(options);
    const std::string write = "PUT refused-row 1";
    std::mt19937_64 generator(9);
    Section("keys", [&] {
      CheckNotRun(cluster.Caller(0, "").Execute("bookings", "a", write), "key-missing");
      CheckNotRun(cluster.Caller(0, "unknown").Execute("bookings", "b", write), "key-unknown");
      CheckNotRun(cluster.Caller(0, cluster.southKey).Execute("bookings", "c", write),
                  "organisation-mismatch");
      CheckNotRun(cluster.Caller(0, cluster.southKey).Begin("bookings", "d"),
                  "organisation-mismatch");
      CheckNotRun(cluster.Caller(0, "").Begin("bookings", "e"), "key-missing");
      for (const std::size_t size : { 1U, 257U, 4000U }) {
        CheckNotRun(cluster.Caller(0, std::string(size, 'k')).Execute("bookings", "f", write),
                    "key-unknown");
      }
      const std::string prefix = cluster.northKey.substr(0, cluster.northKey.size() - 1);
      CheckNotRun(cluster.Caller(0, prefix).Execute("bookings", "g", write), "key-unknown");
      CheckNotRun(cluster.Caller(0, cluster.northKey + "0").Execute("bookings", "h", write),
                  "key-unknown");
    });
    Section("another organisation's transaction", [&] {
      const CallerClient north = cluster.Caller(0);
      const CallerClient south = cluster.Caller(0, cluster.southKey);
      const std::string id = north.Begin("bookings", "begin").transactionId;
      CPPUNIT_ASSERT(!id.empty());
      CPPUNIT_ASSERT(south.ExecuteInTransaction(id, write).HasNotRun());
      CPPUNIT_ASSERT(south.Commit(id, "commit").HasNotRun());
      CPPUNIT_ASSERT(south.Rollback(id).HasNotRun());
      CPPUNIT_ASSERT(cluster.Caller(0, "").Rollback(id).HasNotRun());
      CPPUNIT_ASSERT(cluster.Caller(1).Commit(id, "commit").HasNotRun());
      CPPUNIT_ASSERT(north.ExecuteInTransaction(id, "PUT kept-row 1").HasRun());
      CPPUNIT_ASSERT(north.Commit(id, "commit").HasRun());
      CPPUNIT_ASSERT(north.Commit("", "commit").HasNotRun());
      CPPUNIT_ASSERT(north.Commit(std::string(100'000, 'x'), "commit").HasNotRun());
    });
    Section("session tokens", [&] {
      const CallerClient north = cluster.Caller(0);
      const std::string good = north.Execute("bookings", "good", "PUT kept-row 2").sessionToken;
      CPPUNIT_ASSERT(!good.empty());
      std::vector<std::string> tokens{ "x", good + "x", good.substr(1), std::string(100'000, 't') };
      tokens.push_back(good.substr(0, good.size() - 1));
      for (int count = 0; count < 40; ++count) {
        std::string forged = good;
        char& byte = forged[generator() % forged.size()];
        byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << generator() % 8U));
        tokens.push_back(forged);
        tokens.push_back(RandomBytes(generator, generator() % 200 + 1));
      }
      for (const std::string& token : tokens) {
        CallOptions call;
        call.sessionToken = token;
        CheckNotRun(north.Execute("bookings", "token", write, call), "token-invalid");
      }
      CallOptions call;
      call.sessionToken = good;
      CheckNotRun(cluster.Caller(0, cluster.southKey).Execute("south-bookings", "i", write, call),
                  "organisation-mismatch");
      CPPUNIT_ASSERT(north.Execute("bookings", "still-good", "PUT kept-row 3", call).HasRun());
    });
    Section("fields", [&] {
      const CallerClient north = cluster.Caller(0);
      CheckNotRun(north.Execute("", "j", write), "request-malformed");
      CheckNotRun(north.Execute("nowhere", "k", write), "route-unknown");
      CheckNotRun(north.Execute(std::string(100'000, 'r'), "l", write), "route-unknown");
      CheckNotRun(north.Execute("bookings", "", write), "request-malformed");
      CheckNotRun(north.Execute("bookings", std::string(65, 'i'), write), "request-malformed");
      CheckNotRun(north.Execute("bookings", "m", "PUT refused-row " + std::string(1U << 20U, 'v')),
                  "request-malformed");
      CallOptions call;
      call.parameters.assign(3, std::string(400'000, 'p'));
      CheckNotRun(north.Execute("bookings", "n", "PUT refused-row ?", call), "request-malformed");
      CheckNotRun(north.Execute("bookings", "o", "DROP refused-row"), "statement-invalid");
      CheckNotRun(north.Execute("bookings", "p", ""), "statement-invalid");
      CheckNotRun(north.Execute("bookings", "q", write, Reading()), "statement-invalid");
    });
    Section("nothing of this ran, and every daemon still serves", [&] {
      CPPUNIT_ASSERT(ReadFinalState(cluster, 1, "refused-row").empty());
      for (std::size_t vm = 0; vm < cluster.VmCount(); ++vm) {
        CPPUNIT_ASSERT(cluster.Vm(vm).IsRunning());
        CPPUNIT_ASSERT(cluster.Caller(vm).Execute("bookings", "end", "PUT kept-row 4").HasRun());
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusedRequestTest);

} // namespace mustardshift::test
