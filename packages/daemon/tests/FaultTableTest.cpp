#include "RequestFixture.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace mustardshift::test {

namespace {

/** Time from the start of a request to its deadline. A request under a permanent fault takes all of
    it. */
constexpr Duration kRequestTimeout = std::chrono::milliseconds(700);
/** Longer than kRequestTimeout, so that the answer arrives after the deadline. */
constexpr std::uint32_t kAnswerDelayPastDeadlineMs = 1000;

constexpr int kConcurrentCases = 4;

enum class RequestVariant
{
  Read,
  ReplicaRead,
  Write,
  RepeatableWrite,
  Commit,
};

using Inject = void (*)(RequestFixture&);

struct FaultCase
{
  const char* name;
  /** Injects the fault before the request; may be null. */
  Inject before;
  /** Runs while the request waits for its answer; may be null. */
  Inject during;
  /** The correct verdicts for each RequestVariant, in its order: R for run, N for not run, M for
      may have run. A dot if the case does not apply to the variant. */
  std::array<const char*, 5> verdicts;
  const char* statement = nullptr;
};

void InjectOnce(RequestFixture& aFixture, void (*aSet)(standin::v1::OneTimeFaults&))
{
  standin::v1::OneTimeFaults faults;
  aSet(faults);
  for (const auto& server : aFixture.group.servers) {
    server->InjectOnce(faults);
  }
}

void SetFaults(RequestFixture& aFixture,
               std::initializer_list<std::size_t> aServers,
               void (*aSet)(standin::v1::DatabaseFaults&))
{
  standin::v1::DatabaseFaults faults;
  aSet(faults);
  for (const std::size_t server : aServers) {
    aFixture.group.At(server).SetFaults(faults);
  }
}

void MakeServersUnreachable(RequestFixture& aFixture)
{
  SetFaults(
    aFixture, { 0, 1, 2 }, [](auto& aFaults) { aFaults.add_unreachable_user_agents("vm-1"); });
  for (const auto& server : aFixture.group.servers) {
    server->CutConnections();
  }
}

void CloseBeforeExecution(RequestFixture& aFixture)
{
  InjectOnce(aFixture, [](auto& aFaults) { aFaults.set_cut_before_running(1); });
}

void CloseAfterExecution(RequestFixture& aFixture)
{
  InjectOnce(aFixture, [](auto& aFaults) { aFaults.set_cut_after_running(1); });
}

void DropAnswer(RequestFixture& aFixture)
{
  InjectOnce(aFixture, [](auto& aFaults) { aFaults.set_drop_answers(1); });
}

void DelayAnswer(RequestFixture& aFixture)
{
  InjectOnce(aFixture, [](auto& aFaults) {
    aFaults.set_late_answers(1);
    aFaults.set_late_ms(50);
  });
}

void DelayAnswerPastDeadline(RequestFixture& aFixture)
{
  InjectOnce(aFixture, [](auto& aFaults) {
    aFaults.set_late_answers(1);
    aFaults.set_late_ms(kAnswerDelayPastDeadlineMs);
  });
}

void FreezeAnswers(RequestFixture& aFixture)
{
  SetFaults(aFixture, { 0 }, [](auto& aFaults) { aFaults.set_freeze_answers(true); });
}

void IsolateReplicas(RequestFixture& aFixture)
{
  SetFaults(aFixture, { 1, 2 }, [](auto& aFaults) { aFaults.set_cut_off(true); });
}

/** The replicas accept a later term that neither the primary nor the VM knows of. */
void FenceReplicas(RequestFixture& aFixture)
{
  IsolateReplicas(aFixture);
  for (const std::size_t server : { 1, 2 }) {
    CPPUNIT_ASSERT(aFixture.group.At(server).client->AcceptTerm(3, kTimeout)->accepted());
  }
}

void FencePrimary(RequestFixture& aFixture)
{
  CPPUNIT_ASSERT(aFixture.group.At(0).client->AcceptTerm(3, kTimeout)->accepted());
}

void Promote(RequestFixture& aFixture)
{
  // Server 0's answers are frozen, so GroupFixture::Lead, which asks all servers, is not used.
  aFixture.group.At(1).Lead(3);
  aFixture.group.Follow(2, 3, 1);
  aFixture.SetPrimary(3, 1);
  aFixture.Probe();
}

void RevokeConnections(RequestFixture& aFixture)
{
  aFixture.OnLoop([&](Instant) { aFixture.dispatcher->SetEntitlement(0); });
}

void WriteConflictingValue(RequestFixture& aFixture)
{
  CallerRequest request = MakeCallerRequest("rival", "PUT count 0");
  CPPUNIT_ASSERT(aFixture.ExecuteAndWait(request));
}

// Verdicts for: read, replica read, write, repeatable write, commit.
const std::array<FaultCase, 15> kCases{ {
  { "no fault", nullptr, nullptr, { "R", "R", "R", "R", "R" } },
  { "connections refused", MakeServersUnreachable, nullptr, { "N", "N", "N", "N", "N" } },
  { "connection closed before the request runs",
    CloseBeforeExecution,
    nullptr,
    { "R", "R", "M", "R", "M" } },
  { "connection closed after the request ran",
    CloseAfterExecution,
    nullptr,
    { "R", "R", "R", "R", "R" } },
  { "answer dropped", DropAnswer, nullptr, { "M", "M", "M", "M", "M" } },
  { "answer late", DelayAnswer, nullptr, { "R", "R", "R", "R", "R" } },
  { "answer after the deadline", DelayAnswerPastDeadline, nullptr, { "M", "M", "RM", "M", "RM" } },
  { "answers frozen", FreezeAnswers, nullptr, { "M", "R", "M", "M", "M" } },
  // The replicas still accept the primary's term and hold the data that is read.
  { "replication cut off, no majority", IsolateReplicas, nullptr, { "R", "R", "M", "M", "M" } },
  { "majority fenced by a later term", FenceReplicas, nullptr, { "M", ".", "M", "M", "M" } },
  { "primary fenced by a later term", FencePrimary, nullptr, { "N", "R", "N", "N", "N" } },
  { "promotion while the answer is awaited",
    FreezeAnswers,
    Promote,
    { "R", "R", "RN", "R", "RN" } },
  // A commit already has its connection, so it is not queued.
  { "deadline passes in the queue", RevokeConnections, nullptr, { "N", "N", "N", "N", "." } },
  { "invalid statement", nullptr, nullptr, { "N", "N", "N", "N", "." }, "NONSENSE" },
  { "conflict", nullptr, WriteConflictingValue, { ".", ".", ".", ".", "N" } },
} };

char ToVerdictLetter(const Outcome<CallerAnswer>& aOutcome)
{
  if (aOutcome) {
    return 'R';
  }
  return aOutcome.error().verdict == Verdict::NotRun ? 'N' : 'M';
}

/** Guards against verdicts that contradict the servers' logs, at once or after a promotion. */
class FaultTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FaultTableTest);
  CPPUNIT_TEST(TestRead);
  CPPUNIT_TEST(TestReplicaRead);
  CPPUNIT_TEST(TestWrite);
  CPPUNIT_TEST(TestRepeatableWrite);
  CPPUNIT_TEST(TestCommit);
  CPPUNIT_TEST(TestCheckerDetectsWrongVerdicts);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestRead() { RunTable(RequestVariant::Read); }
  void TestReplicaRead() { RunTable(RequestVariant::ReplicaRead); }
  void TestWrite() { RunTable(RequestVariant::Write); }
  void TestRepeatableWrite() { RunTable(RequestVariant::RepeatableWrite); }
  void TestCommit() { RunTable(RequestVariant::Commit); }

  /** Checks that CheckLogs reports wrong verdicts. */
  void TestCheckerDetectsWrongVerdicts()
  {
    for (const bool runs : { true, false }) {
      RequestFixture fixture;
      const char* statement = runs ? "ADD count 1" : "ADD other 1";
      CPPUNIT_ASSERT(
        fixture.ExecuteAndWait(MakeCallerRequest(runs ? "tested" : "other", statement)));
      CPPUNIT_ASSERT(!CheckLogs(fixture, runs ? 'N' : 'R').empty());
    }
    RequestFixture fixture;
    CPPUNIT_ASSERT(fixture.ExecuteAndWait(MakeCallerRequest("tested", "ADD count 2")));
    CPPUNIT_ASSERT(!CheckLogs(fixture, 'M').empty());
  }

