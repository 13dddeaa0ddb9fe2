#include "core/configuration/KeyHash.h"
#include "proxy/tests/SessionFixture.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace mustardshift::proxy {

using mustardshift::test::Section;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::CommandBehaviour;
using test::SessionFixture;

/** Guards against sessions that return data older than the route allows, lose a write or run it
    twice, use the state of another client's session, or report a wrong outcome. */
class ClientSessionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClientSessionTest);
  CPPUNIT_TEST(ReadsOnPrimaryRoutesRunOnlyOnThePrimary);
  CPPUNIT_TEST(BoundedReadsRequireALogPosition);
  CPPUNIT_TEST(SessionsReadTheirOwnWrites);
  CPPUNIT_TEST(PositionsOfAPreviousTermDontBlockReads);
  CPPUNIT_TEST(LostAnswersOfWritesAreReportedAsInDoubt);
  CPPUNIT_TEST(TransactionsRunOnOneConnection);
  CPPUNIT_TEST(ConnectionLossBetweenStatementsAbortsTheTransaction);
  CPPUNIT_TEST(ValuesAndPreparedStatementsAreIsolatedBySession);
  CPPUNIT_TEST(OrganisationsDontShareConnections);
  CPPUNIT_TEST(WithdrawnKeysAreRefusedInOpenSessions);
  CPPUNIT_TEST(KeysThatMoveEndTheTransaction);
  CPPUNIT_TEST(KeysAreCheckedWhenAStatementIsSent);
  CPPUNIT_TEST(ChangedRoutesTakeEffectAfterTheTransaction);
  CPPUNIT_TEST(UnconfirmedConfigurationsServePublicRoutesOnly);
  CPPUNIT_TEST(DisconnectedClientsHoldNoConnection);
  CPPUNIT_TEST(StatementsThatCannotRunAreRefusedImmediately);
  CPPUNIT_TEST(RefusedStatementsConsumeNoTokens);
  CPPUNIT_TEST(StatementsRefusedAsBusyAreRetried);
  CPPUNIT_TEST(IdleTransactionsAreRolledBack);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsOnPrimaryRoutesRunOnlyOnThePrimary()
  {
    SessionFixture fixture;
    const auto session = fixture.Open("bookings");
    Section("the primary answers", [&] {
      const ClientReply reply = fixture.Run(*session, "READ slot-1");
      CPPUNIT_ASSERT(!reply.error);
      CPPUNIT_ASSERT_EQUAL(std::string("row of READ slot-1"), reply.rows.at(0));
    });
    Section("a server that was demoted without this VM's knowledge doesn't run the read", [&] {
      fixture.network.Promote("s2");
      const std::size_t executedBefore = fixture.network.executedStatements.size();
      const ClientReply reply = fixture.Run(*session, "READ slot-1");
      CPPUNIT_ASSERT(reply.error == ErrorCode::Busy);
      CPPUNIT_ASSERT_EQUAL(executedBefore, fixture.network.executedStatements.size());
    });
    Section("the new primary runs the read once its record shows the role", [&] {
      fixture.Put("s2", ServerRole::Primary);
      CPPUNIT_ASSERT(!fixture.Run(*session, "READ slot-1").error);
      CPPUNIT_ASSERT_EQUAL(std::string("s2"),
                           fixture.network.executedStatements.back().server.Text());
    });
  }

  void BoundedReadsRequireALogPosition()
  {
    SessionFixture fixture;
    const auto writer = fixture.Open("bookings");
    const auto board = fixture.Open("board");
    CPPUNIT_ASSERT(!fixture.Run(*writer, "WRITE slot-1 uwase").error);
    Section("replicas that lack a write older than the staleness bound are skipped", [&] {
      fixture.Advance(milliseconds(1450));
      CPPUNIT_ASSERT(!fixture.Run(*writer, "READ slot-1").error);
      fixture.Advance(milliseconds(100));
      CPPUNIT_ASSERT(!fixture.Run(*board, "READ slot-1").error);
      CPPUNIT_ASSERT_EQUAL(std::string("s1"),
                           fixture.network.executedStatements.back().server.Text());
    });
    Section("replicas that have the write serve the read", [&] {
      fixture.network.Server("s2").position = { 1, 1 };
      fixture.network.Server("s3").position = { 1, 1 };
      fixture.Advance(milliseconds(100));
      CPPUNIT_ASSERT(!fixture.Run(*board, "READ slot-1").error);
      CPPUNIT_ASSERT(fixture.network.executedStatements.back().server != ServerId("s1"));
    });
    Section("without a recent position of the primary only the primary runs the read", [&] {
      fixture.Advance(seconds(3));
      fixture.Confirm();
      fixture.network.Promote("s2");
      const std::size_t executedBefore = fixture.network.executedStatements.size();
      CPPUNIT_ASSERT(fixture.Run(*board, "READ slot-1").error == ErrorCode::Busy);
      CPPUNIT_ASSERT_EQUAL(executedBefore, fixture.network.executedStatements.size());
    });
  }

  void SessionsReadTheirOwnWrites()
  {
    SessionFixture fixture;
    const auto session = fixture.Open("notes");
    const auto otherSession = fixture.Open("notes", "key-green");
    CPPUNIT_ASSERT(!fixture.Run(*session, "READ note-1").error);
    CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE note-1 waist").error);
    Section("the writer's read goes to a server that has the write", [&] {
      CPPUNIT_ASSERT(!fixture.Run(*session, "READ note-1").error);
      CPPUNIT_ASSERT_EQUAL(std::string("s1"),
                           fixture.network.executedStatements.back().server.Text());
    });
    Section("another session may read from a replica that lacks the write, within the bound", [&] {
      CPPUNIT_ASSERT(!fixture.Run(*otherSession, "READ note-1").error);
      CPPUNIT_ASSERT(fixture.network.executedStatements.back().server != ServerId("s1"));
    });
    Section("a replica that has caught up serves the writer too", [&] {
      fixture.network.Server("s2").position = { 1, 1 };
      fixture.Advance(milliseconds(200));
      CPPUNIT_ASSERT(!fixture.Run(*session, "READ note-1").error);
      CPPUNIT_ASSERT_EQUAL(std::string("s2"),
                           fixture.network.executedStatements.back().server.Text());
    });
  }

  void PositionsOfAPreviousTermDontBlockReads()
  {
    SessionFixture fixture;
    const auto session = fixture.Open("notes");
    CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE note-1 waist").error);
    // The promoted replica lacks the write, so no server reaches position 1.1 again.
    fixture.network.Promote("s2");
    fixture.Put("s1", ServerRole::Replica);
    fixture.Put("s2", ServerRole::Primary);
    const ClientReply reply = fixture.Run(*session, "READ note-1");
    CPPUNIT_ASSERT(!reply.error);
    CPPUNIT_ASSERT_EQUAL(std::string("s2"),
                         fixture.network.executedStatements.back().server.Text());
  }

  void LostAnswersOfWritesAreReportedAsInDoubt()
  {
    SessionFixture fixture;
    const auto session = fixture.Open("bookings");
    auto& primary = fixture.network.Server("s1");
    const auto loseWrites = [](CommandBehaviour aConduct) {
      return [aConduct](const ServerCommand& aCommand) {
        return aCommand.text.starts_with("WRITE") || aCommand.text == "COMMIT"
                 ? aConduct
                 : CommandBehaviour::Answer;
      };
    };
    Section("a write whose answer was lost is in doubt and is not repeated", [&] {
      primary.behaviour = loseWrites(CommandBehaviour::BreakAfterRun);
      CPPUNIT_ASSERT(fixture.Run(*session, "WRITE slot-1 uwase").error == ErrorCode::InDoubt);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.RunsOf("WRITE slot-1 uwase").size());
    });
    Section("a write lost before it ran is in doubt too: the proxy can't tell whether it ran", [&] {
      primary.behaviour = loseWrites(CommandBehaviour::BreakBeforeRun);
      CPPUNIT_ASSERT(fixture.Run(*session, "WRITE slot-2 uwase").error == ErrorCode::InDoubt);
    });
    Section("a write that the server doesn't answer is in doubt", [&] {
      primary.behaviour = loseWrites(CommandBehaviour::NoReply);
      CPPUNIT_ASSERT(fixture.Run(*session, "WRITE slot-3 uwase").error == ErrorCode::InDoubt);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.RunsOf("WRITE slot-3 uwase").size());
    });
    Section("a commit whose answer was lost is in doubt", [&] {
      fixture.Confirm();
      primary.behaviour = nullptr;
      CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN").error);
      CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-4 uwase").error);
      primary.behaviour = loseWrites(CommandBehaviour::BreakAfterRun);
      const ClientReply reply = fixture.Run(*session, "COMMIT");
      CPPUNIT_ASSERT(reply.error == ErrorCode::InDoubt);
      CPPUNIT_ASSERT(reply.state == TransactionState::Idle);
    });
    Section("a statement lost before its commit was sent aborts the transaction", [&] {
      primary.behaviour = nullptr;
      CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN").error);
      CPPUNIT_ASSERT(!fixture.Run(*session, "READ slot-4").error);
      primary.behaviour = loseWrites(CommandBehaviour::BreakAfterRun);
      const ClientReply reply = fixture.Run(*session, "WRITE slot-5 uwase");
      CPPUNIT_ASSERT(reply.error == ErrorCode::Aborted);
      CPPUNIT_ASSERT(reply.state == TransactionState::Failed);
    });
    Section("reads are repeated on another server", [&] {
      primary.behaviour = nullptr;
      const auto board = fixture.Open("board");
      CPPUNIT_ASSERT(!fixture.Run(*board, "READ slot-1").error);
      for (const char* replica : { "s2", "s3" }) {
        fixture.network.Server(replica).behaviour = [](const ServerCommand&) {
          return CommandBehaviour::BreakAfterRun;
        };
      }
      fixture.network.Server("s2").position = { 1, 9 };
      fixture.network.Server("s3").position = { 1, 9 };
      CPPUNIT_ASSERT(!fixture.Run(*board, "READ slot-1").error);
    });
  }

  void TransactionsRunOnOneConnection()
  {
    SessionFixture fixture;
    const auto session = fixture.Open("bookings");
    const auto otherSession = fixture.Open("bookings");
    CPPUNIT_ASSERT(fixture.Run(*session, "BEGIN").state == TransactionState::Open);
    CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-1 uwase").error);
    Section("another client's statement runs outside the transaction", [&] {
      CPPUNIT_ASSERT(!fixture.Run(*otherSession, "WRITE slot-2 keza").error);
      CPPUNIT_ASSERT(!fixture.RunsOf("WRITE slot-2 keza").at(0).isInTransaction);
    });
    Section("the session's own statements run inside the transaction, and the commit ends it", [&] {
      CPPUNIT_ASSERT(fixture.RunsOf("WRITE slot-1 uwase").at(0).isInTransaction);
      const ClientReply reply = fixture.Run(*session, "COMMIT");
      CPPUNIT_ASSERT(!reply.error);
      CPPUNIT_ASSERT(!reply.signature.empty());
      CPPUNIT_ASSERT(reply.state == TransactionState::Idle);
    });
    Section("a rollback discards the writes", [&] {
      const LogPosition positionBefore = fixture.network.Server("s1").position;
      CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN").error);
      CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-3 uwase").error);
      CPPUNIT_ASSERT(!fixture.Run(*session, "ROLLBACK").error);
      fixture.Advance(milliseconds(50));
      CPPUNIT_ASSERT(positionBefore == fixture.network.Server("s1").position);
    });
    Section("statements that don't fit the transaction state are refused and change nothing", [&] {
      CPPUNIT_ASSERT(fixture.Run(*session, "COMMIT").error == ErrorCode::Malformed);
      CPPUNIT_ASSERT(fixture.Run(*session, "ROLLBACK").error == ErrorCode::Malformed);
      CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN").error);
      const ClientReply reply = fixture.Run(*session, "BEGIN");
      CPPUNIT_ASSERT(reply.error == ErrorCode::Malformed);
      CPPUNIT_ASSERT(reply.state == TransactionState::Open);
    });
  }

  void ConnectionLossBetweenStatementsAbortsTheTransaction()
  {
    SessionFixture fixture;
    const auto session = fixture.Open("bookings");
    CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN").error);
    CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-1 uwase").error);
    fixture.network.BreakConnections(fixture.now, "s1");
    Section("the commit is never sent, so the abort is certain", [&] {
      const ClientReply reply = fixture.Run(*session, "COMMIT");
      CPPUNIT_ASSERT(reply.error == ErrorCode::Aborted);
      CPPUNIT_ASSERT(reply.state == TransactionState::Idle);
      CPPUNIT_ASSERT(fixture.RunsOf("COMMIT").empty());
    });
    Section("the session continues on another connection",
            [&] { CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-1 uwase").error); });
  }

  void ValuesAndPreparedStatementsAreIsolatedBySession()
  {
    SessionFixture fixture;
    const auto firstSession = fixture.Open("notes");
    const auto secondSession = fixture.Open("notes");
    const auto third = fixture.Open("notes");
    const std::size_t linesBefore = fixture.lines.size();
    fixture.Run(*firstSession, "SET language rw");
    fixture.Run(*secondSession, "SET language fr");
    fixture.Run(*firstSession, "PREPARE p READ shape-a");
    fixture.Run(*secondSession, "PREPARE p READ shape-b");
    Section("statements that the proxy answers itself write no log lines",
            [&] { CPPUNIT_ASSERT_EQUAL(linesBefore, fixture.lines.size()); });
    Section("each statement runs with its session's variables and prepared statements", [&] {
      CPPUNIT_ASSERT(!fixture.Run(*firstSession, "EXECUTE p 1").error);
      CPPUNIT_ASSERT_EQUAL(std::string("r:shape-a 1"),
                           fixture.network.executedStatements.back().statement);
      CPPUNIT_ASSERT_EQUAL(std::string("rw"),
                           fixture.network.executedStatements.back().variables.at("language"));
      CPPUNIT_ASSERT(!fixture.Run(*secondSession, "EXECUTE p 2").error);
      CPPUNIT_ASSERT_EQUAL(std::string("r:shape-b 2"),
                           fixture.network.executedStatements.back().statement);
      CPPUNIT_ASSERT_EQUAL(std::string("fr"),
                           fixture.network.executedStatements.back().variables.at("language"));
    });
    Section("a session without variables runs without the variables of other sessions", [&] {
      CPPUNIT_ASSERT(!fixture.Run(*third, "READ note-1").error);
      CPPUNIT_ASSERT(fixture.network.executedStatements.back().variables.empty());
    });
    Section("a name that is prepared again runs the new statement", [&] {
      fixture.Run(*firstSession, "PREPARE p READ shape-c");
      CPPUNIT_ASSERT(!fixture.Run(*firstSession, "EXECUTE p 3").error);
      CPPUNIT_ASSERT_EQUAL(std::string("r:shape-c 3"),
                           fixture.network.executedStatements.back().statement);
    });
    Section("executing an unknown name is refused", [&] {
      CPPUNIT_ASSERT(fixture.Run(*third, "EXECUTE p 1").error == ErrorCode::UnknownStatement);
    });
  }

  void OrganisationsDontShareConnections()
  {
    SessionFixture fixture;
    // Allows one connection per server, so that the organisations compete for it.
    fixture.pool.SetFleetSize(std::nullopt);
    const auto blue = fixture.Open("bookings");
    const auto green = fixture.Open("bookings", "key-green");
    for (int round = 0; round < 3; ++round) {
      CPPUNIT_ASSERT(!fixture.Run(*blue, "READ b").error);
      CPPUNIT_ASSERT_EQUAL(std::string("blue"),
                           fixture.network.executedStatements.back().organisation.Text());
      CPPUNIT_ASSERT(!fixture.Run(*green, "READ g").error);
      CPPUNIT_ASSERT_EQUAL(std::string("green"),
                           fixture.network.executedStatements.back().organisation.Text());
      CPPUNIT_ASSERT(fixture.network.Server("s1").connectionCount <= 1);
    }
  }

  void WithdrawnKeysAreRefusedInOpenSessions()
  {
    SessionFixture fixture;
    const auto session = fixture.Open("bookings");
    CPPUNIT_ASSERT(!fixture.Run(*session, "READ slot-1").error);
    SessionConfiguration nextSession = fixture.MakeConfiguration(2);
    std::erase_if(nextSession.organisationsByKeyHash,
                  [](const auto& aEntry) { return aEntry.second == OrganisationName("blue"); });
    fixture.cluster.ApplyConfigurationIfNewer(nextSession);
    CPPUNIT_ASSERT(fixture.Run(*session, "READ slot-1").error == ErrorCode::Unauthorised);
    CPPUNIT_ASSERT(fixture.Open("bookings") == nullptr);
    Section("an older configuration doesn't restore the key", [&] {
      CPPUNIT_ASSERT(!fixture.cluster.ApplyConfigurationIfNewer(fixture.MakeConfiguration(1)));
      CPPUNIT_ASSERT(fixture.Open("bookings") == nullptr);
    });
  }

  /** Guards against a transaction that goes on for an organisation which no longer has the client's
      key. */
  void KeysThatMoveEndTheTransaction()
  {
    for (const char* next : { "READ slot-1", "WRITE slot-2 keza", "COMMIT" }) {
      SessionFixture fixture;
      const auto session = fixture.Open("bookings");
      CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN").error);
      CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-1 uwase").error);
      SessionConfiguration moved = fixture.MakeConfiguration(2);
      moved.organisationsByKeyHash[KeyHash("key-blue")] = OrganisationName("green");
      fixture.cluster.ApplyConfigurationIfNewer(moved);
      const std::size_t executedBefore = fixture.network.executedStatements.size();
      Section("its next statement is not sent, and the transaction is rolled back", [&] {
        const ClientReply reply = fixture.Run(*session, next);
        CPPUNIT_ASSERT_MESSAGE(next, reply.error == ErrorCode::Aborted);
        fixture.Advance(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(executedBefore, fixture.network.executedStatements.size());
        if (reply.state == TransactionState::Failed) {
          fixture.Run(*session, "ROLLBACK");
        }
      });
      Section("the session goes on for the organisation that has the key now", [&] {
        CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-3 keza").error);
        CPPUNIT_ASSERT_EQUAL(std::string("green"),
                             fixture.RunsOf("WRITE slot-3 keza").at(0).organisation.Text());
        CPPUNIT_ASSERT(!fixture.RunsOf("WRITE slot-3 keza").at(0).isInTransaction);
      });
    }
  }

  /** Guards against a key that is withdrawn, or moved, while a statement waits for a connection. */
  void KeysAreCheckedWhenAStatementIsSent()
  {
    for (const bool isMoved : { false, true }) {
      SessionFixture fixture;
      // Allows one connection per server, so that the second session waits for it.
      fixture.pool.SetFleetSize(std::nullopt);
      const auto first = fixture.Open("bookings");
      const auto second = fixture.Open("bookings");
      CPPUNIT_ASSERT(!fixture.Run(*first, "BEGIN").error);
      CPPUNIT_ASSERT(!fixture.Run(*first, "WRITE slot-1 uwase").error);
      const auto waiting = fixture.Start(*second, "WRITE slot-2 keza");
      fixture.Advance(milliseconds(50));
      CPPUNIT_ASSERT(!waiting->has_value());
      SessionConfiguration changed = fixture.MakeConfiguration(2);
      changed.organisationsByKeyHash.erase(KeyHash("key-blue"));
      if (isMoved) {
        changed.organisationsByKeyHash[KeyHash("key-blue")] = OrganisationName("green");
      }
      fixture.cluster.ApplyConfigurationIfNewer(changed);
      // Releases the connection.
      fixture.Run(*first, "ROLLBACK");
      fixture.Advance(milliseconds(50));
      CPPUNIT_ASSERT(waiting->has_value());
      CPPUNIT_ASSERT((*waiting)->error == (isMoved ? ErrorCode::Aborted : ErrorCode::Unauthorised));
      CPPUNIT_ASSERT(fixture.RunsOf("WRITE slot-2 keza").empty());
      Section("the connection is free for others", [&] {
        const auto green = fixture.Open("bookings", "key-green");
        CPPUNIT_ASSERT(!fixture.Run(*green, "WRITE slot-2 keza").error);
      });
    }
  }

  void ChangedRoutesTakeEffectAfterTheTransaction()
  {
    SessionFixture fixture;
    const auto changeAccess = [&](std::uint64_t aVersion, const char* aDatabase, bool aIsPublic) {
      SessionConfiguration changed = fixture.MakeConfiguration(aVersion);
      changed.routes[aDatabase].isPublic = aIsPublic;
      fixture.cluster.ApplyConfigurationIfNewer(changed);
    };
    Section("a transaction of an organisation stays its own while the route becomes public", [&] {
      const auto session = fixture.Open("bookings");
      CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN").error);
      CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-1 uwase").error);
      changeAccess(2, "bookings", true);
      CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-2 uwase").error);
      CPPUNIT_ASSERT(!fixture.Run(*session, "COMMIT").error);
      CPPUNIT_ASSERT_EQUAL(std::string("blue"), fixture.RunsOf("COMMIT").at(0).organisation.Text());
    });
    Section("a public transaction goes on while the route becomes private", [&] {
      const auto session = fixture.Open("hours", "");
      CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN READ").error);
      CPPUNIT_ASSERT(!fixture.Run(*session, "READ hours-1").error);
      changeAccess(3, "hours", false);
      CPPUNIT_ASSERT(!fixture.Run(*session, "READ hours-2").error);
      CPPUNIT_ASSERT(!fixture.Run(*session, "COMMIT").error);
      CPPUNIT_ASSERT(fixture.Run(*session, "READ hours-3").error == ErrorCode::Unauthorised);
    });
  }

  void UnconfirmedConfigurationsServePublicRoutesOnly()
  {
    SessionFixture fixture;
    const auto sessionWithKey = fixture.Open("bookings");
    const auto publicSession = fixture.Open("hours", "");
    CPPUNIT_ASSERT(!fixture.Run(*sessionWithKey, "READ slot-1").error);
    fixture.Advance(seconds(5));
    CPPUNIT_ASSERT(fixture.Run(*sessionWithKey, "READ slot-1").error == ErrorCode::Busy);
    CPPUNIT_ASSERT(!fixture.Run(*publicSession, "READ hours").error);
  }

  void DisconnectedClientsHoldNoConnection()
  {
    SessionFixture fixture;
    Section("between two statements of a transaction", [&] {
      const auto session = fixture.Open("bookings");
      CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN").error);
      CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-1 uwase").error);
      session->End(fixture.now);
      fixture.Advance(milliseconds(50));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.pool.BusyCount(ServerId("s1")));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.network.Server("s1").position.offset);
    });
    Section("while a statement runs", [&] {
      const auto session = fixture.Open("bookings");
      CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN").error);
      const auto reply = fixture.Start(*session, "WRITE slot-1 uwase");
      fixture.Advance(milliseconds(3));
      session->End(fixture.now);
      fixture.Advance(milliseconds(50));
      CPPUNIT_ASSERT(!reply->has_value());
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.pool.BusyCount(ServerId("s1")));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.network.Server("s1").position.offset);
    });
    Section("the next client's statement runs outside the old transaction", [&] {
      const auto nextSession = fixture.Open("bookings");
      CPPUNIT_ASSERT(!fixture.Run(*nextSession, "WRITE slot-2 keza").error);
      CPPUNIT_ASSERT(!fixture.network.executedStatements.back().isInTransaction);
    });
  }

  void StatementsThatCannotRunAreRefusedImmediately()
  {
    SessionFixture fixture;
    const auto session = fixture.Open("bookings");
    Section("without a primary", [&] {
      fixture.Put("s1", ServerRole::Replica);
      const auto reply = fixture.Start(*session, "WRITE slot-1 uwase");
      CPPUNIT_ASSERT(reply->has_value());
      CPPUNIT_ASSERT((*reply)->error == ErrorCode::Busy);
    });
    Section("above the organisation's rate", [&] {
      fixture.Put("s1", ServerRole::Primary);
      RateAllocation none;
      none.version = 2;
      fixture.buckets.Configure(fixture.now, fixture.cluster.Configuration().limits, none);
      const auto reply = fixture.Start(*session, "WRITE slot-1 uwase");
      CPPUNIT_ASSERT(reply->has_value());
      CPPUNIT_ASSERT((*reply)->error == ErrorCode::Busy);
    });
  }

  /** Guards against retries that use up an organisation's rate while a database has no primary: its
      statements to other databases would then be refused. */
  void RefusedStatementsConsumeNoTokens()
  {
    SessionFixture fixture;
    RateAllocation allocation;
    allocation.version = 2;
    allocation.shares[OrganisationName("blue")][VmId("vm-1")] = { kRateParts, kRateParts, 1 };
    fixture.buckets.Configure(fixture.now, { { OrganisationName("blue"), { 1, 20 } } }, allocation);
    const auto session = fixture.Open("bookings");
    Section("without a primary", [&] {
      fixture.Put("s1", ServerRole::Replica);
      for (int count = 0; count < 200; ++count) {
        CPPUNIT_ASSERT(fixture.Run(*session, "WRITE slot-1 uwase").error == ErrorCode::Busy);
      }
      fixture.Put("s1", ServerRole::Primary);
      CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-1 uwase").error);
    });
    Section("when no connection becomes free in time", [&] {
      fixture.network.Server("s1").connectionLimit = 0;
      fixture.network.BreakConnections(fixture.now, "s1");
      for (int count = 0; count < 60; ++count) {
        fixture.Confirm();
        CPPUNIT_ASSERT(fixture.Run(*session, "WRITE slot-1 uwase").error == ErrorCode::Busy);
      }
      fixture.network.Server("s1").connectionLimit = 20;
      fixture.Advance(milliseconds(200));
      fixture.Confirm();
      CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-1 uwase").error);
    });
  }

  void StatementsRefusedAsBusyAreRetried()
  {
    SessionFixture fixture;
    const auto session = fixture.Open("bookings");
    int refusals = 2;
    fixture.network.Server("s1").refusal =
      [&](const ServerCommand& aCommand) -> std::optional<ErrorCode> {
      if (!aCommand.requestId.empty() && refusals-- > 0) {
        return ErrorCode::Busy;
      }
      return std::nullopt;
    };
    CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-1 uwase").error);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.RunsOf("WRITE slot-1 uwase").size());
    Section("inside a transaction", [&] {
      CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN").error);
      CPPUNIT_ASSERT(!fixture.Run(*session, "READ slot-1").error);
      refusals = 2;
      CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-1 keza").error);
      refusals = 2;
      CPPUNIT_ASSERT(!fixture.Run(*session, "COMMIT").error);
    });
  }

  void IdleTransactionsAreRolledBack()
  {
    SessionFixture fixture;
    const auto session = fixture.Open("bookings");
    CPPUNIT_ASSERT(!fixture.Run(*session, "BEGIN").error);
    CPPUNIT_ASSERT(!fixture.Run(*session, "WRITE slot-1 uwase").error);
    fixture.Advance(milliseconds(3100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.pool.BusyCount(ServerId("s1")));
    const ClientReply reply = fixture.Run(*session, "COMMIT");
    CPPUNIT_ASSERT(reply.error == ErrorCode::Aborted);
    CPPUNIT_ASSERT(reply.state == TransactionState::Idle);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.network.Server("s1").position.offset);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientSessionTest);

} // namespace mustardshift::proxy
