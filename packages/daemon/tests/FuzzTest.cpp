#include "RequestFixture.h"
#include "daemon/control/PlatformRows.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace mustardshift::test {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kRowRounds = 20000;
constexpr int kRequestRounds = 3000;

/** Generates random strings and mutations of valid ones. The seed is fixed, so runs are
    reproducible. */
class InputGenerator
{
public:
  std::size_t NumberBelow(std::size_t aBound) { return this->generator() % aBound; }

  std::string RandomBytes(std::size_t aMaxSize)
  {
    std::string bytes(this->NumberBelow(aMaxSize + 1), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(this->NumberBelow(256));
    }
    return bytes;
  }

  /** Applies one to four random mutations: changes a byte, truncates, or inserts a copy of up to 16
      bytes. */
  std::string Mutate(std::string aText)
  {
    for (std::size_t i = this->NumberBelow(4) + 1; i > 0; --i) {
      if (aText.empty()) {
        return this->RandomBytes(8);
      }
      const std::size_t at = this->NumberBelow(aText.size());
      switch (this->NumberBelow(3)) {
        case 0:
          aText[at] = static_cast<char>(this->NumberBelow(256));
          break;
        case 1:
          aText.resize(at);
          break;
        default:
          aText.insert(at, aText.substr(0, 16));
      }
    }
    return aText;
  }

private:
  std::mt19937_64 generator{ kSeed };
};

/** Guards against input from the platform or from clients that crashes the process, and against
    malformed requests that run. */
class FuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FuzzTest);
  CPPUNIT_TEST(TestRows);
  CPPUNIT_TEST(TestRequests);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestRows()
  {
    InputGenerator inputs;
    const QuotaShardWrite write{ {}, VmId("vm-1"), 1, 2 };
    const std::vector<std::string> valid{
      EncodeDatabaseRow({ 3, ServerAddress("127.0.0.1:1"), "operation" }),
      EncodeVmRow({ 1, "a", "b", "c", FailureDomainName("domain-1") }),
      EncodeShardWrite(write),
      EncodeNumber(17),
    };
    CPPUNIT_ASSERT(DecodeDatabaseRow(valid[0]) && DecodeVmRow(valid[1]) && DecodeNumber(valid[3]));
    CPPUNIT_ASSERT(DecodeShardRow({ ShardKey({ 3 }), valid[2], 1 }));
    for (int round = 0; round < kRowRounds; ++round) {
      const std::string value = round % 2 == 0
                                  ? inputs.RandomBytes(64)
                                  : inputs.Mutate(valid[inputs.NumberBelow(valid.size())]);
      static_cast<void>(DecodeDatabaseRow(value));
      static_cast<void>(DecodeVmRow(value));
      static_cast<void>(DecodeNumber(value));
      const std::string key = round % 3 == 0 ? inputs.Mutate("shard/1") : "shard/1";
      const auto shard = DecodeShardRow({ key, value, 1 });
      CPPUNIT_ASSERT(!shard || shard->shard.index < kQuotaShardsPerCell);
    }
  }

  void TestRequests()
  {
    RequestFixture fixture;
    CallerRequest valid = MakeCallerRequest("id-1", "PUT seat taken", kRouteOfA);
    valid.key = "key-a";
    const auto accepted = fixture.ExecuteAndWait(valid);
    CPPUNIT_ASSERT(accepted);
    valid.sessionToken = accepted->sessionToken;
    const std::uint64_t writes = fixture.group.At(0).Counters().writes();
    InputGenerator inputs;
    std::atomic<int> replies{ 0 };
    std::atomic<int> wrongVerdicts{ 0 };
    for (int round = 0; round < kRequestRounds; ++round) {
      CallerRequest request = valid;
      switch (inputs.NumberBelow(5)) {
        case 0:
          request.key =
            inputs.NumberBelow(2) == 0 ? inputs.RandomBytes(300) : inputs.Mutate(valid.key);
          break;
        case 1:
          request.sessionToken = inputs.Mutate(valid.sessionToken);
          break;
        case 2:
          request.route = RouteName(inputs.Mutate(kRouteOfA));
          break;
        case 3:
          request.requestId = RequestId(inputs.NumberBelow(2) == 0 ? "" : std::string(65, 'x'));
          break;
        default:
          request.statement.parameters = { std::string((std::size_t{ 1 } << 20U) + 1, 'x') };
      }
      const bool isSame =
        request.key == valid.key && request.route == valid.route &&
        // An empty token starts a new session.
        (request.sessionToken == valid.sessionToken || request.sessionToken.empty()) &&
        request.requestId == valid.requestId && request.statement.parameters.empty();
      if (isSame) {
        continue;
      }
      fixture.OnLoop([&](Instant aNow) {
        fixture.processor.Execute(aNow, request, [&](const Outcome<CallerAnswer>& aAnswer) {
          ++replies;
          wrongVerdicts += !aAnswer && aAnswer.error().verdict == Verdict::NotRun ? 0 : 1;
        });
        // The same request as the commit of a transaction that does not exist.
        fixture.transactions.Commit(
          aNow,
          TransactionId(inputs.RandomBytes(40)),
          request,
          [&](const Outcome<CallerAnswer>& aAnswer) { wrongVerdicts += aAnswer ? 1 : 0; });
      });
      CPPUNIT_ASSERT_EQUAL_MESSAGE("round " + std::to_string(round), 0, wrongVerdicts.load());
    }
    CPPUNIT_ASSERT(replies > kRequestRounds / 2);
    CPPUNIT_ASSERT_EQUAL(writes, fixture.group.At(0).Counters().writes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FuzzTest);

} // namespace

} // namespace mustardshift::test
