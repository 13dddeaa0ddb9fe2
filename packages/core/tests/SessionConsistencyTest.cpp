#include "core/routing/ReadRouter.h"
#include "core/session/SessionToken.h"
#include "core/session/SessionTokenCodec.h"
#include "core/session/TermHistory.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

const DatabaseName kDatabase("bookings");
const OrganisationName kOrganisation("harbour");

/** Decides in the model whether a server other than the VM's primary may serve a read. */
enum class ReadCheck
{
  /** ReadRouter, then ReplicaView::IsReadableIn and TermHistory::Holds. */
  Correct,
  /** Broken: only TermHistory::Holds, so that a deposed primary may serve reads. */
  HoldsOnly,
  /** Broken: compares only the offsets. */
  OffsetsOnly,
  /** Broken: doesn't require that the server's log has reached its accepted term. */
  AcceptedTermOnly,
};

/** Options of one run of the model. */
struct ReplicationModelOptions
{
  ReadCheck readCheck = ReadCheck::Correct;
  /** Whether the positions of reads are recorded in the token. */
  bool observeReads = true;
};

/** One log entry. The entry that starts a term has number 0. */
struct Entry
{
  std::uint64_t term = 0;
  int number = 0;

  friend bool operator==(const Entry&, const Entry&) = default;
};

struct Server
{
  std::vector<Entry> log;
  std::uint64_t acceptedTerm = 0;
  /** Term in which the server considers itself the primary. */
  std::uint64_t primaryTerm = 0;

  LogPosition Position() const
  {
    return this->log.empty() ? LogPosition{}
                             : LogPosition{ this->log.back().term, this->log.size() };
  }

  TermHistory History() const
  {
    std::vector<TermStart> starts;
    for (std::size_t i = 0; i < this->log.size(); ++i) {
      if (starts.empty() || starts.back().term != this->log[i].term) {
        starts.push_back({ this->log[i].term, i + 1 });
      }
    }
    return TermHistory(starts);
  }
};

/** One VM's view of the group, which may be out of date. */
struct Vm
{
  std::uint64_t term = 0;
  std::size_t primary = 0;
  std::array<Server, 3> knownServers;
};

struct Session
{
  std::string token;
  std::set<int> writtenEntries;
  std::set<int> readEntries;
};

struct Totals
{
  /** Reads whose result lacks an entry that the session wrote. */
  int readsMissingOwnWrites = 0;
  /** Reads whose result lacks an entry that the session read before. */
  int readsMissingEarlierReads = 0;
  int acknowledged = 0;
  int replicaReads = 0;
  int primaryReads = 0;
  int promotions = 0;
};

/** Simulates a group of three servers with asynchronous replication, VMs with outdated views of it,
    and sessions that use a random VM for each request. Adds its counts to the totals. */
class ReplicationModel
{
public:
  ReplicationModel(std::uint64_t aSeed, ReplicationModelOptions aOptions, Totals& aTotals)
    : random(aSeed)
    , options(aOptions)
    , totals(aTotals)
  {
    this->Promote(0, 1);
    for (Vm& vm : this->vms) {
      this->Refresh(vm);
    }
  }

  void Run(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      switch (this->RandomBelow(10)) {
        case 0:
          if (this->RandomBelow(4) == 0) {
            const std::size_t absentServer = this->RandomBelow(3);
            this->Promote((absentServer + 1) % 3, (absentServer + 2) % 3);
          }
          break;
        case 1:
        case 2:
          this->Replicate(this->RandomBelow(3), this->RandomBelow(3));
          break;
        case 3:
        case 4:
          this->Refresh(this->vms[this->RandomBelow(this->vms.size())]);
          break;
        case 5:
        case 6:
          this->Write();
          break;
        default:
          this->Read();
          break;
      }
    }
  }

