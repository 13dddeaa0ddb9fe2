#include "RequestFixture.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mustardshift::test {

namespace {

/** Guards against verdicts and answers that become wrong through a promotion, and against answers
    that are returned to the wrong client. */
class RequestExecutionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestExecutionTest);
  CPPUNIT_TEST(TestConfirmationAfterPromotion);
  CPPUNIT_TEST(TestUnconfirmedNewPrimaryLeavesWriteInDoubt);
  CPPUNIT_TEST(TestReadQueuedAtPromotedReplica);
  CPPUNIT_TEST(TestRequestIdsOfTwoOrganisations);
  CPPUNIT_TEST(TestTransactionReadsAreMonotonic);
  CPPUNIT_TEST(TestCommitCountsAsRunning);
  CPPUNIT_TEST(TestLowerEntitlementClosesOnlyExcess);
  CPPUNIT_TEST(TestLateAnswerKeepsPositionAge);
  CPPUNIT_TEST(TestFencedPrimaryGetsNoFurtherStatements);
  CPPUNIT_TEST_SUITE_END();

public:
  /** A confirmation that starts after a promotion must fail at once and not at its deadline, so
      that there is time to look up the write at the new primary. */
  void TestConfirmationAfterPromotion()
  {
    RequestFixture fixture;
    standin::v1::DatabaseFaults cutOff;
    cutOff.set_cut_off(true);
    fixture.group.At(0).SetFaults(cutOff);
    fixture.group.At(1).Lead(3);
    fixture.SetPrimary(3, 1);
    const auto report = fixture.group.At(0).client->Report(kTimeout);
    auto reply = fixture.Start<bool>([&](Instant aNow, auto aReply) {
      fixture.dispatcher->ConfirmMajority(
        aNow,
        { 2, report->position().offset() },
        std::nullopt,
        aNow + std::chrono::milliseconds(500),
        [aReply](Instant, const Outcome<void>& aOutcome) {
          aReply(aOutcome ? Outcome<bool>(true) : tl::unexpected<Refusal>(aOutcome.error()));
        });
    });
    const auto outcome = RequestFixture::WaitForReply(reply);
    CPPUNIT_ASSERT(!outcome);
    CPPUNIT_ASSERT(outcome.error().reason == Reason::WrongTerm);
  }

  /** A write that the new primary's log lacks is still in doubt while no other server has entries
      of the new term: if the new primary fails, a further promotion may choose a server whose log
      holds the write. */
  void TestUnconfirmedNewPrimaryLeavesWriteInDoubt()
  {
    RequestFixture fixture;
    standin::v1::DatabaseFaults cutOff;
    cutOff.set_cut_off(true);
    cutOff.set_freeze_answers(true);
    fixture.group.At(0).SetFaults(cutOff);
    CallerRequest request = MakeCallerRequest("deposit", "ADD account 1");
    request.deadline = SystemBootClock{}.Now() + std::chrono::seconds(1);
    auto reply = fixture.Execute(request);
    CPPUNIT_ASSERT(Eventually([&] { return fixture.group.At(0).Counters().writes() == 1; }));
    standin::v1::DatabaseFaults hold;
    hold.set_hold_replication(true);
    fixture.group.At(1).SetFaults(hold);
    fixture.group.Follow(2, 3, 1);
    fixture.group.At(1).Lead(3);
    fixture.SetPrimary(3, 1);
    const auto outcome = RequestFixture::WaitForReply(reply);
    CPPUNIT_ASSERT(!outcome);
    CPPUNIT_ASSERT_EQUAL(std::string(ToString(Verdict::MayHaveRun)),
                         std::string(ToString(outcome.error().verdict)));
  }

  /** The answer to a read that was queued for a replica needs confirmation by a majority if that
      replica has become the primary. */
  void TestReadQueuedAtPromotedReplica()
  {
    RequestFixture fixture;
    standin::v1::DatabaseFaults hold;
    hold.set_hold_replication(true);
    fixture.group.At(2).SetFaults(hold);
    const auto written = fixture.ExecuteAndWait(MakeCallerRequest("write", "PUT seat free"));
    CPPUNIT_ASSERT(written);
    fixture.Probe();
    fixture.OnLoop([&](Instant) { fixture.dispatcher->SetEntitlement(0); });
    CallerRequest read = MakeCallerRequest("read", "GET seat", kStaleReadRoute);
    read.sessionToken = written->sessionToken;
    read.isReadOnly = true;
    read.deadline = SystemBootClock{}.Now() + std::chrono::milliseconds(1500);
    auto reply = fixture.Execute(read);
    fixture.group.At(1).SetFaults(hold);
    fixture.group.At(1).Lead(3);
    fixture.group.Follow(2, 3, 1);
    fixture.SetPrimary(3, 1);
    fixture.Probe();
    fixture.OnLoop([&](Instant) { fixture.dispatcher->SetEntitlement(4); });
    const auto outcome = RequestFixture::WaitForReply(reply);
    CPPUNIT_ASSERT_MESSAGE("answer returned without confirmation by a majority", !outcome);
  }

  /** Clients choose their request ids. Two organisations that choose the same id must not get each
      other's answers. */
  void TestRequestIdsOfTwoOrganisations()
  {
    RequestFixture fixture;
    for (const char* name : { "a", "b" }) {
      CallerRequest request =
        MakeCallerRequest("1", std::string("ADD total-") + name + " 1", std::string("of-") + name);
      request.key = std::string("key-") + name;
      CPPUNIT_ASSERT(fixture.ExecuteAndWait(request));
      CallerRequest read =
        MakeCallerRequest("2", std::string("GET total-") + name, std::string("of-") + name);
      read.key = request.key;
      read.isReadOnly = true;
      const auto answer = fixture.ExecuteAndWait(read);
      CPPUNIT_ASSERT(answer);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{ 1 }, answer->rows.size());
    }
  }

  /** A read in a transaction raises the session's minimum position, even if the transaction is
      rolled back. */
  void TestTransactionReadsAreMonotonic()
  {
    RequestFixture fixture;
    CPPUNIT_ASSERT(fixture.ExecuteAndWait(MakeCallerRequest("write", "PUT seat taken")));
    const TransactionId id = fixture.Begin(MakeCallerRequest("begin", ""));
    auto reply = fixture.ExecuteInTransaction(id, MakeCallerRequest("", "GET seat"));
    const auto answer = RequestFixture::WaitForReply(reply);
    CPPUNIT_ASSERT(answer && answer->rows.size() == 1);
    CallerRequest next = MakeCallerRequest("next", "");
    next.sessionToken = answer->sessionToken;
    LogPosition floor;
    fixture.OnLoop([&](Instant aNow) {
      const auto context = fixture.processor.Authenticate(aNow, next, WorkKind::New);
      floor = context ? context->token.MinimumPositionFor(DatabaseName(kDatabase)) : LogPosition{};
    });
    CPPUNIT_ASSERT(floor.offset > 0);
  }

  /** A commit counts as running until its reply, not only until its transaction is removed, so that
      a graceful shutdown waits for it. */
  void TestCommitCountsAsRunning()
  {
    RequestFixture fixture;
    const TransactionId id = fixture.Begin(MakeCallerRequest("begin", ""));
    auto statement = fixture.ExecuteInTransaction(id, MakeCallerRequest("", "ADD account 1"));
    CPPUNIT_ASSERT(RequestFixture::WaitForReply(statement));
    standin::v1::DatabaseFaults hold;
    hold.set_hold_replication(true);
    fixture.group.At(0).SetFaults(hold);
    auto reply = fixture.Commit(id, MakeCallerRequest("commit", ""));
    CPPUNIT_ASSERT(Eventually([&] { return fixture.group.At(0).Counters().writes() == 1; }));
    const auto isIdle = [&] {
      bool idle = false;
      fixture.OnLoop([&](Instant) {
        idle =
          fixture.transactions.OpenTransactions() == 0 && fixture.processor.RunningRequests() == 0;
      });
      return idle;
    };
    // Gives the loop time to handle the commit's answer.
    for (int i = 0; i < 40 && !isIdle(); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CPPUNIT_ASSERT(!isIdle());
    fixture.group.At(0).SetFaults({});
    CPPUNIT_ASSERT(RequestFixture::WaitForReply(reply));
    CPPUNIT_ASSERT(Eventually(isIdle));
  }

  /** Lowering the entitlement closes only the connections in excess of it. */
  void TestLowerEntitlementClosesOnlyExcess()
  {
    RequestFixture fixture;
    // No connection becomes free before the last write has been sent, so that each write needs one
    // of its own.
    standin::v1::DatabaseFaults freeze;
    freeze.set_freeze_answers(true);
    fixture.group.At(0).SetFaults(freeze);
    std::vector<std::future<Outcome<CallerAnswer>>> replies;
    replies.reserve(4);
    for (int i = 0; i < 4; ++i) {
      replies.push_back(fixture.Execute(MakeCallerRequest("w" + std::to_string(i), "ADD n 1")));
    }
    CPPUNIT_ASSERT(Eventually([&] { return fixture.group.At(0).Counters().writes() == 4; }));
    fixture.group.At(0).SetFaults({});
    for (auto& reply : replies) {
      CPPUNIT_ASSERT(RequestFixture::WaitForReply(reply));
    }
    unsigned before = 0;
    unsigned after = 0;
    fixture.OnLoop([&](Instant) {
      before = fixture.dispatcher->HighestConnectionCount();
      fixture.dispatcher->SetEntitlement(before - 1);
      after = fixture.dispatcher->HighestConnectionCount();
    });
    CPPUNIT_ASSERT(before > 2);
    CPPUNIT_ASSERT_EQUAL(before - 1, after);
  }

  /** The position in an answer is as old as the request. A late answer must not make a replica at
      that position count as fresh. */
  void TestLateAnswerKeepsPositionAge()
  {
    RequestFixture fixture;
    standin::v1::OneTimeFaults late;
    late.set_late_answers(1);
    late.set_late_ms(600);
    fixture.group.At(0).InjectOnce(late);
    auto first = fixture.Execute(MakeCallerRequest("first", "ADD a 1"));
    CPPUNIT_ASSERT(Eventually([&] { return fixture.group.At(0).Counters().writes() == 1; }));
    CPPUNIT_ASSERT(fixture.ExecuteAndWait(MakeCallerRequest("second", "ADD b 1")));
    const auto end = fixture.group.At(0).client->Report(kTimeout);
    CPPUNIT_ASSERT(RequestFixture::WaitForReply(first));
    PlannedRead planned;
    fixture.OnLoop([&](Instant aNow) {
      planned = fixture.dispatcher->PlanRead(
        aNow, SessionToken(), std::chrono::milliseconds(300), aNow + kTimeout, {});
    });
    CPPUNIT_ASSERT(std::holds_alternative<ReadAtPrimary>(planned.plan) ||
                   planned.minimumPosition.offset >= end->position().offset());
  }

  /** A primary that has accepted a later term refuses every statement. Statements that were sent
      again shortly before their deadline would end in doubt although nothing ran. */
  void TestFencedPrimaryGetsNoFurtherStatements()
  {
    Section("a write is sent once", [] { ExpectOneRefusal(false); });
    Section("a read is sent once", [] { ExpectOneRefusal(true); });
  }

private:
  /** Executes one statement at a fenced primary until its deadline. */
  static void ExpectOneRefusal(bool aIsRead)
  {
    RequestFixture fixture;
    CPPUNIT_ASSERT(fixture.group.At(0).client->AcceptTerm(3, kTimeout)->accepted());
    CallerRequest request = MakeCallerRequest("late", aIsRead ? "GET account" : "ADD account 1");
    request.isReadOnly = aIsRead;
    request.deadline = SystemBootClock{}.Now() + std::chrono::seconds(1);
    auto reply = fixture.Execute(request);
    const auto outcome = RequestFixture::WaitForReply(reply);
    CPPUNIT_ASSERT(!outcome);
    CPPUNIT_ASSERT_EQUAL(std::string(ToString(Verdict::NotRun)),
                         std::string(ToString(outcome.error().verdict)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, fixture.group.At(0).Counters().wrong_terms());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestExecutionTest);

} // namespace

} // namespace mustardshift::test
