#include "adapters/database/DatabaseServerClient.h"
#include "adapters/tests/DatabaseFixture.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace mustardshift {

using namespace test;
namespace v1 = database::v1;

/** Guards against a stand-in that does not keep the obligations stated at DatabaseServerClient, or
    whose faults do not happen: tests that build on it would show nothing. */
class DatabaseServerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DatabaseServerTest);
  CPPUNIT_TEST(RunsStatements);
  CPPUNIT_TEST(CommitsTransactionsAtomically);
  CPPUNIT_TEST(DetectsConflicts);
  CPPUNIT_TEST(RollsBackWhenTheConnectionCloses);
  CPPUNIT_TEST(LimitsConnectionsAndSlots);
  CPPUNIT_TEST(ReplicatesAndWaitsForPositions);
  CPPUNIT_TEST(DelaysEntriesOnReplicas);
  CPPUNIT_TEST(AnswersDuplicatesAcrossAPromotion);
  CPPUNIT_TEST(RefusesOldTerms);
  CPPUNIT_TEST(BelievesItLeadsWhileItIsCutOff);
  CPPUNIT_TEST(CutsDivergentTails);
  CPPUNIT_TEST(IgnoresTermsWhenTold);
  CPPUNIT_TEST(KeepsWhatItReceived);
  CPPUNIT_TEST(ComesBackWithItsState);
  CPPUNIT_TEST_SUITE_END();

