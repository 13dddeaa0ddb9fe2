#include "proxy/limits/ClientLimits.h"
#include "proxy/limits/DescriptorPlan.h"
#include "proxy/limits/LimitReporter.h"
#include "proxy/limits/MemoryBudget.h"
#include "proxy/limits/ProgressRule.h"
#include "proxy/pool/PooledConnection.h"
#include "proxy/session/SessionState.h"
#include "proxy/session/SetupCommands.h"
#include "proxy/tests/FakeNetwork.h"
#include "proxy/tests/SessionFixture.h"
#include "support/Section.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

using mustardshift::test::Section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kMiB = std::size_t(1) << 20;
constexpr std::size_t kCapacity = 10 * kMiB;

/** A connection that releases what it holds when it is shed. */
struct Connection
{
  Connection(MemoryBudget& aBudget, Instant aNow, std::size_t aHeld)
    : holder(std::make_unique<MemoryHolder>(
        aBudget,
        aNow,
        MemoryHolder::Handlers{ [this](Instant) {
                                 this->isShed = true;
                                 this->holder.reset();
                               },
                                [this](Instant) { ++this->resumed; } }))
  {
    this->holder->SetHeld(aHeld);
  }

  std::unique_ptr<MemoryHolder> holder;
  bool isShed = false;
  int resumed = 0;
};

using Connections = std::vector<std::unique_ptr<Connection>>;

Connections MakeConnections(MemoryBudget& aBudget,
                            Instant aNow,
                            std::size_t aCount,
                            std::size_t aHeld)
{
  Connections connections;
  for (std::size_t count = 0; count < aCount; ++count) {
    connections.push_back(std::make_unique<Connection>(aBudget, aNow, aHeld));
  }
  return connections;
}

std::size_t ShedCount(const Connections& aConnections)
{
  return static_cast<std::size_t>(
    std::count_if(aConnections.begin(), aConnections.end(), [](const auto& aConnection) {
      return aConnection->isShed;
    }));
}

Statement SetVariable(const std::string& aName, std::size_t aSize)
{
  Statement statement;
  statement.kind = StatementKind::SetVariable;
  statement.name = aName;
  statement.body = std::string(aSize, 'x');
  return statement;
}

} // namespace

/** Guards against limits that let a process exceed its memory or its descriptors, that close
   clients which keep to the protocol, and against connections that wait for each other without end.
 */
class LimitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(AFullAccountGivesWayInOrder);
  CPPUNIT_TEST(TheLargestAndSlowestAreShedFirst);
  CPPUNIT_TEST(OrdinaryConnectionsAreShedLast);
  CPPUNIT_TEST(PressureEndsWithoutProgress);
  CPPUNIT_TEST(UncountedMemoryCounts);
  CPPUNIT_TEST(FreedMemoryIsReturnedOnce);
  CPPUNIT_TEST(StaysWithinItsCapacityInRandomHistories);
  CPPUNIT_TEST(ProgressIsRequiredAfterTheGrace);
  CPPUNIT_TEST(DescriptorsAreDivided);
  CPPUNIT_TEST(ReportsAreRateLimited);
  CPPUNIT_TEST(ARunningStatementIsMeasured);
  CPPUNIT_TEST(SessionStateIsMeasured);
  CPPUNIT_TEST(ConnectionsForgetLargeState);
  CPPUNIT_TEST_SUITE_END();

