#include "proxy/shutdown/GracefulShutdown.h"
#include "proxy/tests/SessionFixture.h"
#include "support/Section.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardshift::proxy {

using mustardshift::test::Section;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::CommandBehaviour;
using test::SessionFixture;

namespace {

constexpr Duration kGrace = seconds(6);

/** Sessions of one VM whose clients each wait for the reply to at most one statement; satisfies
    StoppableSessions. */
struct FakeSessions
{
  SessionFixture& fixture;
  std::vector<std::shared_ptr<ClientSession<test::FakeNetwork>>> sessions;
  bool areIdleClosed = false;
  std::optional<Instant> exitedAt;

  void CloseIdle() { this->areIdleClosed = true; }
  void RefuseStatements() { this->fixture.context.isStopping = true; }
  void AnswerRunningStatements(Instant aNow)
  {
    for (const auto& session : this->sessions) {
      session->AnswerRunningStatement(aNow);
    }
  }
  std::size_t PendingClientCount()
  {
    return static_cast<std::size_t>(
      std::count_if(this->sessions.begin(), this->sessions.end(), [](const auto& aSession) {
        return aSession->IsRunning();
      }));
  }
};

/** A VM that is told to stop while a client is inside a transaction. */
struct StoppingVm : SessionFixture
{
  StoppingVm()
  {
    SessionConfiguration configuration = this->MakeConfiguration(2);
    configuration.routes["bookings"].statementTimeout = seconds(4);
    configuration.transactionIdleTimeout = seconds(30);
    this->cluster.ApplyConfigurationIfNewer(configuration);
    this->session = this->Open("bookings");
    this->sessions.sessions.push_back(this->session);
    CPPUNIT_ASSERT(!this->Run(*this->session, "BEGIN").error);
    CPPUNIT_ASSERT(!this->Run(*this->session, "WRITE slot-1 uwase").error);
    this->stoppedAt = this->now;
    this->shutdown.Begin(this->now, kGrace);
  }

  /** Advances to this time after the stop was requested. */
  void AdvanceTo(Duration aSinceStop)
  {
    this->Advance(this->stoppedAt + aSinceStop - this->now);
    this->Confirm();
  }

  bool HasExited() const { return this->sessions.exitedAt.has_value(); }

  FakeSessions sessions{ *this, {}, false, {} };
  GracefulShutdown<FakeSessions> shutdown{ this->sessions, this->scheduler, this->log, [this] {
                                            this->sessions.exitedAt = this->now;
                                          } };
  std::shared_ptr<ClientSession<test::FakeNetwork>> session;
  Instant stoppedAt{};
};

} // namespace

/** Guards against a planned stop that cuts off statements which were sent to servers, so that their
    clients don't know whether they were committed. */
class ShutdownTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ShutdownTest);
  CPPUNIT_TEST(OpenTransactionsAreAbortedBeforeTheExit);
  CPPUNIT_TEST(TheExitWaitsForRunningStatements);
  CPPUNIT_TEST(StatementsWithoutAnAnswerAreEndedBeforeTheExit);
  CPPUNIT_TEST(ShortGracePeriodsKeepTheOrderOfTheSteps);
  CPPUNIT_TEST_SUITE_END();

