#include "core/failover/FailoverStateMachine.h"
#include "core/failover/VmRank.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <set>

namespace mustardshift {

using test::Section;
using namespace failover_action;
using namespace failover_event;

namespace {

const ServerAddress kFirst("a");
const ServerAddress kSecond("b");
const ServerAddress kThird("c");

/** Runs a state machine with a simulated clock. Each call of Handle advances the time by 1 ms. */
class Driver
{
public:
  explicit Driver(std::uint64_t aIncarnation = 1)
    : stateMachine(MakeOptions(aIncarnation), std::mt19937_64(20261204))
  {
  }

  void Handle(const FailoverEvent& aEvent)
  {
    this->now += Duration{ 1000 };
    for (FailoverAction& action : this->stateMachine.Handle(aEvent, this->now)) {
      this->actions.push_back(std::move(action));
    }
  }

  /** Lets time pass, with a Tick every 10 ms. */
  void Wait(std::int64_t aMilliseconds)
  {
    for (std::int64_t i = 0; i < aMilliseconds; i += 10) {
      this->now += Duration{ 9000 };
      this->Handle(Tick{});
    }
  }

  /** Returns the last action of a kind and discards all collected actions. */
  template<class Action>
  std::optional<Action> TakeLast()
  {
    std::optional<Action> found;
    for (const FailoverAction& action : this->actions) {
      if (const auto* match = std::get_if<Action>(&action)) {
        found = *match;
      }
    }
    this->actions.clear();
    return found;
  }

  /** Answers the last ReadRow with a row. */
  void AnswerRead(const PrimaryRow& aRow)
  {
    const auto read = this->TakeLast<ReadRow>();
    CPPUNIT_ASSERT(read.has_value());
    this->Handle(RowRead{ read->request, aRow });
  }

  /** Runs an attempt of a VM that knows term 1 up to the compare-and-set of term 2, and returns the
      row to be written. */
  PrimaryRow ReachRecording()
  {
    this->ReachFencing();
    this->Handle(AcceptTermAnswered{ kSecond, 2, true, { 2, { 1, 7 }, false } });
    this->Handle(AcceptTermAnswered{ kThird, 2, true, { 2, { 1, 9 }, false } });
    const auto write = this->TakeLast<CompareAndSetRow>();
    CPPUNIT_ASSERT(write.has_value());
    return write->row;
  }

  void ReachFencing()
  {
    this->ReachQuerying();
    this->Handle(PeerAnswered{ VmId("vm-2"), FailureDomainName("2"), 1, true });
    this->AnswerRead(kRow);
    CPPUNIT_ASSERT(this->stateMachine.Phase() == FailoverPhase::Fencing);
  }

  void ReachQuerying()
  {
    this->Handle(MembersChanged{ { VmId("vm-2"), VmId("vm-3") } });
    this->AnswerRead(kRow);
    this->Handle(SuspicionChanged{ 1, true });
    this->Wait(600);
    CPPUNIT_ASSERT(this->stateMachine.Phase() == FailoverPhase::Querying ||
                   this->stateMachine.Phase() == FailoverPhase::BackingOff);
    for (int i = 0; i < 100 && this->stateMachine.Phase() != FailoverPhase::Querying; ++i) {
      this->Wait(10);
    }
  }

  inline static const PrimaryRow kRow{ 4, 1, kFirst, "x" };

  FailoverStateMachine stateMachine;
  Instant now;
  std::vector<FailoverAction> actions;

private:
  static FailoverOptions MakeOptions(std::uint64_t aIncarnation)
  {
    FailoverOptions options;
    options.database = DatabaseName("orders");
    options.servers = { kFirst, kSecond, kThird };
    options.self = VmId("vm-1");
    options.failureDomain = FailureDomainName("1");
    options.incarnation = aIncarnation;
    return options;
  }
};

} // namespace

/** Guards against faults in single steps of a promotion: a lost answer that is treated as a
    refusal, a group that is fenced without the agreement of peers, and a promotion of a server
    other than the recorded primary. */
class FailoverStateMachineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FailoverStateMachineTest);
  CPPUNIT_TEST(PromotesTheHighestPosition);
  CPPUNIT_TEST(NeedsAgreementInAnotherFailureDomain);
  CPPUNIT_TEST(ResolvesALostCompareAndSet);
  CPPUNIT_TEST(AdoptsThePrimaryOfTheWinningWrite);
  CPPUNIT_TEST(PromotesTheRecordedPrimary);
  CPPUNIT_TEST(AsksPeersAboutASuspicionThatArisesDuringARead);
  CPPUNIT_TEST(RecordsTheFirstPrimary);
  CPPUNIT_TEST(IgnoresAnswersOfOtherAttempts);
  CPPUNIT_TEST(ReplacesADrainedPrimary);
  CPPUNIT_TEST(GivesEachVmADistinctRank);
  CPPUNIT_TEST_SUITE_END();

