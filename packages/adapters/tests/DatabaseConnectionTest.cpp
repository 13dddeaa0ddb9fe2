#include "adapters/database/DatabaseConnection.h"
#include "adapters/tests/DatabaseFixture.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mustardshift {

using namespace test;
namespace v1 = database::v1;

/** Guards against a connection that reports a wrong verdict, gives a request the answer of another
    one, calls back twice or never, or is used again after it lost track of its answers. */
class DatabaseConnectionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DatabaseConnectionTest);
  CPPUNIT_TEST(ReportsTheVerdictOfEachFault);
  CPPUNIT_TEST(ReportsThatNothingRanBeforeTheConnectionOpened);
  CPPUNIT_TEST(RefusesOversizedStatementsAndGoesOn);
  CPPUNIT_TEST(MatchesAnswersOutOfOrder);
  CPPUNIT_TEST(NeverDeliversCrossedAnswers);
  CPPUNIT_TEST(RefusesOutstandingRequestsWhenClosed);
  CPPUNIT_TEST(SendsFramesInOrderBeforeItIsOpened);
  CPPUNIT_TEST(CallsBackAboutOpeningAndClosingOnce);
  CPPUNIT_TEST(AllowsCallbacksToUseTheConnection);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReportsTheVerdictOfEachFault()
  {
    struct Case
    {
      std::string name;
      std::function<void(ServerFixture&)> inject;
      bool tookEffect;
    };
    const auto once = [](auto aSet) {
      return [aSet](ServerFixture& aServer) {
        standin::v1::OneTimeFaults faults;
        aSet(faults);
        aServer.InjectOnce(faults);
      };
    };
    const std::vector<Case> cases{
      { "the answer is dropped", once([](auto& aFaults) { aFaults.set_drop_answers(1); }), true },
      { "the answer is late",
        once([](auto& aFaults) {
          aFaults.set_late_answers(1);
          aFaults.set_late_ms(400);
        }),
        true },
      { "the connection is cut before the statement runs",
        once([](auto& aFaults) { aFaults.set_cut_before_running(1); }),
        false },
      { "the connection is cut after the statement ran",
        once([](auto& aFaults) { aFaults.set_cut_after_running(1); }),
        true },
      { "the server hangs",
        [](ServerFixture& aServer) {
          standin::v1::DatabaseFaults faults;
          faults.set_freeze_answers(true);
          aServer.SetFaults(faults);
        },
        true },
      { "the server becomes unreachable",
        [](ServerFixture& aServer) {
          standin::v1::DatabaseFaults faults;
          faults.add_unreachable_user_agents("vm-1");
          aServer.SetFaults(faults);
        },
        false },
    };
    for (const Case& tested : cases) {
      Section(tested.name, [&] {
        ServerFixture server;
        server.Lead(1);
        DatabaseConnectionOptions options;
        options.userAgent = "vm-1";
        const auto connection = DatabaseConnection::Open(server.Address(), options);
        Expect(*connection, ExecuteRequest(1, "PUT a 1"));
        tested.inject(server);
        const auto lost =
          Call(*connection, ExecuteRequest(1, "PUT a 2", {}, "request-1"), kShortTimeout);
        CPPUNIT_ASSERT(!lost);
        CPPUNIT_ASSERT(lost.error().verdict == Verdict::MayHaveRun);
        CPPUNIT_ASSERT(lost.error().reason == Reason::AnswerLost);
        Section("the connection is not usable again", [&] {
          CPPUNIT_ASSERT(!connection->IsUsable());
          const auto next = Call(*connection, ExecuteRequest(1, "PUT a 3"));
          CPPUNIT_ASSERT(!next);
          CPPUNIT_ASSERT(next.error().verdict == Verdict::NotRun);
          CPPUNIT_ASSERT(next.error().reason == Reason::ConnectionFailed);
        });
        Section("the log shows whether it ran", [&] {
          server.SetFaults({});
          const auto found = server.client->LookUpRequest(RequestId("request-1"), kTimeout);
          CPPUNIT_ASSERT(found);
          CPPUNIT_ASSERT_EQUAL(tested.tookEffect, found->found());
          const auto fresh = DatabaseConnection::Open(server.Address());
          CPPUNIT_ASSERT_EQUAL(std::string(tested.tookEffect ? "2" : "1"),
                               Expect(*fresh, ExecuteRequest(1, "GET a")).rows(0));
        });
      });
    }
  }

  void ReportsThatNothingRanBeforeTheConnectionOpened()
  {
    struct Case
    {
      std::string name;
      standin::DatabaseOptions server;
      Duration openTimeout;
      Duration requestTimeout;
      Reason reason;
    };
    standin::DatabaseOptions slow;
    slow.connectionCost = std::chrono::milliseconds(400);
    standin::DatabaseOptions full;
    full.connectionLimit = 0;
    const std::vector<Case> cases{
      { "opening takes too long", slow, kShortTimeout, kTimeout, Reason::ConnectionFailed },
      { "the request's time is over first",
        slow,
        kTimeout,
        kShortTimeout,
        Reason::DeadlineExceeded },
      { "the connection limit is reached", full, kTimeout, kTimeout, Reason::ConnectionFailed },
    };
    for (const Case& tested : cases) {
      Section(tested.name, [&] {
        ServerFixture server(tested.server);
        server.Lead(1);
        DatabaseConnectionOptions options;
        options.openTimeout = tested.openTimeout;
        const auto connection = DatabaseConnection::Open(server.Address(), options);
        const auto refused = Call(*connection, ExecuteRequest(1, "PUT a 1"), tested.requestTimeout);
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT(refused.error().verdict == Verdict::NotRun);
        CPPUNIT_ASSERT(refused.error().reason == tested.reason);
        CPPUNIT_ASSERT(!connection->IsUsable());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, std::uint64_t{ server.Counters().frames() });
      });
    }
    Section("nothing listens", [&] {
      ServerAddress address;
      {
        const ServerFixture gone;
        address = gone.Address();
      }
      const auto connection = DatabaseConnection::Open(address);
      const auto refused = Call(*connection, ExecuteRequest(1, "PUT a 1"));
      CPPUNIT_ASSERT(!refused);
      CPPUNIT_ASSERT(refused.error().verdict == Verdict::NotRun);
      CPPUNIT_ASSERT(refused.error().reason == Reason::ConnectionFailed);
    });
  }

  void RefusesOversizedStatementsAndGoesOn()
  {
    ServerFixture server;
    server.Lead(1);
    const auto connection = DatabaseConnection::Open(server.Address());
    const std::string tooLong(DatabaseConnectionOptions::kMaximumFrameBytes, 'x');
    const auto refused = Call(*connection, ExecuteRequest(1, "PUT a ?", { tooLong }));
    CPPUNIT_ASSERT(!refused);
    CPPUNIT_ASSERT(refused.error().verdict == Verdict::NotRun);
    CPPUNIT_ASSERT(refused.error().reason == Reason::StatementInvalid);
    Section("a statement just below the limit passes", [&] {
      const std::string longest(DatabaseConnectionOptions::kMaximumFrameBytes - 100, 'x');
      Expect(*connection, ExecuteRequest(1, "PUT a ?", { longest }));
      CPPUNIT_ASSERT(longest == Expect(*connection, ExecuteRequest(1, "GET a")).rows(0));
    });
  }

  void MatchesAnswersOutOfOrder()
  {
    ServerFixture server;
    server.Lead(1);
    const auto connection = DatabaseConnection::Open(server.Address());
    v1::Position next = Expect(*connection, ExecuteRequest(1, "PUT a 1")).position();
    next.set_offset(next.offset() + 1);
    auto wait = Start(*connection, WaitRequest(1, next, 9000));
    Expect(*connection, ExecuteRequest(1, "GET a"));
    CPPUNIT_ASSERT(wait.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
    const auto written = Expect(*connection, ExecuteRequest(1, "PUT a 2"));
    const auto waited = wait.get();
    CPPUNIT_ASSERT(waited && waited->status() == v1::ANSWER_STATUS_OK);
    CPPUNIT_ASSERT_EQUAL(written.position().offset(), waited->position().offset());
  }

  void NeverDeliversCrossedAnswers()
  {
    ServerFixture server;
    server.Lead(1);
    const auto first = DatabaseConnection::Open(server.Address());
    const auto second = DatabaseConnection::Open(server.Address());
    Expect(*first, ExecuteRequest(1, "PUT a 1"));
    Expect(*second, ExecuteRequest(1, "PUT b 2"));
    standin::v1::OneTimeFaults faults;
    faults.set_cross_answers(1);
    server.InjectOnce(faults);
    auto one = Start(*first, ExecuteRequest(1, "GET a"));
    auto two = Start(*second, ExecuteRequest(1, "GET b"));
    for (const auto& outcome : { one.get(), two.get() }) {
      CPPUNIT_ASSERT(!outcome);
      CPPUNIT_ASSERT(outcome.error().verdict == Verdict::MayHaveRun);
    }
    CPPUNIT_ASSERT(!first->IsUsable());
    CPPUNIT_ASSERT(!second->IsUsable());
  }

  void RefusesOutstandingRequestsWhenClosed()
  {
    ServerFixture server;
    server.Lead(1);
    standin::v1::DatabaseFaults faults;
    faults.set_freeze_answers(true);
    server.SetFaults(faults);
    const auto close = [](auto& aServer, auto& aConnection, int aWay) {
      if (aWay == 0) {
        aConnection->Close();
      } else if (aWay == 1) {
        aConnection.reset();
      } else {
        aServer.CutConnections();
      }
    };
    for (int way = 0; way < 3; ++way) {
      auto connection = DatabaseConnection::Open(server.Address());
      CPPUNIT_ASSERT(Eventually([&] { return connection->IsOpened(); }));
      std::vector<std::future<Outcome<v1::Answer>>> requests;
      requests.reserve(20);
      const std::uint64_t before = server.Counters().frames();
      for (int i = 0; i < 20; ++i) {
        requests.push_back(Start(*connection, ExecuteRequest(1, "GET a")));
      }
      CPPUNIT_ASSERT(Eventually([&] { return server.Counters().frames() == before + 20; }));
      close(server, connection, way);
      for (auto& request : requests) {
        const auto outcome = request.get();
        CPPUNIT_ASSERT(!outcome);
        CPPUNIT_ASSERT(outcome.error().verdict == Verdict::MayHaveRun);
      }
    }
  }

  void SendsFramesInOrderBeforeItIsOpened()
  {
    standin::DatabaseOptions options;
    options.connectionCost = std::chrono::milliseconds(30);
    ServerFixture server(options);
    server.Lead(1);
    const auto connection = DatabaseConnection::Open(server.Address());
    std::vector<std::future<Outcome<v1::Answer>>> requests;
    requests.reserve(50);
    for (int i = 1; i <= 50; ++i) {
      requests.push_back(Start(*connection, ExecuteRequest(1, "ADD a 1")));
    }
    for (int i = 1; i <= 50; ++i) {
      const auto outcome = requests[static_cast<std::size_t>(i) - 1].get();
      CPPUNIT_ASSERT(outcome);
      CPPUNIT_ASSERT_EQUAL(std::to_string(i), outcome->rows(0));
    }
  }

  void CallsBackAboutOpeningAndClosingOnce()
  {
    standin::DatabaseOptions serverOptions;
    serverOptions.connectionLimit = 1;
    ServerFixture server(serverOptions);
    struct Calls
    {
      std::atomic<int> opened = 0;
      std::atomic<int> refused = 0;
      std::atomic<int> closed = 0;
    };
    const auto open = [&](const std::shared_ptr<Calls>& aCalls) {
      DatabaseConnectionOptions options;
      options.onOpened = [aCalls](const Outcome<void>& aOutcome) {
        ++(aOutcome ? aCalls->opened : aCalls->refused);
      };
      options.onClosed = [aCalls] { ++aCalls->closed; };
      return DatabaseConnection::Open(server.Address(), options);
    };
    const auto first = std::make_shared<Calls>();
    const auto second = std::make_shared<Calls>();
    const auto accepted = open(first);
    CPPUNIT_ASSERT(Eventually([&] { return first->opened == 1; }));
    const auto rejected = open(second);
    CPPUNIT_ASSERT(Eventually([&] { return second->closed == 1; }));
    CPPUNIT_ASSERT_EQUAL(1, second->refused.load());
    CPPUNIT_ASSERT_EQUAL(0, second->opened.load());
    CPPUNIT_ASSERT_EQUAL(0, first->closed.load());
    accepted->Close();
    accepted->Close();
    CPPUNIT_ASSERT(Eventually([&] { return first->closed == 1; }));
    Section("a closed connection leaves its place to the next", [&] {
      CPPUNIT_ASSERT(Eventually([&] { return server.Counters().open_connections() == 0; }));
      const auto third = std::make_shared<Calls>();
      const auto next = open(third);
      CPPUNIT_ASSERT(Eventually([&] { return third->opened == 1; }));
    });
    CPPUNIT_ASSERT_EQUAL(1, first->opened.load());
    CPPUNIT_ASSERT_EQUAL(0, first->refused.load());
  }

  void AllowsCallbacksToUseTheConnection()
  {
    ServerFixture server;
    server.Lead(1);
    auto connection =
      std::shared_ptr<DatabaseConnection>(DatabaseConnection::Open(server.Address()));
    std::promise<Outcome<v1::Answer>> last;
    connection->Send(ExecuteRequest(1, "PUT a 1"),
                     kTimeout,
                     [&, connection](const Outcome<v1::Answer>& /*aFirst*/) {
                       connection->Send(ExecuteRequest(1, "GET a"),
                                        kTimeout,
                                        [&, connection](Outcome<v1::Answer> aSecond) {
                                          connection->Close();
                                          last.set_value(std::move(aSecond));
                                        });
                     });
    const auto outcome = last.get_future().get();
    CPPUNIT_ASSERT(outcome);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), outcome->rows(0));
    CPPUNIT_ASSERT(!connection->IsUsable());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseConnectionTest);

} // namespace mustardshift