public:
  void OpenTransactionsAreAbortedBeforeTheExit()
  {
    StoppingVm vm;
    Section("statements run during the first half of the grace period", [&] {
      vm.AdvanceTo(kGrace / 2);
      CPPUNIT_ASSERT(vm.sessions.areIdleClosed);
      CPPUNIT_ASSERT(!vm.Run(*vm.session, "READ slot-1").error);
    });
    vm.AdvanceTo(milliseconds(4400));
    Section("one that might still run at the exit is refused with a promise", [&] {
      const ClientReply reply = vm.Run(*vm.session, "COMMIT");
      CPPUNIT_ASSERT(reply.error == ErrorCode::Aborted);
      CPPUNIT_ASSERT(vm.RunsOf("COMMIT").empty());
      vm.Advance(milliseconds(50));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), vm.network.Server("s1").position.offset);
    });
    Section("a client can still end its transaction", [&] {
      StoppingVm other;
      other.AdvanceTo(milliseconds(4400));
      CPPUNIT_ASSERT(other.Run(*other.session, "READ slot-1").error == ErrorCode::Aborted);
      CPPUNIT_ASSERT(other.session->State() == TransactionState::Failed);
      CPPUNIT_ASSERT(!other.Run(*other.session, "ROLLBACK").error);
      CPPUNIT_ASSERT(other.session->State() == TransactionState::Idle);
    });
    Section("new statements and sessions are refused", [&] {
      CPPUNIT_ASSERT(vm.Run(*vm.session, "READ slot-1").error == ErrorCode::Busy);
      CPPUNIT_ASSERT(vm.Open("bookings") == nullptr);
    });
    Section("the exit is not delayed when nobody expects an answer", [&] {
      vm.AdvanceTo(kGrace);
      CPPUNIT_ASSERT(vm.HasExited());
      CPPUNIT_ASSERT(*vm.sessions.exitedAt - vm.stoppedAt == milliseconds(5300));
    });
  }

  void TheExitWaitsForRunningStatements()
  {
    StoppingVm vm;
    vm.network.Server("s1").slots = { vm.now };
    vm.network.Server("s1").statementDuration = milliseconds(1300);
    vm.AdvanceTo(milliseconds(4200));
    const auto reply = vm.Start(*vm.session, "COMMIT");
    vm.AdvanceTo(milliseconds(5400));
    CPPUNIT_ASSERT(!vm.HasExited());
    vm.AdvanceTo(milliseconds(5550));
    Section("the commit that was running when the exit was due is answered", [&] {
      CPPUNIT_ASSERT(reply->has_value());
      CPPUNIT_ASSERT(!(*reply)->error);
    });
    Section("the process exits at once then", [&] { CPPUNIT_ASSERT(vm.HasExited()); });
  }

  void StatementsWithoutAnAnswerAreEndedBeforeTheExit()
  {
    StoppingVm vm;
    vm.AdvanceTo(milliseconds(4200));
    vm.network.Server("s1").isUnresponsive = true;
    const auto reply = vm.Start(*vm.session, "COMMIT");
    vm.AdvanceTo(kGrace);
    Section("a commit without an answer is reported as in doubt", [&] {
      CPPUNIT_ASSERT(reply->has_value());
      CPPUNIT_ASSERT((*reply)->error == ErrorCode::InDoubt);
    });
    Section("a statement before the commit as aborted", [&] {
      StoppingVm other;
      other.AdvanceTo(milliseconds(4200));
      other.network.Server("s1").isUnresponsive = true;
      const auto readReply = other.Start(*other.session, "READ slot-1");
      other.AdvanceTo(kGrace);
      CPPUNIT_ASSERT(readReply->has_value());
      CPPUNIT_ASSERT((*readReply)->error == ErrorCode::Aborted);
    });
    Section("the process exits within the grace period", [&] {
      CPPUNIT_ASSERT(vm.HasExited());
      CPPUNIT_ASSERT(*vm.sessions.exitedAt - vm.stoppedAt < kGrace);
    });
  }

  void ShortGracePeriodsKeepTheOrderOfTheSteps()
  {
    const Instant requestedAt{ seconds(50) };
    for (const Duration grace :
         { Duration(0), Duration(milliseconds(250)), Duration(seconds(1)), Duration(seconds(3)) }) {
      const ShutdownSchedule schedule = MakeShutdownSchedule(requestedAt, grace);
      CPPUNIT_ASSERT(requestedAt <= schedule.closeIdleAt);
      CPPUNIT_ASSERT(schedule.closeIdleAt <= schedule.refuseAt);
      CPPUNIT_ASSERT(schedule.refuseAt <= schedule.exitAt);
      CPPUNIT_ASSERT(schedule.exitAt <= schedule.answerAt);
      CPPUNIT_ASSERT(schedule.answerAt <= schedule.forcedExitAt);
      CPPUNIT_ASSERT(schedule.forcedExitAt <= requestedAt + grace);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);

} // namespace mustardshift::proxy