public:
  void AFullAccountGivesWayInOrder()
  {
    const Instant now{ seconds(100) };
    MemoryBudget budget(kCapacity);
    Connection small(budget, now, 8192);
    Connection large(budget, now, kMiB);
    Section("calm: everything is allowed", [&] {
      CPPUNIT_ASSERT(budget.MayAccept() && large.holder->MayRead() && budget.MayHold(kMiB));
    });
    Section("then no connection is accepted", [&] {
      large.holder->SetHeld(kCapacity * 76 / 100);
      CPPUNIT_ASSERT(!budget.MayAccept() && large.holder->MayRead());
    });
    Section("then large ones are not read, and no large statement is taken", [&] {
      large.holder->SetHeld(kCapacity * 81 / 100);
      CPPUNIT_ASSERT(!large.holder->MayRead() && small.holder->MayRead());
      CPPUNIT_ASSERT(!budget.MayHold(1));
    });
    Section("then nothing is read, and the large one is shed", [&] {
      large.holder->SetHeld(kCapacity + 1);
      CPPUNIT_ASSERT(!small.holder->MayRead());
      budget.Step(now);
      CPPUNIT_ASSERT(large.isShed && !small.isShed);
      CPPUNIT_ASSERT(budget.MayAccept() && small.holder->MayRead());
    });
  }

  void TheLargestAndSlowestAreShedFirst()
  {
    const Instant now{ seconds(100) };
    MemoryBudget budget(kCapacity);
    Connection active(budget, now - seconds(30), 4 * kMiB);
    Connection stalled(budget, now - seconds(30), 3 * kMiB);
    Connection smaller(budget, now - seconds(30), 2 * kMiB);
    for (const auto& [connection, bytes] : { std::pair(&active, 16'384), std::pair(&stalled, 1) }) {
      if (connection->holder->AddTransfer(static_cast<std::size_t>(bytes))) {
        connection->holder->NoteProgress(now);
      }
    }
    Section("a byte now and then is no progress", [&] {
      active.holder->SetHeld(6 * kMiB);
      budget.Step(now);
      CPPUNIT_ASSERT(stalled.isShed && !active.isShed && !smaller.isShed);
    });
  }

  void OrdinaryConnectionsAreShedLast()
  {
    const Instant now{ seconds(100) };
    MemoryBudget budget(kCapacity);
    // Idle for long, so that they would be the first by their score alone.
    Connections idle = MakeConnections(budget, now - seconds(90), 200, 4096);
    Connections large = MakeConnections(budget, now, 100, 120'000);
    budget.Step(now);
    CPPUNIT_ASSERT(ShedCount(large) > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), ShedCount(idle));
    CPPUNIT_ASSERT(budget.Held() <= kCapacity);
    Section("when only small ones are left, they give way too", [&] {
      large.clear();
      Connections many = MakeConnections(budget, now, 1000, 16'384);
      budget.Step(now);
      CPPUNIT_ASSERT(budget.Held() <= kCapacity);
      CPPUNIT_ASSERT(ShedCount(many) > 0);
    });
  }

  /** Guards against connections that are all not read because of each other, and so never finish.
   */
  void PressureEndsWithoutProgress()
  {
    Instant now{ seconds(100) };
    MemoryBudget budget(kCapacity);
    Connections connections = MakeConnections(budget, now, 85, kMiB / 10);
    for (const auto& connection : connections) {
      CPPUNIT_ASSERT(!connection->holder->MayRead());
      connection->holder->Block();
    }
    Section("nothing is shed at first", [&] {
      budget.Step(now);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), ShedCount(connections));
    });
    Section("then some are, and the others are read again", [&] {
      for (int step = 0; step < 20 && budget.NextStep(now); ++step) {
        now = *budget.NextStep(now);
        budget.Step(now);
      }
      CPPUNIT_ASSERT(ShedCount(connections) > 0);
      CPPUNIT_ASSERT(ShedCount(connections) < connections.size() / 4);
      const auto resumed =
        std::count_if(connections.begin(), connections.end(), [](const auto& aConnection) {
          return !aConnection->isShed && aConnection->resumed == 1;
        });
      CPPUNIT_ASSERT_EQUAL(connections.size() - ShedCount(connections),
                           static_cast<std::size_t>(resumed));
      CPPUNIT_ASSERT(budget.MayAccept());
    });
    Section("a calm account needs no steps", [&] {
      connections.clear();
      budget.NoteTrim(now);
      budget.Step(now);
      CPPUNIT_ASSERT(!budget.NextStep(now));
    });
  }

  void UncountedMemoryCounts()
  {
    const Instant now{ seconds(100) };
    MemoryBudget budget(kCapacity);
    budget.SetBaseline(17 * kMiB);
    Connection connection(budget, now, 5 * kMiB);
    budget.SetResident(22 * kMiB);
    CPPUNIT_ASSERT_EQUAL(5 * kMiB, budget.Used());
    budget.SetResident(25 * kMiB);
    CPPUNIT_ASSERT_EQUAL(8 * kMiB, budget.Used());
    Section("at most half of the capacity, so that it alone keeps nobody out", [&] {
      connection.holder->SetHeld(0);
      budget.SetResident(100 * kMiB);
      CPPUNIT_ASSERT_EQUAL(kCapacity / 2, budget.Used());
      budget.Step(now);
      CPPUNIT_ASSERT(budget.MayAccept());
    });
  }

  void FreedMemoryIsReturnedOnce()
  {
    const Instant now{ seconds(100) };
    MemoryBudget budget(kCapacity);
    int requests = 0;
    budget.SetStepHandler([&] { ++requests; });
    Connection connection(budget, now, 0);
    connection.holder->SetHeld(kMiB);
    connection.holder->SetHeld(0);
    CPPUNIT_ASSERT(!budget.ShouldTrim(now));
    connection.holder->SetHeld(3 * kMiB);
    budget.Step(now);
    connection.holder->SetHeld(0);
    CPPUNIT_ASSERT(budget.ShouldTrim(now));
    budget.NoteTrim(now);
    budget.Step(now);
    requests = 0;
    Section("not again within a second, and without a step for each statement", [&] {
      for (int statement = 0; statement < 10; ++statement) {
        connection.holder->SetHeld(5 * kMiB / 2);
        budget.Step(now);
        connection.holder->SetHeld(0);
        CPPUNIT_ASSERT(!budget.ShouldTrim(now + milliseconds(statement)));
      }
      budget.Step(now);
      requests = 0;
      for (int statement = 0; statement < 10; ++statement) {
        connection.holder->SetHeld(kMiB);
        connection.holder->SetHeld(0);
      }
      CPPUNIT_ASSERT_EQUAL(0, requests);
      CPPUNIT_ASSERT(budget.NextStep(now) == now + MemoryBudget::kTrimPeriod);
      CPPUNIT_ASSERT(budget.ShouldTrim(now + MemoryBudget::kTrimPeriod));
    });
  }

  /** Connections grow and shrink at random; what is above the capacity is gone after each step, and
      the sum is that of the holders. */
  void StaysWithinItsCapacityInRandomHistories()
  {
    for (unsigned seed = 1; seed <= 50; ++seed) {
      std::mt19937 random(20261206U + seed);
      Instant now{ seconds(100) };
      MemoryBudget budget(kCapacity);
      Connections connections = MakeConnections(budget, now, 60, 1000);
      for (int event = 0; event < 2000; ++event) {
        Connection& connection = *connections[random() % connections.size()];
        if (connection.holder == nullptr) {
          connections[random() % connections.size()] =
            std::make_unique<Connection>(budget, now, 1000);
          continue;
        }
        if (connection.holder->MayRead()) {
          connection.holder->SetHeld(connection.holder->Held() + random() % 65'536);
        } else {
          connection.holder->Block();
        }
        if (random() % 20 == 0) {
          now += milliseconds(random() % 200);
          budget.Step(now);
          CPPUNIT_ASSERT(budget.Used() <= kCapacity);
        }
      }
      std::size_t sum = 0;
      for (const auto& connection : connections) {
        sum += connection->holder == nullptr ? 0 : connection->holder->Held();
      }
      CPPUNIT_ASSERT_EQUAL(sum, budget.Held());
      connections.clear();
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.Held());
    }
  }

  void ProgressIsRequiredAfterTheGrace()
  {
    const Instant begun{ seconds(100) };
    const ProgressRule rule{ seconds(5), seconds(30), 4096 };
    CPPUNIT_ASSERT(rule.DueAt(begun, 0) == begun + seconds(5));
    CPPUNIT_ASSERT(rule.DueAt(begun, 40'960) == begun + seconds(15));
    CPPUNIT_ASSERT(rule.DueAt(begun, kMiB) == begun + seconds(30));
    CPPUNIT_ASSERT(rule.DueAt(begun, ~std::size_t(0)) == begun + seconds(30));
    Section("by default a message of 1 MiB may take 26 s at 40 KB/s", [&] {
      const ClientLimits limits;
      for (std::size_t second = 0; second <= 26; ++second) {
        CPPUNIT_ASSERT(limits.line.DueAt(begun, second * 40'000) >
                       begun + seconds(static_cast<int>(second)));
      }
    });
  }

  void DescriptorsAreDivided()
  {
    Section("a VM with 4,300 descriptors takes 4,000 idle sessions",
            [] { CPPUNIT_ASSERT(MakeDescriptorPlan(4300, std::nullopt).clients >= 4000); });
    Section("clients and ports never exceed the limit, from the least one on", [] {
      for (const std::size_t limit : { 64, 100, 256, 400, 1024, 4300, 11'108, 1 << 20 }) {
        const DescriptorPlan plan = MakeDescriptorPlan(limit, std::nullopt);
        CPPUNIT_ASSERT(plan.clients >= limit / 2);
        CPPUNIT_ASSERT(plan.clients + 2 * plan.httpConnections + plan.peerConnections < limit);
      }
    });
    Section("the reserve can be set", [] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(700), MakeDescriptorPlan(1000, 300).clients);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), MakeDescriptorPlan(100, 300).clients);
    });
  }

  void ReportsAreRateLimited()
  {
    std::vector<std::string> lines;
    EventLog log([&](std::string aLine) { lines.push_back(std::move(aLine)); }, 300);
    int counted = 0;
    LimitReporter reporter(log, [&](LimitKind) { ++counted; });
    const Instant now{ seconds(100) };
    for (int time = 0; time < 1000; ++time) {
      reporter.Report(now + milliseconds(time), LimitKind::LineTime, 17, 20);
    }
    reporter.Report(now + seconds(1), LimitKind::LineTime, 18, 20);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), lines.size());
    CPPUNIT_ASSERT_EQUAL(1001, counted);
    CPPUNIT_ASSERT_EQUAL(
      std::string("101000 limit reached limit=line-time figure=18 bound=20 count=1000"), lines[1]);
  }

  /** Guards against idle connections that keep copies of all values, and against values that the
     next session finds because their connection has forgotten them. */
  void ConnectionsForgetLargeState()
  {
    PooledConnection<test::FakeNetwork> connection;
    connection.variables = { { "zone", "cet" } };
    connection.preparedNames = { "r_a" };
    Section("a small state is kept", [&] {
      connection.ForgetLargeState();
      CPPUNIT_ASSERT(connection.variables.contains("zone"));
      CPPUNIT_ASSERT(connection.preparedNames.contains("r_a"));
    });
    const auto firstCommand = [&](const SessionVariables& aOfSession) {
      const auto commands =
        MakeSetupCommands(connection.variables, connection.preparedNames, aOfSession, nullptr);
      return commands.empty() ? std::nullopt : std::optional(commands.front().kind);
    };
    Section("a large value is forgotten, and any next session resets the connection", [&] {
      connection.variables["large"] = std::string(100'000, 'x');
      connection.ForgetLargeState();
      CPPUNIT_ASSERT(!connection.variables.contains("large"));
      CPPUNIT_ASSERT(firstCommand({}) == ServerCommandKind::Reset);
      CPPUNIT_ASSERT(firstCommand({ { "zone", "cet" } }) == ServerCommandKind::Reset);
    });
    Section("so are many names", [&] {
      connection.variables.clear();
      for (int name = 0; name <= 1000; ++name) {
        connection.preparedNames.insert(std::to_string(name));
      }
      connection.ForgetLargeState();
      CPPUNIT_ASSERT(connection.preparedNames.empty());
      CPPUNIT_ASSERT(firstCommand({}) == ServerCommandKind::Reset);
    });
  }

  /** Guards against an account that lets a statement run for the size of its whole message, and
     then counts less than that while the statement waits. */
  void ARunningStatementIsMeasured()
  {
    constexpr std::size_t kSize = 100'000;
    for (const auto& [idSize, textSize] :
         { std::pair(kSize, std::size_t(1)), std::pair(std::size_t(1), kSize) }) {
      test::SessionFixture fixture;
      fixture.network.Server("s1").isUnresponsive = true;
      fixture.network.Server("s2").isUnresponsive = true;
      fixture.network.Server("s3").isUnresponsive = true;
      const auto session = fixture.Open("board");
      const std::size_t idle = session->HeldBytes();
      Statement read = test::SessionFixture::Parse("READ " + std::string(textSize, 'x'));
      const std::size_t messageSize = idSize + read.text.size();
      const std::size_t expected = session->BytesToRun(messageSize);
      session->Execute(
        fixture.now, std::string(idSize, 'i'), std::move(read), [](Instant, const ClientReply&) {});
      CPPUNIT_ASSERT_EQUAL(idle + expected, session->HeldBytes());
    }
  }

  void SessionStateIsMeasured()
  {
    SessionState state;
    const Statement first = SetVariable("a", 1000);
    const std::size_t expected = state.SizeAfter(first);
    state.Apply(first);
    CPPUNIT_ASSERT(state.Size() == expected && expected > 1000 && expected < 1500);
    Section("a value that is set again takes the place of the one before", [&] {
      state.Apply(SetVariable("a", 3000));
      CPPUNIT_ASSERT_EQUAL(expected + 2000, state.Size());
      CPPUNIT_ASSERT_EQUAL(state.Size(), state.VariablesSize());
    });
    Section("so does a prepared statement, and closing it frees it", [&] {
      Statement prepare = SetVariable("p", 500);
      prepare.kind = StatementKind::Prepare;
      const std::size_t before = state.Size();
      state.Apply(prepare);
      state.Apply(prepare);
      CPPUNIT_ASSERT(state.Size() > before + 500 && state.Size() < before + 1000);
      Statement close;
      close.kind = StatementKind::Deallocate;
      close.name = "p";
      state.Apply(close);
      state.Apply(close);
      CPPUNIT_ASSERT_EQUAL(before, state.Size());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);

} // namespace mustardshift::proxy