private:
  std::size_t RandomBelow(std::size_t aBound) { return this->random() % aBound; }

  /** Starts a new term at two servers and makes the one with the higher position the primary. */
  void Promote(std::size_t aFirst, std::size_t aSecond)
  {
    ++this->term;
    ++this->totals.promotions;
    this->servers[aFirst].acceptedTerm = this->term;
    this->servers[aSecond].acceptedTerm = this->term;
    const bool isFirst = this->servers[aFirst].Position() >= this->servers[aSecond].Position();
    this->primary = isFirst ? aFirst : aSecond;
    this->servers[this->primary].primaryTerm = this->term;
    this->servers[this->primary].log.push_back({ this->term, 0 });
  }

  /** Copies a few entries to another server, if the source considers itself the primary. */
  void Replicate(std::size_t aFrom, std::size_t aTo)
  {
    const Server& from = this->servers[aFrom];
    Server& to = this->servers[aTo];
    if (aFrom == aTo || from.primaryTerm == 0 || from.primaryTerm != from.acceptedTerm ||
        to.acceptedTerm > from.primaryTerm) {
      return;
    }
    to.acceptedTerm = from.primaryTerm;
    const auto [fromEnd, toEnd] =
      std::mismatch(from.log.begin(), from.log.end(), to.log.begin(), to.log.end());
    to.log.erase(toEnd, to.log.end());
    const auto count =
      std::min<std::ptrdiff_t>(from.log.end() - fromEnd, std::ptrdiff_t(1 + this->RandomBelow(3)));
    to.log.insert(to.log.end(), fromEnd, fromEnd + count);
  }

  void Refresh(Vm& aVm)
  {
    if (this->RandomBelow(2) == 0 || aVm.term == 0) {
      aVm.term = this->term;
      aVm.primary = this->primary;
    }
    const std::size_t serverIndex = this->RandomBelow(3);
    aVm.knownServers[serverIndex] = this->servers[serverIndex];
  }

  /** Returns whether another server in term aTerm holds everything that aServer's log holds. */
  bool IsOnMajority(std::size_t aServer, std::uint64_t aTerm) const
  {
    const LogPosition position = this->servers[aServer].Position();
    for (std::size_t i = 0; i < 3; ++i) {
      const Server& other = this->servers[i];
      if (i != aServer && other.acceptedTerm == aTerm && position.term == aTerm &&
          other.Position().term == aTerm && other.Position().offset >= position.offset) {
        return true;
      }
    }
    return false;
  }

  SessionToken DecodeToken(const Session& aSession) const
  {
    return this->codec.Decode(aSession.token, kOrganisation).value();
  }

  void Write()
  {
    const Vm& vm = this->vms[this->RandomBelow(this->vms.size())];
    Session& session = this->sessions[this->RandomBelow(this->sessions.size())];
    Server& server = this->servers[vm.primary];
    if (server.acceptedTerm != vm.term || server.primaryTerm != vm.term) {
      return;
    }
    server.log.push_back({ vm.term, ++this->lastNumber });
    this->Replicate(vm.primary, this->RandomBelow(3));
    if (!this->IsOnMajority(vm.primary, vm.term)) {
      return;
    }
    ++this->totals.acknowledged;
    session.writtenEntries.insert(this->lastNumber);
    SessionToken token = this->DecodeToken(session);
    token.ObserveWrite(kDatabase, server.Position());
    session.token = this->codec.Encode(token);
  }

  void Read()
  {
    const Vm& vm = this->vms[this->RandomBelow(this->vms.size())];
    Session& session = this->sessions[this->RandomBelow(this->sessions.size())];
    const LogPosition minimumPosition = this->DecodeToken(session).MinimumPositionFor(kDatabase);
    if (this->options.readCheck != ReadCheck::Correct) {
      this->ReadWithBrokenCheck(vm, session, minimumPosition);
      return;
    }
    ReadRequirement requirement{ minimumPosition,
                                 false,
                                 vm.term,
                                 ServerAddress(std::to_string(vm.primary)),
                                 Instant(Duration(1'000'000)) };
    std::vector<ReplicaView> views;
    for (std::size_t i = 0; i < 3; ++i) {
      if (i != vm.primary) {
        ReplicaView view = this->View(i, vm.knownServers[i]);
        view.estimatedLag = Duration(this->RandomBelow(2) * 100'000);
        views.push_back(view);
      }
    }
    const ReadPlan plan = ReadRouter().Plan(requirement, views, Instant(), this->random);
    if (const auto* primaryPlan = std::get_if<ReadAtPrimary>(&plan)) {
      const std::size_t serverIndex = std::stoul(primaryPlan->primary.Text());
      if (this->servers[serverIndex].acceptedTerm == vm.term &&
          this->IsOnMajority(serverIndex, vm.term)) {
        ++this->totals.primaryReads;
        this->Answer(session, this->servers[serverIndex]);
      }
      return;
    }
    const auto* ready = std::get_if<ReadAtReplica>(&plan);
    const std::size_t serverIndex = std::stoul(
      ready != nullptr ? ready->replica.Text() : std::get<WaitAtReplica>(plan).replica.Text());
    const ReplicaView currentView = this->View(serverIndex, this->servers[serverIndex]);
    if (currentView.IsReadableIn(vm.term) &&
        currentView.history.Holds(currentView.position, minimumPosition)) {
      ++this->totals.replicaReads;
      this->Answer(session, this->servers[serverIndex]);
    }
  }

  void ReadWithBrokenCheck(const Vm& aVm, Session& aSession, LogPosition aMinimumPosition)
  {
    const std::size_t serverIndex = this->RandomBelow(3);
    const ReplicaView currentView = this->View(serverIndex, this->servers[serverIndex]);
    const bool isAllowed = this->options.readCheck == ReadCheck::OffsetsOnly
                             ? currentView.position.offset >= aMinimumPosition.offset
                             : currentView.history.Holds(currentView.position, aMinimumPosition) &&
                                 (this->options.readCheck == ReadCheck::HoldsOnly ||
                                  currentView.acceptedTerm == aVm.term);
    if (serverIndex != aVm.primary && isAllowed) {
      this->Answer(aSession, this->servers[serverIndex]);
    }
  }

  ReplicaView View(std::size_t aIndex, const Server& aServer) const
  {
    ReplicaView view;
    view.address = ServerAddress(std::to_string(aIndex));
    view.acceptedTerm = aServer.acceptedTerm;
    view.position = aServer.Position();
    view.history = aServer.History();
    return view;
  }

  /** Answers a read with all entries of the server's log, and checks the result. */
  void Answer(Session& aSession, const Server& aServer)
  {
    std::set<int> result;
    for (const Entry& entry : aServer.log) {
      result.insert(entry.number);
    }
    const auto isMissing = [&](const std::set<int>& aExpected) {
      return !std::includes(result.begin(), result.end(), aExpected.begin(), aExpected.end());
    };
    this->totals.readsMissingOwnWrites += isMissing(aSession.writtenEntries) ? 1 : 0;
    this->totals.readsMissingEarlierReads += isMissing(aSession.readEntries) ? 1 : 0;
    aSession.readEntries.insert(result.begin(), result.end());
    if (this->options.observeReads) {
      SessionToken token = this->DecodeToken(aSession);
      token.ObserveRead(kDatabase, aServer.Position());
      aSession.token = this->codec.Encode(token);
    }
  }

  std::mt19937_64 random;
  ReplicationModelOptions options;
  Totals& totals;
  SessionTokenCodec codec{ std::string(64, 'c') };
  std::array<Server, 3> servers;
  std::array<Vm, 3> vms;
  std::array<Session, 4> sessions;
  std::uint64_t term = 0;
  std::size_t primary = 0;
  int lastNumber = 0;
};