public:
  void RunsStatements()
  {
    struct Case
    {
      std::string statement;
      std::vector<std::string> parameters;
      bool readOnly;
      v1::AnswerStatus status;
      std::vector<std::string> rows;
    };
    const std::vector<Case> cases{
      { "PUT seat/1 ?", { "for Ada" }, false, v1::ANSWER_STATUS_OK, {} },
      { "GET seat/1", {}, true, v1::ANSWER_STATUS_OK, { "for Ada" } },
      { "GET ?", { "seat/1" }, false, v1::ANSWER_STATUS_OK, { "for Ada" } },
      { "GET seat/2", {}, true, v1::ANSWER_STATUS_OK, {} },
      { "INSERT seat/1 x", {}, false, v1::ANSWER_STATUS_CONFLICT, {} },
      { "INSERT seat/2 x", {}, false, v1::ANSWER_STATUS_OK, {} },
      { "SCAN seat/", {}, true, v1::ANSWER_STATUS_OK, { "seat/1 for Ada", "seat/2 x" } },
      { "ADD sum 5", {}, false, v1::ANSWER_STATUS_OK, { "5" } },
      { "ADD sum ?", { "-7" }, false, v1::ANSWER_STATUS_OK, { "-2" } },
      { "ADD seat/1 1", {}, false, v1::ANSWER_STATUS_INVALID, {} },
      { "ADD sum x", {}, false, v1::ANSWER_STATUS_INVALID, {} },
      { "ADD sum 9223372036854775808", {}, false, v1::ANSWER_STATUS_INVALID, {} },
      { "PUT a b", {}, true, v1::ANSWER_STATUS_INVALID, {} },
      { "PUT a", {}, false, v1::ANSWER_STATUS_INVALID, {} },
      { "PUT a b c", {}, false, v1::ANSWER_STATUS_INVALID, {} },
      { "PUT a ?", {}, false, v1::ANSWER_STATUS_INVALID, {} },
      { "PUT a b", { "extra" }, false, v1::ANSWER_STATUS_INVALID, {} },
      { "DROP a", {}, false, v1::ANSWER_STATUS_INVALID, {} },
      { "", {}, false, v1::ANSWER_STATUS_INVALID, {} },
      { "GET seat/1", {}, true, v1::ANSWER_STATUS_OK, { "for Ada" } },
    };
    ServerFixture server;
    server.Lead(1);
    const auto connection = DatabaseConnection::Open(server.Address());
    for (const Case& tested : cases) {
      Section(tested.statement, [&] {
        const auto answer =
          Expect(*connection,
                 ExecuteRequest(1, tested.statement, tested.parameters, {}, tested.readOnly),
                 tested.status);
        CPPUNIT_ASSERT(tested.rows == RowsOf(answer));
      });
    }
    Section("a request without a command is malformed", [&] {
      v1::Request empty;
      empty.set_term(1);
      Expect(*connection, empty, v1::ANSWER_STATUS_INVALID);
    });
  }

  void CommitsTransactionsAtomically()
  {
    ServerFixture server;
    server.Lead(1);
    const auto connection = DatabaseConnection::Open(server.Address());
    const auto other = DatabaseConnection::Open(server.Address());
    Expect(*connection, BeginRequest(1));
    Expect(*connection, BeginRequest(1), v1::ANSWER_STATUS_INVALID);
    Expect(*connection, ExecuteRequest(1, "PUT a 1"));
    Expect(*connection, ExecuteRequest(1, "ADD b 2"));
    Section("the transaction sees its own writes, others do not", [&] {
      CPPUNIT_ASSERT_EQUAL(2, Expect(*connection, ExecuteRequest(1, "SCAN ")).rows_size());
      CPPUNIT_ASSERT_EQUAL(0, Expect(*other, ExecuteRequest(1, "SCAN ")).rows_size());
    });
    const auto committed = Expect(*connection, CommitRequest(1, "request-1"));
    Section("both writes are one log entry", [&] {
      CPPUNIT_ASSERT_EQUAL(2, Expect(*other, ExecuteRequest(1, "SCAN ")).rows_size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, std::uint64_t{ committed.position().offset() });
    });
    Section("a repeated commit returns the stored result", [&] {
      Expect(*connection, BeginRequest(1));
      Expect(*connection, ExecuteRequest(1, "ADD b 2"));
      CPPUNIT_ASSERT(Expect(*connection, CommitRequest(1, "request-1")).duplicate());
      CPPUNIT_ASSERT_EQUAL(std::string("2"), Expect(*other, ExecuteRequest(1, "GET b")).rows(0));
    });
    Section("without a transaction there is nothing to end", [&] {
      Expect(*connection, CommitRequest(1), v1::ANSWER_STATUS_INVALID);
      Expect(*connection, RollbackRequest(1), v1::ANSWER_STATUS_INVALID);
    });
  }

  void DetectsConflicts()
  {
    struct Case
    {
      std::string name;
      std::string inTransaction;
      std::string concurrent;
      v1::AnswerStatus status;
    };
    const std::vector<Case> cases{
      { "a key that was read", "GET a", "PUT a 9", v1::ANSWER_STATUS_CONFLICT },
      { "a key that was written", "PUT a 1", "PUT a 9", v1::ANSWER_STATUS_CONFLICT },
      { "a key that was read as missing", "GET z", "INSERT z 9", v1::ANSWER_STATUS_CONFLICT },
      { "a scanned range", "SCAN a", "INSERT ab 9", v1::ANSWER_STATUS_CONFLICT },
      { "another key", "GET a", "PUT b 9", v1::ANSWER_STATUS_OK },
    };
    for (const Case& tested : cases) {
      Section(tested.name, [&] {
        ServerFixture server;
        server.Lead(1);
        const auto connection = DatabaseConnection::Open(server.Address());
        const auto other = DatabaseConnection::Open(server.Address());
        Expect(*other, ExecuteRequest(1, "PUT a 0"));
        Expect(*connection, BeginRequest(1));
        Expect(*connection, ExecuteRequest(1, tested.inTransaction));
        Expect(*connection, ExecuteRequest(1, "PUT marker x"));
        Expect(*other, ExecuteRequest(1, tested.concurrent));
        Expect(*connection, CommitRequest(1), tested.status);
        CPPUNIT_ASSERT_EQUAL(tested.status == v1::ANSWER_STATUS_OK ? 1 : 0,
                             Expect(*other, ExecuteRequest(1, "GET marker")).rows_size());
      });
    }
  }

  void RollsBackWhenTheConnectionCloses()
  {
    ServerFixture server;
    server.Lead(1);
    const auto other = DatabaseConnection::Open(server.Address());
    for (const bool cut : { false, true }) {
      const auto connection = DatabaseConnection::Open(server.Address());
      Expect(*connection, BeginRequest(1));
      Expect(*connection, ExecuteRequest(1, "PUT a 1"));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                           std::uint64_t{ server.Counters().open_transactions() });
      if (cut) {
        server.CutConnections();
      } else {
        connection->Close();
      }
      CPPUNIT_ASSERT(Eventually([&] { return server.Counters().open_transactions() == 0; }));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 },
                         std::uint64_t{ server.Counters().rolled_back_transactions() });
    const auto fresh = DatabaseConnection::Open(server.Address());
    CPPUNIT_ASSERT_EQUAL(0, Expect(*fresh, ExecuteRequest(1, "GET a")).rows_size());
  }

  void LimitsConnectionsAndSlots()
  {
    standin::DatabaseOptions options;
    options.connectionLimit = 6;
    options.slots = 2;
    options.statementTime = std::chrono::milliseconds(3);
    ServerFixture server(options);
    server.Lead(1);
    std::vector<std::unique_ptr<DatabaseConnection>> connections;
    connections.reserve(6);
    for (int i = 0; i < 6; ++i) {
      connections.push_back(DatabaseConnection::Open(server.Address()));
    }
    std::vector<std::future<Outcome<v1::Answer>>> requests;
    requests.reserve(30);
    for (const auto& connection : connections) {
      for (int i = 0; i < 5; ++i) {
        requests.push_back(Start(*connection, ExecuteRequest(1, "ADD a 1")));
      }
    }
    for (auto& request : requests) {
      CPPUNIT_ASSERT(request.get());
    }
    const auto counters = server.Counters();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, std::uint64_t{ counters.most_slots_in_use() });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 6 }, std::uint64_t{ counters.most_open_connections() });
    CPPUNIT_ASSERT(counters.longest_slot_queue() > 0);
    const auto seventh = DatabaseConnection::Open(server.Address());
    CPPUNIT_ASSERT(!Call(*seventh, ExecuteRequest(1, "GET a")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         std::uint64_t{ server.Counters().refused_connections() });
  }

  void ReplicatesAndWaitsForPositions()
  {
    GroupFixture group;
    const auto primary = DatabaseConnection::Open(group.At(0).Address());
    const auto replica = DatabaseConnection::Open(group.At(1).Address());
    const auto written = Expect(*primary, ExecuteRequest(2, "PUT a 1"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, std::uint64_t{ written.position().term() });
    Section("the replica answers when it holds the position", [&] {
      const auto waited = Expect(*replica, WaitRequest(2, written.position(), 9000));
      CPPUNIT_ASSERT(waited.position().offset() >= written.position().offset());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, std::uint64_t{ waited.accepted_term() });
      CPPUNIT_ASSERT_EQUAL(std::string("1"),
                           Expect(*replica, ExecuteRequest(2, "GET a", {}, {}, true)).rows(0));
    });
    Section("a replica takes no writes, and no reads that are not marked so", [&] {
      Expect(*replica, ExecuteRequest(2, "PUT a 2"), v1::ANSWER_STATUS_WRONG_TERM);
      Expect(*replica, ExecuteRequest(2, "GET a"), v1::ANSWER_STATUS_WRONG_TERM);
      Expect(*replica, BeginRequest(2), v1::ANSWER_STATUS_WRONG_TERM);
    });
    Section("a replica whose replication is held back is behind", [&] {
      standin::v1::DatabaseFaults faults;
      faults.set_hold_replication(true);
      group.At(1).SetFaults(faults);
      const auto next = Expect(*primary, ExecuteRequest(2, "PUT a 2"));
      Expect(*replica, WaitRequest(2, next.position(), 50), v1::ANSWER_STATUS_BEHIND);
      group.At(1).SetFaults({});
      Expect(*replica, WaitRequest(2, next.position(), 9000));
    });
    Section("large logs are sent in batches", [&] {
      const std::string value(100'000, 'x');
      v1::Position last;
      for (int i = 0; i < 60; ++i) {
        last = Expect(*primary, ExecuteRequest(2, "PUT ? ?", { "big/" + std::to_string(i), value }))
                 .position();
      }
      Expect(*replica, WaitRequest(2, last, 9000));
    });
  }

  void DelaysEntriesOnReplicas()
  {
    standin::DatabaseOptions options;
    options.lag = std::chrono::milliseconds(300);
    GroupFixture group(options);
    const auto primary = DatabaseConnection::Open(group.At(0).Address());
    const auto replica = DatabaseConnection::Open(group.At(1).Address());
    const auto written = Expect(*primary, ExecuteRequest(2, "PUT a 1"));
    Expect(*replica, WaitRequest(2, written.position(), 1), v1::ANSWER_STATUS_BEHIND);
    Expect(*replica, WaitRequest(2, written.position(), 9000));
    Section("entries that are not visible yet are dropped by a fence", [&] {
      const auto late = Expect(*primary, ExecuteRequest(2, "PUT a 2"));
      CPPUNIT_ASSERT(group.At(1).client->AcceptTerm(3, kTimeout)->accepted());
      const auto fenced = group.At(1).client->Report(kTimeout);
      CPPUNIT_ASSERT(fenced->position().offset() < late.position().offset());
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
      CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{ fenced->position().offset() },
        std::uint64_t{ group.At(1).client->Report(kTimeout)->position().offset() });
    });
  }

  void AnswersDuplicatesAcrossAPromotion()
  {
    GroupFixture group;
    const auto old = DatabaseConnection::Open(group.At(0).Address());
    const auto first = Expect(*old, ExecuteRequest(2, "ADD sum 5", {}, "deposit-1"));
    CPPUNIT_ASSERT(!first.duplicate());
    Section("on the same primary", [&] {
      const auto again = Expect(*old, ExecuteRequest(2, "ADD sum 5", {}, "deposit-1"));
      CPPUNIT_ASSERT(again.duplicate());
      CPPUNIT_ASSERT_EQUAL(std::string("5"), again.rows(0));
      CPPUNIT_ASSERT_EQUAL(first.position().offset(), again.position().offset());
    });
    const auto replica = DatabaseConnection::Open(group.At(1).Address());
    Expect(*replica, WaitRequest(2, first.position(), 9000));
    group.Lead(1, 3);
    Section("on the next primary", [&] {
      const auto again = Expect(*replica, ExecuteRequest(3, "ADD sum 5", {}, "deposit-1"));
      CPPUNIT_ASSERT(again.duplicate());
      CPPUNIT_ASSERT_EQUAL(std::string("5"), again.rows(0));
      CPPUNIT_ASSERT_EQUAL(std::string("5"),
                           Expect(*replica, ExecuteRequest(3, "GET sum")).rows(0));
      const auto found = group.At(1).client->LookUpRequest(RequestId("deposit-1"), kTimeout);
      CPPUNIT_ASSERT(found->found() && found->leads());
      CPPUNIT_ASSERT_EQUAL(first.position().offset(), found->position().offset());
      CPPUNIT_ASSERT(!group.At(1).client->LookUpRequest(RequestId("deposit-2"), kTimeout)->found());
    });
    Section("the history names the first position of each term", [&] {
      const auto report = group.At(1).client->Report(kTimeout);
      CPPUNIT_ASSERT_EQUAL(2, report->history_size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, std::uint64_t{ report->history(1).term() });
      CPPUNIT_ASSERT_EQUAL(first.position().offset() + 1, report->history(1).first_offset());
    });
  }

  void RefusesOldTerms()
  {
    GroupFixture group;
    const auto connection = DatabaseConnection::Open(group.At(0).Address());
    Expect(*connection, BeginRequest(2));
    Expect(*connection, ExecuteRequest(2, "PUT a 1"));
    const auto fenced = group.At(0).client->AcceptTerm(5, kTimeout);
    CPPUNIT_ASSERT(fenced->accepted() && !fenced->leads());
    Section("a transaction that began before the fence can't commit", [&] {
      const auto answer = Expect(*connection, CommitRequest(2), v1::ANSWER_STATUS_WRONG_TERM);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, std::uint64_t{ answer.accepted_term() });
    });
    Section("neither old nor new terms may write", [&] {
      Expect(*connection, ExecuteRequest(2, "PUT a 1"), v1::ANSWER_STATUS_WRONG_TERM);
      Expect(*connection, ExecuteRequest(5, "PUT a 1"), v1::ANSWER_STATUS_WRONG_TERM);
    });
    Section("a lower term is refused everywhere", [&] {
      DatabaseServerClient& client = *group.At(0).client;
      CPPUNIT_ASSERT(!client.AcceptTerm(4, kTimeout)->accepted());
      CPPUNIT_ASSERT(!client.Promote(4, kTimeout)->accepted());
      CPPUNIT_ASSERT(!client.Follow(4, group.At(1).Address(), kTimeout)->accepted());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 },
                           std::uint64_t{ client.Report(kTimeout)->accepted_term() });
    });
    Section("accepting, promoting and following repeatedly changes nothing", [&] {
      DatabaseServerClient& client = *group.At(0).client;
      CPPUNIT_ASSERT(client.AcceptTerm(5, kTimeout)->accepted());
      CPPUNIT_ASSERT(client.Promote(5, kTimeout)->accepted());
      const auto once = client.Report(kTimeout);
      CPPUNIT_ASSERT(client.Promote(5, kTimeout)->accepted());
      CPPUNIT_ASSERT(client.AcceptTerm(5, kTimeout)->leads());
      CPPUNIT_ASSERT_EQUAL(once->position().offset(), client.Report(kTimeout)->position().offset());
      CPPUNIT_ASSERT(!client.Follow(5, group.At(1).Address(), kTimeout)->accepted());
      Expect(*connection, ExecuteRequest(5, "PUT a 2"));
    });
    Section("a wait under an old term is answered when the term changes", [&] {
      const auto replica = DatabaseConnection::Open(group.At(1).Address());
      v1::Position far;
      far.set_term(2);
      far.set_offset(1000);
      auto wait = Start(*replica, WaitRequest(2, far, 9000));
      CPPUNIT_ASSERT(Eventually([&] { return group.At(1).Counters().frames() == 1; }));
      CPPUNIT_ASSERT(group.At(1).client->AcceptTerm(6, kTimeout)->accepted());
      CPPUNIT_ASSERT(wait.get()->status() == v1::ANSWER_STATUS_WRONG_TERM);
    });
  }

  void BelievesItLeadsWhileItIsCutOff()
  {
    GroupFixture group;
    standin::v1::DatabaseFaults faults;
    faults.set_cut_off(true);
    group.At(0).SetFaults(faults);
    for (const std::size_t i : { 1, 2 }) {
      CPPUNIT_ASSERT(group.At(i).client->AcceptTerm(3, kTimeout)->accepted());
    }
    const auto connection = DatabaseConnection::Open(group.At(0).Address());
    Section("it runs statements, but no replica comes to hold them", [&] {
      const auto written = Expect(*connection, ExecuteRequest(2, "PUT a 1"));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, std::uint64_t{ written.accepted_term() });
      CPPUNIT_ASSERT(group.At(1).client->Report(kTimeout)->position().offset() <
                     written.position().offset());
    });
    Section("it stops when it hears of the new term", [&] {
      group.At(0).SetFaults({});
      CPPUNIT_ASSERT(group.At(1).client->Follow(3, group.At(0).Address(), kTimeout)->accepted());
      CPPUNIT_ASSERT(Eventually([&] { return !group.At(0).client->Report(kTimeout)->leads(); }));
    });
  }

  void CutsDivergentTails()
  {
    GroupFixture group;
    const auto old = DatabaseConnection::Open(group.At(0).Address());
    const auto shared = Expect(*old, ExecuteRequest(2, "PUT a shared"));
    for (const std::size_t i : { 1, 2 }) {
      const auto replica = DatabaseConnection::Open(group.At(i).Address());
      Expect(*replica, WaitRequest(2, shared.position(), 9000));
    }
    standin::v1::DatabaseFaults faults;
    faults.set_cut_off(true);
    group.At(0).SetFaults(faults);
    Expect(*old, ExecuteRequest(2, "PUT a lost", {}, "lost-1"));
    Expect(*old, ExecuteRequest(2, "PUT b lost", {}, "lost-2"));
    Expect(*old, ExecuteRequest(2, "PUT c lost", {}, "lost-3"));
    CPPUNIT_ASSERT(group.At(1).client->Promote(3, kTimeout)->accepted());
    group.Follow(2, 3, 1);
    const auto primary = DatabaseConnection::Open(group.At(1).Address());
    const auto written = Expect(*primary, ExecuteRequest(3, "PUT b kept"));
    group.At(0).SetFaults({});
    group.Follow(0, 3, 1);
    const auto returned = DatabaseConnection::Open(group.At(0).Address());
    Expect(*returned, WaitRequest(3, written.position(), 9000));
    Section("data, request ids and history are those of the new primary", [&] {
      CPPUNIT_ASSERT((std::vector<std::string>{ "a shared", "b kept" } ==
                      RowsOf(Expect(*returned, ExecuteRequest(3, "SCAN ", {}, {}, true)))));
      CPPUNIT_ASSERT(!group.At(0).client->LookUpRequest(RequestId("lost-1"), kTimeout)->found());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 },
                           std::uint64_t{ group.At(0).Counters().cut_log_entries() });
      CPPUNIT_ASSERT_EQUAL(group.At(1).client->Report(kTimeout)->history(1).first_offset(),
                           group.At(0).client->Report(kTimeout)->history(1).first_offset());
    });
    Section("the discarded position is not held", [&] {
      v1::Position discarded = shared.position();
      discarded.set_offset(discarded.offset() + 1);
      Expect(*returned, WaitRequest(3, discarded, 20), v1::ANSWER_STATUS_BEHIND);
    });
  }

  void IgnoresTermsWhenTold()
  {
    GroupFixture group;
    standin::v1::DatabaseFaults faults;
    faults.set_ignore_terms(true);
    group.At(0).SetFaults(faults);
    CPPUNIT_ASSERT(group.At(0).client->AcceptTerm(3, kTimeout)->accepted());
    const auto connection = DatabaseConnection::Open(group.At(0).Address());
    const auto answer = Expect(*connection, ExecuteRequest(2, "PUT a 1"));
    Section("the accepted term shows that the server was fenced", [&] {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, std::uint64_t{ answer.accepted_term() });
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, std::uint64_t{ answer.position().term() });
    });
    group.At(0).SetFaults({});
    Expect(*connection, ExecuteRequest(2, "PUT a 2"), v1::ANSWER_STATUS_WRONG_TERM);
  }

  void KeepsWhatItReceived()
  {
    ServerFixture server;
    server.Lead(1);
    DatabaseConnectionOptions options;
    options.userAgent = "agent-text";
    const auto connection = DatabaseConnection::Open(server.Address(), options);
    Expect(*connection, ExecuteRequest(1, "PUT a ?", { "parameter-text" }, "id-text"));
    server.client->LookUpRequest(RequestId("lookup-text"), kTimeout);
    for (const char* text : { "agent-text", "parameter-text", "id-text", "lookup-text" }) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 1, server.ReceivedRecordsWith(text));
    }
    CPPUNIT_ASSERT_EQUAL(0, server.ReceivedRecordsWith("absent-text"));
  }

  void ComesBackWithItsState()
  {
    standin::DatabaseOptions options;
    options.stateFile = "DatabaseServerTest.state";
    std::remove(options.stateFile.c_str());
    v1::ServerReport before;
    {
      ServerFixture server(options);
      server.Lead(3);
      const auto connection = DatabaseConnection::Open(server.Address());
      Expect(*connection, ExecuteRequest(3, "ADD sum 5", {}, "deposit-1"));
      before = *server.client->Report(kTimeout);
    }
    std::ofstream(options.stateFile, std::ios::app | std::ios::binary) << "torn";
    for (int restart = 0; restart < 2; ++restart) {
      ServerFixture server(options);
      const auto after = *server.client->Report(kTimeout);
      CPPUNIT_ASSERT_EQUAL(before.SerializeAsString(), after.SerializeAsString());
      const auto connection = DatabaseConnection::Open(server.Address());
      CPPUNIT_ASSERT(
        Expect(*connection, ExecuteRequest(3, "ADD sum 5", {}, "deposit-1")).duplicate());
    }
    std::remove(options.stateFile.c_str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseServerTest);

} // namespace mustardshift