public:
  void PromotesTheHighestPosition()
  {
    Driver driver;
    const PrimaryRow row = driver.ReachRecording();
    CPPUNIT_ASSERT(row.primary == kThird && row.term == 2 && row.version == 4);
    driver.Handle(RowWritten{ row.operationId });
    Section("only the recorded primary is promoted", [&] {
      std::set<ServerAddress> promoted;
      std::set<ServerAddress> followers;
      for (const FailoverAction& action : driver.actions) {
        if (const auto* promote = std::get_if<Promote>(&action)) {
          promoted.insert(promote->server);
        } else if (const auto* follow = std::get_if<Follow>(&action)) {
          followers.insert(follow->server);
        }
      }
      CPPUNIT_ASSERT(promoted == std::set<ServerAddress>{ kThird });
      CPPUNIT_ASSERT(followers == (std::set<ServerAddress>{ kFirst, kSecond }));
    });
    Section("the primary is announced to peers after it has accepted the promotion", [&] {
      CPPUNIT_ASSERT(!driver.TakeLast<Announce>().has_value());
      driver.Handle(PromoteAnswered{ kThird, 2, true, { 2, { 1, 9 }, true } });
      CPPUNIT_ASSERT(driver.TakeLast<Announce>().has_value());
    });
  }

  void NeedsAgreementInAnotherFailureDomain()
  {
    Section("peers in the VM's own failure domain are not sufficient", [] {
      Driver driver;
      driver.ReachQuerying();
      driver.Handle(PeerAnswered{ VmId("vm-2"), FailureDomainName("1"), 1, true });
      driver.Handle(PeerAnswered{ VmId("vm-3"), FailureDomainName("1"), 1, true });
      CPPUNIT_ASSERT(driver.stateMachine.Phase() == FailoverPhase::BackingOff);
    });
    Section("a minority is not sufficient", [] {
      Driver driver;
      driver.ReachQuerying();
      driver.Handle(MembersChanged{ { VmId("vm-2"), VmId("vm-3"), VmId("vm-4"), VmId("vm-5") } });
      driver.Handle(PeerAnswered{ VmId("vm-2"), FailureDomainName("2"), 1, true });
      driver.Handle(PeerAnswered{ VmId("vm-3"), FailureDomainName("3"), 1, false });
      driver.Handle(PeerAnswered{ VmId("vm-4"), FailureDomainName("4"), 1, false });
      driver.Wait(400);
      CPPUNIT_ASSERT(!driver.TakeLast<ReadRow>().has_value());
    });
    Section("an answer about an earlier term does not count", [] {
      Driver driver;
      driver.ReachQuerying();
      driver.Handle(PeerAnswered{ VmId("vm-2"), FailureDomainName("2"), 0, true });
      driver.Wait(400);
      CPPUNIT_ASSERT(!driver.TakeLast<ReadRow>().has_value());
    });
    Section("peers are not asked while the platform is unreachable", [] {
      Driver driver;
      driver.Handle(Tick{});
      driver.AnswerRead(Driver::kRow);
      driver.Handle(PlatformStateChanged{ false, driver.now });
      driver.Handle(SuspicionChanged{ 1, true });
      driver.Wait(3000);
      CPPUNIT_ASSERT(driver.stateMachine.Phase() == FailoverPhase::Idle);
    });
  }

  void ResolvesALostCompareAndSet()
  {
    Section("the row shows that the write took effect", [] {
      Driver driver;
      PrimaryRow row = driver.ReachRecording();
      driver.Handle(RowWriteOutcomeUnknown{ row.operationId });
      ++row.version;
      driver.AnswerRead(row);
      CPPUNIT_ASSERT(driver.stateMachine.Phase() == FailoverPhase::Promoting);
    });
    Section("the row shows that the write did not take effect: the same write is sent again", [] {
      Driver driver;
      const PrimaryRow row = driver.ReachRecording();
      driver.Wait(1500);
      driver.AnswerRead(Driver::kRow);
      const auto repeatedWrite = driver.TakeLast<CompareAndSetRow>();
      CPPUNIT_ASSERT(repeatedWrite.has_value() && repeatedWrite->row == row);
    });
    Section("the repeated write conflicts with the first one, which took effect", [] {
      Driver driver;
      PrimaryRow row = driver.ReachRecording();
      driver.Handle(RowWriteOutcomeUnknown{ row.operationId });
      driver.AnswerRead(Driver::kRow);
      const std::string operationId = row.operationId;
      ++row.version;
      driver.Handle(RowConflicted{ operationId, row });
      CPPUNIT_ASSERT(driver.stateMachine.Phase() == FailoverPhase::Promoting);
    });
    Section("failed reads are repeated until one succeeds", [] {
      Driver driver;
      PrimaryRow row = driver.ReachRecording();
      driver.Handle(RowWriteOutcomeUnknown{ row.operationId });
      for (int i = 0; i < 5; ++i) {
        const auto read = driver.TakeLast<ReadRow>();
        CPPUNIT_ASSERT(read.has_value());
        driver.Handle(RowReadFailed{ read->request });
        driver.Wait(3500);
      }
      ++row.version;
      driver.AnswerRead(row);
      CPPUNIT_ASSERT(driver.stateMachine.Phase() == FailoverPhase::Promoting);
    });
  }

  void AdoptsThePrimaryOfTheWinningWrite()
  {
    Driver driver;
    const PrimaryRow row = driver.ReachRecording();
    driver.Handle(RowConflicted{ row.operationId, { 5, 2, kSecond, "other" } });
    CPPUNIT_ASSERT(!driver.TakeLast<Promote>().has_value());
    CPPUNIT_ASSERT(driver.stateMachine.KnownPrimary() == kSecond);
    CPPUNIT_ASSERT(driver.stateMachine.Phase() == FailoverPhase::Idle);
    Section("a primary of an earlier term is ignored", [&] {
      driver.TakeLast<AdoptPrimary>();
      driver.Handle(PrimaryLearned{ 1, kFirst });
      CPPUNIT_ASSERT(!driver.TakeLast<AdoptPrimary>().has_value());
      CPPUNIT_ASSERT(driver.stateMachine.KnownPrimary() == kSecond);
    });
  }

  void PromotesTheRecordedPrimary()
  {
    Driver driver;
    driver.Handle(Tick{});
    driver.AnswerRead({ 5, 2, kSecond, "of a VM that died" });
    for (int i = 0; i < 40 && driver.stateMachine.Phase() == FailoverPhase::Idle; ++i) {
      driver.Handle(ServerReported{ kSecond, { 2, { 1, 9 }, false } });
      driver.Wait(100);
    }
    driver.AnswerRead({ 5, 2, kSecond, "of a VM that died" });
    const auto promote = driver.TakeLast<Promote>();
    CPPUNIT_ASSERT(promote.has_value() && promote->server == kSecond && promote->term == 2);
  }

  void AsksPeersAboutASuspicionThatArisesDuringARead()
  {
    // The recorded primary stops answering while the row is read in order to promote it.
    Driver driver;
    driver.Handle(Tick{});
    driver.AnswerRead(Driver::kRow);
    for (int i = 0; i < 40 && driver.stateMachine.Phase() == FailoverPhase::Idle; ++i) {
      driver.Handle(ServerReported{ kFirst, { 1, { 1, 9 }, false } });
      driver.Wait(100);
    }
    CPPUNIT_ASSERT(driver.stateMachine.Phase() == FailoverPhase::Reading);
    driver.Handle(SuspicionChanged{ 1, true });
    driver.now += Duration{ 995'000 };
    driver.AnswerRead(Driver::kRow);
    CPPUNIT_ASSERT(driver.stateMachine.Phase() != FailoverPhase::Fencing);
    CPPUNIT_ASSERT(!driver.TakeLast<AcceptTerm>().has_value());
  }

  void RecordsTheFirstPrimary()
  {
    Driver driver;
    driver.Handle(Tick{});
    driver.AnswerRead({});
    driver.Wait(2000);
    driver.AnswerRead({});
    driver.Handle(AcceptTermAnswered{ kFirst, 1, true, { 1, {}, false } });
    driver.Handle(AcceptTermAnswered{ kSecond, 1, true, { 1, {}, false } });
    const auto write = driver.TakeLast<CompareAndSetRow>();
    CPPUNIT_ASSERT(write.has_value() && write->row.version == 0 && write->row.term == 1);
  }

  void IgnoresAnswersOfOtherAttempts()
  {
    Driver driver;
    driver.ReachFencing();
    driver.Handle(AcceptTermAnswered{ kSecond, 1, true, { 1, { 1, 7 }, false } });
    driver.Handle(AcceptTermAnswered{ kThird, 1, true, { 1, { 1, 9 }, false } });
    driver.Handle(RowWritten{ "vm-1/1/0" });
    CPPUNIT_ASSERT(driver.stateMachine.Phase() == FailoverPhase::Fencing);
    Section("a server that has accepted a later term ends the attempt", [&] {
      driver.Handle(AcceptTermAnswered{ kThird, 2, false, { 3, { 1, 9 }, false } });
      CPPUNIT_ASSERT(driver.stateMachine.Phase() == FailoverPhase::BackingOff);
      driver.AnswerRead({ 6, 3, kThird, "other" });
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, driver.stateMachine.KnownTerm());
    });
    Section("operation ids of a restarted process differ", [] {
      Driver before(1);
      Driver after(2);
      CPPUNIT_ASSERT(before.ReachRecording().operationId != after.ReachRecording().operationId);
    });
  }

  /** Guards against primaries of a drained failure domain that continue to accept writes, and
      against a replacement that loses writes held only by the drained primary and one replica. */
  void ReplacesADrainedPrimary()
  {
    Driver driver;
    driver.Handle(MembersChanged{ { VmId("vm-2"), VmId("vm-3") } });
    driver.AnswerRead(Driver::kRow);
    const auto report = [&](std::uint64_t aThirdTerm) {
      driver.Handle(ServerReported{ kFirst, { 1, { 1, 9 }, true } });
      driver.Handle(ServerReported{ kSecond, { 1, { 1, 8 }, false } });
      driver.Handle(ServerReported{ kThird, { aThirdTerm, { aThirdTerm, 9 }, false } });
    };
    Section("the primary stays while the others form no majority in its term", [&] {
      report(0);
      driver.Handle(ServersDrained{ { kFirst } });
      driver.Wait(1000);
      CPPUNIT_ASSERT(!driver.TakeLast<ReadRow>().has_value());
    });
    Section("the primary is replaced without asking peers", [&] {
      report(1);
      driver.Wait(1000);
      driver.AnswerRead(Driver::kRow);
      CPPUNIT_ASSERT(driver.stateMachine.Phase() == FailoverPhase::Fencing);
    });
    Section("among the servers in service, the one with the highest position is chosen", [&] {
      driver.Handle(AcceptTermAnswered{ kFirst, 2, true, { 2, { 1, 12 }, false } });
      driver.Handle(AcceptTermAnswered{ kSecond, 2, true, { 2, { 1, 8 }, false } });
      CPPUNIT_ASSERT(!driver.TakeLast<CompareAndSetRow>().has_value());
      driver.Handle(AcceptTermAnswered{ kThird, 2, true, { 2, { 1, 9 }, false } });
      const auto write = driver.TakeLast<CompareAndSetRow>();
      CPPUNIT_ASSERT(write.has_value());
      CPPUNIT_ASSERT(write->row.primary == kThird);
    });
  }

  void GivesEachVmADistinctRank()
  {
    constexpr std::size_t kVms = 12;
    std::vector<VmId> members;
    members.reserve(kVms);
    for (std::size_t i = 0; i < kVms; ++i) {
      members.emplace_back("vm-" + std::to_string(i));
    }
    std::set<VmId> vmsWithRankZero;
    for (int database = 0; database < 100; ++database) {
      const DatabaseName name("database-" + std::to_string(database));
      std::set<unsigned> ranks;
      for (const VmId& member : members) {
        const unsigned rank = RankOf(name, member, members);
        ranks.insert(rank);
        if (rank == 0) {
          vmsWithRankZero.insert(member);
        }
      }
      CPPUNIT_ASSERT_EQUAL(members.size(), ranks.size());
    }
    CPPUNIT_ASSERT_EQUAL(members.size(), vmsWithRankZero.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverStateMachineTest);

} // namespace mustardshift