Totals RunHistories(ReplicationModelOptions aOptions)
{
  Totals totals;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    ReplicationModel(seed, aOptions, totals).Run(300);
  }
  return totals;
}

} // namespace

/** Guards against reads that miss a session's own write or return older data than an earlier read,
    when primaries change, replicas lag and the session moves between VMs with outdated views. */
class SessionConsistencyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SessionConsistencyTest);
  CPPUNIT_TEST(SessionReadsNeverRegress);
  CPPUNIT_TEST(DetectsBrokenReadChecks);
  CPPUNIT_TEST_SUITE_END();

public:
  void SessionReadsNeverRegress()
  {
    const Totals totals = RunHistories({});
    CPPUNIT_ASSERT_EQUAL(0, totals.readsMissingOwnWrites);
    CPPUNIT_ASSERT_EQUAL(0, totals.readsMissingEarlierReads);
    Section("the simulated runs cover all paths", [&] {
      CPPUNIT_ASSERT(totals.acknowledged > 1000);
      CPPUNIT_ASSERT(totals.replicaReads > 1000);
      CPPUNIT_ASSERT(totals.primaryReads > 1000);
      CPPUNIT_ASSERT(totals.promotions > 1000);
    });
  }

  void DetectsBrokenReadChecks()
  {
    Section("comparing only offsets loses the session's own writes", [] {
      CPPUNIT_ASSERT(RunHistories({ .readCheck = ReadCheck::OffsetsOnly }).readsMissingOwnWrites >
                     0);
    });
    Section("a deposed primary returns entries that a promotion discards", [] {
      const Totals totals = RunHistories({ .readCheck = ReadCheck::HoldsOnly });
      CPPUNIT_ASSERT_EQUAL(0, totals.readsMissingOwnWrites);
      CPPUNIT_ASSERT(totals.readsMissingEarlierReads > 0);
    });
    Section("entries of an earlier term can be discarded after replication", [] {
      CPPUNIT_ASSERT(
        RunHistories({ .readCheck = ReadCheck::AcceptedTermOnly }).readsMissingEarlierReads > 0);
    });
    Section("reads that are not recorded let later reads return older data", [] {
      CPPUNIT_ASSERT(RunHistories({ .observeReads = false }).readsMissingEarlierReads > 0);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionConsistencyTest);

} // namespace mustardshift
