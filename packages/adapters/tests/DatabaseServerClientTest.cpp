#include "adapters/database/DatabaseServerClient.h"
#include "adapters/tests/DatabaseFixture.h"
#include "standins/database/Statement.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <string>

namespace mustardshift {

using namespace test;
namespace v1 = database::v1;

/** Guards against unary calls that hang, call back after their caller counted them as lost, or
    claim that nothing ran although the server may have acted. */
class DatabaseServerClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DatabaseServerClientTest);
  CPPUNIT_TEST(AnswersThroughCallbacks);
  CPPUNIT_TEST(ReportsUnreachableAndSilentServers);
  CPPUNIT_TEST(LimitsStatementsOnTheServerToo);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnswersThroughCallbacks()
  {
    ServerFixture server;
    std::promise<Outcome<v1::ServerReport>> promoted;
    server.client->Promote(4, kTimeout, [&](Outcome<v1::ServerReport> aOutcome) {
      promoted.set_value(std::move(aOutcome));
    });
    const auto report = promoted.get_future().get();
    CPPUNIT_ASSERT(report && report->accepted() && report->leads());
    std::promise<Outcome<v1::LookUpRequestResponse>> lookedUp;
    server.client->LookUpRequest(
      RequestId("none"), kTimeout, [&](Outcome<v1::LookUpRequestResponse> aOutcome) {
        lookedUp.set_value(std::move(aOutcome));
      });
    const auto found = lookedUp.get_future().get();
    CPPUNIT_ASSERT(found && !found->found());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, std::uint64_t{ found->accepted_term() });
  }

  void ReportsUnreachableAndSilentServers()
  {
    Section("a server that answers too late may have accepted the term", [&] {
      ServerFixture server;
      standin::v1::DatabaseFaults faults;
      faults.set_freeze_answers(true);
      server.SetFaults(faults);
      const auto lost = server.client->AcceptTerm(7, kShortTimeout);
      CPPUNIT_ASSERT(!lost);
      CPPUNIT_ASSERT(lost.error().verdict == Verdict::MayHaveRun);
      CPPUNIT_ASSERT(lost.error().reason == Reason::AnswerLost);
      server.SetFaults({});
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 },
                           std::uint64_t{ server.client->Report(kTimeout)->accepted_term() });
    });
    Section("an unreachable caller changes nothing, others are served", [&] {
      ServerFixture server;
      DatabaseServerClient cutOff(server.Address(), "vm-1");
      standin::v1::DatabaseFaults faults;
      faults.add_unreachable_user_agents("vm-1");
      server.SetFaults(faults);
      CPPUNIT_ASSERT(!cutOff.AcceptTerm(7, kShortTimeout));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                           std::uint64_t{ server.client->Report(kTimeout)->accepted_term() });
    });
    Section("nothing listens", [&] {
      ServerAddress address;
      {
        const ServerFixture gone;
        address = gone.Address();
      }
      const auto refused = DatabaseServerClient(address).Report(kTimeout);
      CPPUNIT_ASSERT(!refused);
      CPPUNIT_ASSERT(refused.error().reason == Reason::ConnectionFailed);
    });
  }

  void LimitsStatementsOnTheServerToo()
  {
    using standin::ParseStatement;
    using standin::Statement;
    const std::string longest(Statement::kMaximumBytes - std::string("PUT a ?").size(), 'x');
    CPPUNIT_ASSERT(ParseStatement("PUT a ?", { longest }));
    CPPUNIT_ASSERT(!ParseStatement("PUT a ?", { longest + "x" }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseServerClientTest);

} // namespace mustardshift