private:
  /** Runs all cases for a variant, kConcurrentCases at a time, and reports each failed case. */
  static void RunTable(RequestVariant aVariant)
  {
    std::mutex mutex;
    std::string failures;
    std::atomic<std::size_t> next{ 0 };
    const auto work = [&] {
      for (std::size_t i = next++; i < kCases.size(); i = next++) {
        const std::string failure = RunCaseCatching(kCases.at(i), aVariant);
        const std::lock_guard lock(mutex);
        failures += failure.empty() ? "" : std::string("\n  ") + kCases.at(i).name + ": " + failure;
      }
    };
    std::vector<std::thread> threads;
    threads.reserve(kConcurrentCases);
    for (int i = 0; i < kConcurrentCases; ++i) {
      threads.emplace_back(work);
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }

  static std::string RunCaseCatching(const FaultCase& aCase, RequestVariant aVariant)
  {
    const std::string allowed = aCase.verdicts.at(static_cast<std::size_t>(aVariant));
    try {
      return allowed == "." ? "" : RunCase(aCase, aVariant, allowed);
    } catch (const CppUnit::Exception& exception) {
      return exception.what();
    }
  }

  static std::string RunCase(const FaultCase& aCase,
                             RequestVariant aVariant,
                             const std::string& aAllowed)
  {
    RequestFixture fixture;
    const bool isRead = aVariant == RequestVariant::Read || aVariant == RequestVariant::ReplicaRead;
    CPPUNIT_ASSERT(fixture.ExecuteAndWait(MakeCallerRequest("seed", "PUT seed value")));
    CPPUNIT_ASSERT(Eventually([&] { return CountServersHolding(fixture, "seed") == 3; }));
    fixture.Probe();
    CallerRequest request =
      MakeCallerRequest("tested",
                        isRead ? "GET seed" : "ADD count 1",
                        aVariant == RequestVariant::ReplicaRead ? kStaleReadRoute : kRoute);
    TransactionId id;
    if (aVariant == RequestVariant::Commit) {
      id = fixture.Begin(MakeCallerRequest("begin", ""));
      auto added = fixture.ExecuteInTransaction(id, MakeCallerRequest("", request.statement.text));
      CPPUNIT_ASSERT(RequestFixture::WaitForReply(added));
    }
    if (aCase.statement != nullptr) {
      request.statement.text = aCase.statement;
    }
    request.isReadOnly = isRead;
    request.isRepeatable = aVariant == RequestVariant::RepeatableWrite;
    const std::uint64_t readsBefore = CountReads(fixture);
    if (aCase.before != nullptr) {
      aCase.before(fixture);
    }
    if (aVariant == RequestVariant::Commit && aCase.during == WriteConflictingValue) {
      WriteConflictingValue(fixture);
    }
    request.deadline = SystemBootClock{}.Now() + kRequestTimeout;
    if (aCase.during == Promote) {
      request.deadline += std::chrono::seconds(8);
    }
    auto reply =
      aVariant == RequestVariant::Commit ? fixture.Commit(id, request) : fixture.Execute(request);
    if (aCase.during == Promote) {
      Promote(fixture);
    }
    const auto outcome = RequestFixture::WaitForReply(reply);
    const char verdict = ToVerdictLetter(outcome);
    std::string failure;
    if (aAllowed.find(verdict) == std::string::npos) {
      failure += std::string("verdict ") + verdict + " instead of " + aAllowed + "; ";
      failure += outcome ? "" : outcome.error().message + "; ";
    }
    if (isRead) {
      if (outcome && outcome->rows != std::vector<std::string>{ "value" }) {
        failure += "the read returned wrong rows; ";
      }
      if (verdict == 'N' && CountReads(fixture) != readsBefore) {
        failure += "verdict NotRun, but a server ran the read; ";
      }
    } else {
      failure += CheckLogs(fixture, verdict);
    }
    if (fixture.duplicateReplies != 0) {
      failure += "more than one reply; ";
    }
    return failure;
  }

  /** Compares a write's verdict with the logs, at once and after a promotion. */
  static std::string CheckLogs(RequestFixture& aFixture, char aVerdict)
  {
    if (aVerdict == 'R' && CountServersHolding(aFixture, "tested") < 2) {
      return "verdict run, but no majority holds the write; ";
    }
    for (const auto& server : aFixture.group.servers) {
      server->SetFaults({});
    }
    // A server that was cut off may lack entries, so the one with the highest log position is
    // promoted.
    std::size_t best = 0;
    database::v1::Position bestPosition;
    for (std::size_t i = 0; i < 3; ++i) {
      const auto report = aFixture.group.At(i).client->AcceptTerm(9, kTimeout);
      CPPUNIT_ASSERT(report && report->accepted());
      const auto position = report->position();
      if (std::pair(position.term(), position.offset()) >
          std::pair(bestPosition.term(), bestPosition.offset())) {
        best = i;
        bestPosition = position;
      }
    }
    aFixture.group.Lead(best, 9);
    aFixture.SetPrimary(9, best);
    aFixture.OnLoop([&](Instant) { aFixture.dispatcher->SetEntitlement(4); });
    CallerRequest read = MakeCallerRequest("last", "GET count");
    read.isReadOnly = true;
    const auto last = aFixture.ExecuteAndWait(read);
    CPPUNIT_ASSERT_MESSAGE(last ? "" : last.error().message, last.has_value());
    const std::string count = last->rows.empty() ? "0" : last->rows.front();
    const bool isConsistent = aVerdict == 'R'   ? count == "1"
                              : aVerdict == 'N' ? count == "0"
                                                : count == "0" || count == "1";
    return isConsistent ? "" : "the count is " + count + "; ";
  }

  /** Returns the number of servers whose log holds a request id. */
  static int CountServersHolding(RequestFixture& aFixture, const std::string& aId)
  {
    int holders = 0;
    for (const auto& server : aFixture.group.servers) {
      for (const std::string& id : { aId, "/" + aId }) {
        const auto found = server->client->LookUpRequest(RequestId(id), kShortTimeout);
        holders += found && found->found() ? 1 : 0;
      }
    }
    return holders;
  }

  static std::uint64_t CountReads(RequestFixture& aFixture)
  {
    std::uint64_t reads = 0;
    for (const auto& server : aFixture.group.servers) {
      reads += server->Counters().reads();
    }
    return reads;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultTableTest);

} // namespace

} // namespace mustardshift::test
