#include "adapters/tests/CallLedger.h"
#include "adapters/tests/DatabaseFixture.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mustardshift {

using namespace test;
namespace v1 = database::v1;

namespace {

/** Injects one fault chosen by the generator. */
void InjectFault(ServerFixture& aServer, std::mt19937_64& aGenerator)
{
  standin::v1::OneTimeFaults faults;
  switch (aGenerator() % 7) {
    case 0:
      faults.set_drop_answers(1);
      break;
    case 1:
      faults.set_cross_answers(1);
      break;
    case 2:
      faults.set_cut_before_running(1);
      break;
    case 3:
      faults.set_cut_after_running(1);
      break;
    case 4:
      faults.set_late_answers(2);
      faults.set_late_ms(1 + static_cast<std::uint32_t>(aGenerator() % 400));
      break;
    case 5:
      aServer.CutConnections();
      return;
    default:
      return;
  }
  aServer.InjectOnce(faults);
}

} // namespace

/** Guards against interleavings of answers, timeouts, closing and faults that the single cases of
    DatabaseConnectionTest don't reach. */
class ConnectionHistoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConnectionHistoryTest);
  CPPUNIT_TEST(KeepsItsPromisesUnderRandomFaults);
  CPPUNIT_TEST(CheckerFindsBrokenHistories);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeepsItsPromisesUnderRandomFaults()
  {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      Section("seed " + std::to_string(seed), [&] { RunHistory(seed); });
    }
  }

  void CheckerFindsBrokenHistories()
  {
    const auto answer = [](const std::string& aRow) {
      v1::Answer result;
      result.add_rows(aRow);
      return Outcome<v1::Answer>(result);
    };
    const Outcome<v1::Answer> notRun = RefuseNotRun(Reason::ConnectionFailed, "");
    struct Case
    {
      std::string name;
      std::function<void(CallLedger&)> history;
      std::map<std::size_t, bool> effects;
      bool isBroken;
    };
    const std::vector<Case> cases{
      { "a correct history", [&](auto& aLedger) { aLedger.End(0, answer("a")); }, {}, false },
      { "no callback", [](auto&) {}, {}, true },
      { "two callbacks",
        [&](auto& aLedger) {
          aLedger.End(0, answer("a"));
          aLedger.End(0, answer("a"));
        },
        {},
        true },
      { "another call's answer", [&](auto& aLedger) { aLedger.End(0, answer("b")); }, {}, true },
      { "a false not run", [&](auto& aLedger) { aLedger.End(0, notRun); }, { { 0, true } }, true },
      { "a true not run", [&](auto& aLedger) { aLedger.End(0, notRun); }, { { 0, false } }, false },
      { "a false run",
        [&](auto& aLedger) { aLedger.End(0, answer("a")); },
        { { 0, false } },
        true },
    };
    for (const Case& tested : cases) {
      Section(tested.name, [&] {
        CallLedger ledger;
        ledger.Begin("a");
        tested.history(ledger);
        CPPUNIT_ASSERT_EQUAL(tested.isBroken, !ledger.Fault(tested.effects).empty());
      });
    }
  }

private:
  /** Sends statements on a few connections while faults happen; broken connections are replaced. */
  static void RunHistory(std::uint64_t aSeed)
  {
    constexpr std::size_t kConnections = 5;
    constexpr int kCalls = 300;
    std::mt19937_64 generator(aSeed);
    ServerFixture server;
    server.Lead(1);
    {
      const auto setup = DatabaseConnection::Open(server.Address());
      for (int i = 0; i < 10; ++i) {
        Expect(*setup, ExecuteRequest(1, "PUT k" + std::to_string(i) + " v" + std::to_string(i)));
      }
    }
    const auto ledger = std::make_shared<CallLedger>();
    std::vector<std::size_t> writes;
    std::vector<std::unique_ptr<DatabaseConnection>> connections(kConnections);
    for (int i = 0; i < kCalls; ++i) {
      auto& connection = connections[generator() % kConnections];
      if (!connection || !connection->IsUsable() || generator() % 50 == 0) {
        connection = DatabaseConnection::Open(server.Address());
      }
      if (generator() % 10 == 0) {
        InjectFault(server, generator);
      }
      const bool isWrite = generator() % 2 == 0;
      const std::string number = std::to_string(generator() % 10);
      const std::size_t call = ledger->Begin(isWrite ? std::nullopt : std::optional("v" + number));
      if (isWrite) {
        writes.push_back(call);
      }
      const std::string id = std::to_string(call);
      connection->Send(
        isWrite ? ExecuteRequest(1, "PUT w" + id + " x", {}, id)
                : ExecuteRequest(1, "GET k" + number, {}, {}, true),
        std::chrono::milliseconds(50 + generator() % 200),
        [ledger, call](const Outcome<v1::Answer>& aOutcome) { ledger->End(call, aOutcome); });
      if (generator() % 4 == 0) {
        std::this_thread::sleep_for(std::chrono::microseconds(generator() % 1000));
      }
    }
    CPPUNIT_ASSERT(Eventually([&] { return ledger->Ended() == kCalls; }));
    connections.clear();
    CPPUNIT_ASSERT(Eventually([&] { return server.Counters().open_connections() == 0; }));
    // Statements that were cut off while they ran have ended by now, or never run.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    std::map<std::size_t, bool> effects;
    for (const std::size_t call : writes) {
      const auto found = server.client->LookUpRequest(RequestId(std::to_string(call)), kTimeout);
      CPPUNIT_ASSERT(found);
      effects[call] = found->found();
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), ledger->Fault(effects));
    CPPUNIT_ASSERT(ledger->Count(Verdict::Run) > 0);
    CPPUNIT_ASSERT(ledger->Count(Verdict::MayHaveRun) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionHistoryTest);

} // namespace mustardshift
