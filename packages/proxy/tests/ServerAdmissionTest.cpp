#include "proxy/admission/ServerAdmission.h"
#include "AdmissionSimulation.h"
#include "support/Section.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardshift::proxy {

using mustardshift::test::Section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned kSlots = 4;
constexpr Instant kBegin{ seconds(1000) };
/** Time of most statements, and how many of them a server with kSlots runs in a second. */
constexpr Duration kTime = milliseconds(20);
constexpr double kCapacity = 200;

AdmissionRequest MakeRequest(const std::string& aOrganisation,
                             unsigned aPriority,
                             Instant aStartBy = kBegin + seconds(10))
{
  AdmissionRequest request;
  request.organisation = OrganisationName(aOrganisation);
  request.priority = aPriority;
  request.startBy = aStartBy;
  return request;
}

/** Lets kSlots + 1 statements start, so that everything else waits. Returns their tickets. */
std::vector<AdmissionTicket> FillSlots(ServerAdmission& aAdmission)
{
  for (unsigned count = 0; count <= kSlots; ++count) {
    aAdmission.Add(kBegin, MakeRequest("filler", 0));
  }
  return aAdmission.Step(kBegin).admitted;
}

/** Ends a statement and returns the one that starts in its place. */
AdmissionTicket StartNext(ServerAdmission& aAdmission, AdmissionTicket& aRunning)
{
  aAdmission.Finish(kBegin, aRunning, { AdmissionEnd::Done, kTime, Duration::zero() });
  const auto admitted = aAdmission.Step(kBegin).admitted;
  CPPUNIT_ASSERT(admitted.size() <= 1);
  aRunning = admitted.empty() ? 0 : admitted.front();
  return aRunning;
}

struct Served
{
  double count = 0;
  double started = 0;
  double Share() const { return this->count == 0 ? 1 : this->started / this->count; }
};

std::map<std::string, Served> ServedByOrganisation(const std::vector<SimulatedArrival>& aArrivals,
                                                   const std::vector<SimulatedEnd>& aEnds)
{
  std::map<std::string, Served> served;
  for (std::size_t index = 0; index < aArrivals.size(); ++index) {
    Served& one = served[aArrivals[index].request.organisation.Text()];
    one.count += 1;
    one.started += aEnds[index].startedAt ? 1 : 0;
  }
  return served;
}

/** Load of ten organisations and three priorities, as a part of the server's capacity. */
std::vector<SimulatedStream> MixedLoad(double aLoad, Duration aLength)
{
  std::vector<SimulatedStream> streams;
  for (int organisation = 0; organisation < 10; ++organisation) {
    const auto priority = static_cast<unsigned>(organisation % 3);
    streams.push_back({ "organisation-" + std::to_string(organisation),
                        priority,
                        aLoad * kCapacity / 10,
                        kTime,
                        milliseconds(100 + 150 * priority),
                        kBegin,
                        kBegin + aLength });
  }
  return streams;
}

} // namespace

/** Guards against work that waits in the server's own queue in the order of arrival, where a
    burst of low priority displaces all others, and against refusals of work that could have
    run. */
class ServerAdmissionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServerAdmissionTest);
  CPPUNIT_TEST(StartsByTransactionThenPriority);
  CPPUNIT_TEST(WaitingLevelsGetOneStartInEight);
  CPPUNIT_TEST(OrganisationsShareTheServersTime);
  CPPUNIT_TEST(OneOrganisationGoesByTargetAndTimeLimit);
  CPPUNIT_TEST(RefusesWhatCannotStartInTime);
  CPPUNIT_TEST(CalmLoadIsServed);
  CPPUNIT_TEST(RefusalsAreRight);
  CPPUNIT_TEST(BurstOfTheLowestPriorityLeavesTheHighest);
  CPPUNIT_TEST(HotOrganisationDisplacesOnlyItself);
  CPPUNIT_TEST(BusyServerGetsOneStatementAtATime);
  CPPUNIT_TEST(SlowAnswersLowerTheLimitForAWhile);
  CPPUNIT_TEST(SingleOutliersBarelyMoveTheEstimate);
  CPPUNIT_TEST(ReportsTheWait);
  CPPUNIT_TEST(EachRequestEndsOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Load: 120 transactions that hold connections, behind a queue of new work. */
  void StartsByTransactionThenPriority()
  {
    ServerAdmission admission(kSlots);
    AdmissionTicket running = FillSlots(admission).front();
    const AdmissionTicket low = admission.Add(kBegin, MakeRequest("a", 2));
    const AdmissionTicket high = admission.Add(kBegin, MakeRequest("a", 0));
    AdmissionRequest statement = MakeRequest("a", 2);
    statement.continuesTransaction = true;
    const AdmissionTicket open = admission.Add(kBegin, statement);
    Section("no more than slots + 1 start", [&] {
      CPPUNIT_ASSERT(admission.Step(kBegin).admitted.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), admission.WaitingCount());
    });
    CPPUNIT_ASSERT_EQUAL(open, StartNext(admission, running));
    CPPUNIT_ASSERT_EQUAL(high, StartNext(admission, running));
    Section("what is removed doesn't start", [&] {
      admission.Remove(kBegin, low);
      CPPUNIT_ASSERT_EQUAL(AdmissionTicket(0), StartNext(admission, running));
    });
  }

  /** Load: two higher priorities that always have work waiting. */
  void WaitingLevelsGetOneStartInEight()
  {
    ServerAdmission admission(kSlots);
    AdmissionTicket running = FillSlots(admission).front();
    std::map<AdmissionTicket, unsigned> priorityOf;
    for (unsigned count = 0; count < 80; ++count) {
      for (const unsigned priority : { 0U, 1U, 3U }) {
        priorityOf[admission.Add(kBegin, MakeRequest("a", priority))] = priority;
      }
    }
    std::map<unsigned, unsigned> sinceStart;
    std::map<unsigned, unsigned> starts;
    for (unsigned count = 0; count < 80; ++count) {
      const unsigned started = priorityOf.at(StartNext(admission, running));
      ++starts[started];
      for (const unsigned priority : { 0U, 1U, 3U }) {
        sinceStart[priority] = priority == started ? 0 : sinceStart[priority] + 1;
        CPPUNIT_ASSERT(sinceStart[priority] < ServerAdmission::kStartsPerTurn);
      }
    }
    CPPUNIT_ASSERT(starts[0] >= 55);
  }

  /** Load: one organisation queues 60 statements, then others queue two each; one
      organisation's statements are three times as long. */
  void OrganisationsShareTheServersTime()
  {
    ServerAdmission admission(kSlots);
    std::vector<AdmissionTicket> running = FillSlots(admission);
    for (int count = 0; count < 60; ++count) {
      admission.Add(kBegin, MakeRequest("hot", 0));
    }
    admission.Step(kBegin);
    std::map<AdmissionTicket, std::string> cold;
    for (const std::string name : { "a", "b", "c", "a", "b", "c" }) {
      cold[admission.Add(kBegin, MakeRequest(name, 0))] = name;
    }
    Section("an organisation's second statement waits for the first ones of all others", [&] {
      std::size_t coldStarts = 0;
      for (int count = 0; count < 9; ++count) {
        coldStarts += cold.contains(StartNext(admission, running.front())) ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(6), coldStarts);
    });
    Section("time counts, not the number of statements", [&] {
      ServerAdmission other(kSlots);
      AdmissionTicket first = FillSlots(other).front();
      std::map<AdmissionTicket, bool> isLong;
      for (int count = 0; count < 60; ++count) {
        AdmissionRequest request = MakeRequest(count % 2 == 0 ? "short" : "long", 0);
        request.opensConnection = count % 2 == 1;
        isLong[other.Add(kBegin, request)] = request.opensConnection;
      }
      int longStarts = 0;
      for (int count = 0; count < 26; ++count) {
        longStarts += isLong.at(StartNext(other, first)) ? 1 : 0;
      }
      // 20 ms against 32 ms with a connection that has to be opened.
      CPPUNIT_ASSERT_EQUAL(10, longStarts);
    });
  }

  /** Load: statements of several routes with different time limits and target latencies. */
  void OneOrganisationGoesByTargetAndTimeLimit()
  {
    ServerAdmission admission(kSlots);
    AdmissionTicket running = FillSlots(admission).front();
    AdmissionRequest late = MakeRequest("a", 0, kBegin + seconds(5));
    AdmissionRequest early = MakeRequest("a", 0, kBegin + seconds(3));
    AdmissionRequest withTarget = MakeRequest("a", 0, kBegin + seconds(8));
    withTarget.targetLatencyLeft = milliseconds(500);
    const AdmissionTicket lateTicket = admission.Add(kBegin, late);
    const AdmissionTicket earlyTicket = admission.Add(kBegin, early);
    const AdmissionTicket targetTicket = admission.Add(kBegin, withTarget);
    CPPUNIT_ASSERT_EQUAL(targetTicket, StartNext(admission, running));
    CPPUNIT_ASSERT_EQUAL(earlyTicket, StartNext(admission, running));
    CPPUNIT_ASSERT_EQUAL(lateTicket, StartNext(admission, running));
  }

  /** Load: more work than the server does before the time limits. */
  void RefusesWhatCannotStartInTime()
  {
    Section("with a free slot everything starts, whatever time is left", [] {
      ServerAdmission idle(kSlots);
      idle.Add(kBegin, MakeRequest("a", 3, kBegin));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), idle.Step(kBegin).admitted.size());
    });
    ServerAdmission admission(kSlots);
    FillSlots(admission);
    // 20 ms each and four at a time: the last one of 16 starts about 80 ms from now.
    for (int count = 0; count < 14; ++count) {
      admission.Add(kBegin, MakeRequest("a", 1, kBegin + milliseconds(80)));
    }
    CPPUNIT_ASSERT(admission.Step(kBegin).refused.empty());
    Section("a request with too much work ahead is refused at once", [&] {
      const AdmissionTicket late =
        admission.Add(kBegin, MakeRequest("b", 2, kBegin + milliseconds(10)));
      const auto refused = admission.Step(kBegin).refused;
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused.size());
      CPPUNIT_ASSERT_EQUAL(late, refused.front().ticket);
      CPPUNIT_ASSERT(refused.front().reason == AdmissionRefusalReason::TooMuchAhead);
    });
    Section("so is one that would make earlier work of its priority late", [&] {
      for (int count = 0; count < 40; ++count) {
        admission.Add(kBegin, MakeRequest("a", 1, kBegin + milliseconds(80)));
        for (const AdmissionRefusal& refusal : admission.Step(kBegin).refused) {
          CPPUNIT_ASSERT(refusal.reason == AdmissionRefusalReason::TooMuchAhead);
        }
      }
      CPPUNIT_ASSERT(admission.WaitingCount() >= 16 && admission.WaitingCount() <= 24);
    });
    Section("opening a connection counts", [&] {
      for (const bool opens : { false, true }) {
        ServerAdmission other(kSlots);
        FillSlots(other);
        for (int count = 0; count < 18; ++count) {
          AdmissionRequest request = MakeRequest("a", 0, kBegin + milliseconds(80));
          request.opensConnection = opens;
          other.Add(kBegin, request);
        }
        CPPUNIT_ASSERT_EQUAL(opens, !other.Step(kBegin).refused.empty());
      }
    });
    Section("higher priority displaces what can't start in time any more", [&] {
      for (int count = 0; count < 8; ++count) {
        admission.Add(kBegin, MakeRequest("b", 0, kBegin + milliseconds(80)));
      }
      const auto refused = admission.Step(kBegin).refused;
      CPPUNIT_ASSERT(!refused.empty());
      for (const AdmissionRefusal& refusal : refused) {
        CPPUNIT_ASSERT(refusal.reason == AdmissionRefusalReason::Displaced);
      }
    });
    Section("a queue that is full refuses the last of the lowest level", [] {
      ServerAdmission full(kSlots);
      FillSlots(full);
      const AdmissionTicket last = full.Add(kBegin, MakeRequest("a", 2, kBegin + seconds(100)));
      for (std::size_t count = 0; count < ServerAdmission::kMaxWaiting; ++count) {
        full.Add(kBegin, MakeRequest("a", 0, kBegin + seconds(100)));
      }
      const auto refused = full.Step(kBegin).refused;
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused.size());
      CPPUNIT_ASSERT_EQUAL(last, refused.front().ticket);
      CPPUNIT_ASSERT(refused.front().reason == AdmissionRefusalReason::QueueFull);
    });
    Section("the rest is refused when its time has passed", [&] {
      CPPUNIT_ASSERT(admission.WaitingCount() > 0);
      CPPUNIT_ASSERT(admission.NextDue() == kBegin + milliseconds(80) + Duration(1));
      const auto refused = admission.Step(*admission.NextDue()).refused;
      CPPUNIT_ASSERT(!refused.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), admission.WaitingCount());
      CPPUNIT_ASSERT(!admission.NextDue());
    });
  }

  /** Load: calm, with chance bursts. */
  void CalmLoadIsServed()
  {
    std::ptrdiff_t count = 0;
    std::ptrdiff_t refused = 0;
    for (unsigned seed = 1; seed <= 8; ++seed) {
      std::mt19937 random(seed);
      const auto arrivals = MakeArrivals(MixedLoad(0.85, seconds(10)), random);
      const auto ends = AdmissionSimulation(kSlots).Run(arrivals);
      count += std::ssize(ends);
      refused += std::count_if(
        ends.begin(), ends.end(), [](const auto& aEnd) { return aEnd.refusal.has_value(); });
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " of " + std::to_string(count),
                           1000 * refused <= count);
  }

  /** Loads: slightly and far too much work. */
  void RefusalsAreRight()
  {
    for (const double load : { 1.1, 2.0 }) {
      std::map<AdmissionRefusalReason, unsigned> refused;
      unsigned wronglyDisplaced = 0;
      Duration idleTime{ 0 };
      for (unsigned seed = 1; seed <= 4; ++seed) {
        std::mt19937 random(seed);
        const auto arrivals = MakeArrivals(MixedLoad(load, seconds(10)), random);
        AdmissionSimulation simulation(kSlots);
        simulation.server.checksRefusals = true;
        // The queue fills in the first two seconds, and empties at the end.
        simulation.server.countIdleFrom = kBegin + seconds(2);
        simulation.onEvent = [&](Instant aNow) {
          idleTime = aNow < kBegin + seconds(10) ? simulation.server.idleTime : idleTime;
        };
        for (const SimulatedEnd& end : simulation.Run(arrivals)) {
          refused[end.refusal.value_or(AdmissionRefusalReason::QueueFull)] += end.refusal ? 1 : 0;
          wronglyDisplaced +=
            end.refusal == AdmissionRefusalReason::Displaced && end.wasRefusedWrongly ? 1 : 0;
        }
      }
      const unsigned atArrival = refused[AdmissionRefusalReason::TooMuchAhead];
      const unsigned displaced = refused[AdmissionRefusalReason::Displaced];
      const unsigned expired = refused[AdmissionRefusalReason::Expired];
      const auto couldRun = static_cast<unsigned>(idleTime / kTime);
      const std::string seen =
        std::to_string(atArrival) + " at arrival, " + std::to_string(displaced) + " displaced (" +
        std::to_string(wronglyDisplaced) + " wrongly), " + std::to_string(expired) + " expired, " +
        std::to_string(couldRun) + " could have run";
      Section("the server had no time for what was refused at load " + std::to_string(load),
              [&] { CPPUNIT_ASSERT_MESSAGE(seen, 20 * couldRun <= atArrival); });
      Section("what waited couldn't have started in time",
              [&] { CPPUNIT_ASSERT_MESSAGE(seen, 20 * wronglyDisplaced <= displaced); });
      Section("most is refused at once, and little when its time has passed", [&] {
        CPPUNIT_ASSERT_MESSAGE(seen, atArrival >= (load < 2 ? 1 : 2) * displaced);
        CPPUNIT_ASSERT_MESSAGE(seen, 10 * expired <= atArrival + displaced + expired);
      });
    }
  }

  /** Load: the heavy day of deployment V; the lowest priority bursts to 2.6 times its usual
      level, with 30 ms a statement. */
  void BurstOfTheLowestPriorityLeavesTheHighest()
  {
    std::vector<SimulatedStream> streams;
    const Instant end = kBegin + seconds(10);
    streams.push_back({ "high", 0, 0.35 * kCapacity, kTime, milliseconds(200), kBegin, end });
    streams.push_back({ "middle", 1, 0.25 * kCapacity, kTime, milliseconds(400), kBegin, end });
    for (const std::string name : { "low-1", "low-2" }) {
      streams.push_back(
        { name, 2, 0.5 * 2.6 * 0.3 * kCapacity, milliseconds(30), milliseconds(800), kBegin, end });
    }
    std::mt19937 random(1);
    const auto arrivals = MakeArrivals(streams, random);
    AdmissionSimulation simulation(kSlots);
    const auto ends = simulation.Run(arrivals);
    auto served = ServedByOrganisation(arrivals, ends);
    CPPUNIT_ASSERT(served["high"].Share() >= 0.99);
    CPPUNIT_ASSERT(served["middle"].Share() >= 0.95);
    CPPUNIT_ASSERT(served["low-1"].Share() >= 0.125);
    Section("in no second is the highest priority served less than 0.95", [&] {
      std::map<std::int64_t, Served> bySecond;
      for (std::size_t index = 0; index < arrivals.size(); ++index) {
        if (arrivals[index].request.priority == 0) {
          Served& second = bySecond[(arrivals[index].at - kBegin) / seconds(1)];
          second.count += 1;
          second.started += ends[index].startedAt ? 1 : 0;
        }
      }
      for (const auto& [second, one] : bySecond) {
        CPPUNIT_ASSERT(one.Share() >= 0.95);
      }
    });
  }

  /** Load: one of ten organisations has five times its usual demand. */
  void HotOrganisationDisplacesOnlyItself()
  {
    std::vector<SimulatedStream> streams;
    streams.reserve(10);
    for (int number = 0; number < 10; ++number) {
      streams.push_back({ "organisation-" + std::to_string(number),
                          1,
                          (number == 0 ? 10 : 0.8) * kCapacity / 10,
                          kTime,
                          milliseconds(400),
                          kBegin,
                          kBegin + seconds(10) });
    }
    std::mt19937 random(2);
    const auto arrivals = MakeArrivals(streams, random);
    AdmissionSimulation simulation(kSlots);
    const auto served = ServedByOrganisation(arrivals, simulation.Run(arrivals));
    for (const auto& [name, one] : served) {
      if (name != "organisation-0") {
        CPPUNIT_ASSERT_MESSAGE(name, one.Share() >= 0.98);
      }
    }
    CPPUNIT_ASSERT(served.at("organisation-0").Share() >= 0.2);
  }

  /** Load: others fill the server's queue for two seconds, so that it rejects all work. */
  void BusyServerGetsOneStatementAtATime()
  {
    std::mt19937 random(3);
    const auto arrivals = MakeArrivals(MixedLoad(0.9, seconds(6)), random);
    AdmissionSimulation simulation(kSlots);
    unsigned lowest = kSlots;
    unsigned atEnd = 0;
    simulation.onEvent = [&](Instant aNow) {
      simulation.server.isBusy = aNow >= kBegin + seconds(2) && aNow < kBegin + seconds(4);
      lowest = std::min(lowest, simulation.server.admission.Limit());
      atEnd = aNow < kBegin + milliseconds(4500)
                ? 0
                : std::max(atEnd, simulation.server.admission.Limit());
    };
    simulation.Run(arrivals);
    CPPUNIT_ASSERT_EQUAL(1U, lowest);
    CPPUNIT_ASSERT_EQUAL(kSlots + 1, atEnd);
  }

  /** Load: a server becomes five times slower, for itself or for the work of others. */
  void SlowAnswersLowerTheLimitForAWhile()
  {
    std::mt19937 random(4);
    const auto arrivals = MakeArrivals(MixedLoad(0.6, seconds(12)), random);
    AdmissionSimulation simulation(kSlots);
    unsigned lowest = kSlots;
    Duration slowRead{ 0 };
    simulation.onEvent = [&](Instant aNow) {
      const bool isSlow = aNow >= kBegin + seconds(2) && aNow < kBegin + seconds(6);
      simulation.server.slowness = isSlow ? 5 : 1;
      lowest = std::min(lowest, simulation.server.admission.Limit());
      if (aNow < kBegin + seconds(6)) {
        slowRead = simulation.server.admission.ExpectedTime(WorkKind::Read);
      }
    };
    simulation.Run(arrivals);
    CPPUNIT_ASSERT(lowest < kSlots && lowest >= kSlots / 2);
    Section("the estimate follows, and so the limit grows again", [&] {
      CPPUNIT_ASSERT(slowRead >= milliseconds(60));
      CPPUNIT_ASSERT(simulation.server.admission.ExpectedTime(WorkKind::Read) <= milliseconds(35));
      CPPUNIT_ASSERT_EQUAL(kSlots + 1, simulation.server.admission.Limit());
    });
  }

  /** Load: single statements that take a hundred times as long as the others. */
  void SingleOutliersBarelyMoveTheEstimate()
  {
    WorkTimeEstimate estimate(20);
    CPPUNIT_ASSERT(estimate.Expected(WorkKind::Open) == milliseconds(12));
    for (int count = 0; count < 30; ++count) {
      estimate.Record(WorkKind::Read, milliseconds(10));
    }
    estimate.Record(WorkKind::Read, milliseconds(1000));
    CPPUNIT_ASSERT(estimate.Expected(WorkKind::Read) <= milliseconds(12));
    Section("a lasting change is followed within 30 answers", [&] {
      for (int count = 0; count < 30; ++count) {
        estimate.Record(WorkKind::Read, milliseconds(100));
      }
      CPPUNIT_ASSERT(estimate.Expected(WorkKind::Read) >= milliseconds(70));
    });
  }

  /** Load: a queue that other VMs have to know of. */
  void ReportsTheWait()
  {
    ServerAdmission admission(kSlots);
    CPPUNIT_ASSERT(admission.ExpectedWait(kBegin, 0) == Duration::zero());
    const auto running = FillSlots(admission);
    for (int count = 0; count < 40; ++count) {
      admission.Add(kBegin, MakeRequest("a", 1));
    }
    admission.Step(kBegin);
    const ServerLoad load = admission.Load(kBegin);
    CPPUNIT_ASSERT(load.ExpectedWait(0) < milliseconds(30));
    CPPUNIT_ASSERT(load.ExpectedWait(1) > milliseconds(180) &&
                   load.ExpectedWait(1) < milliseconds(260));
    CPPUNIT_ASSERT(load.ExpectedWait(5) == load.ExpectedWait(1));
    CPPUNIT_ASSERT_EQUAL(kSlots + 1, load.inFlight);
    CPPUNIT_ASSERT_EQUAL(40U, load.waiting);
    Section("the wait grows while the server is frozen", [&] {
      CPPUNIT_ASSERT(admission.ExpectedWait(kBegin + seconds(2), 0) >= seconds(2));
      admission.Finish(
        kBegin + seconds(2), running.front(), { AdmissionEnd::Done, seconds(2), Duration::zero() });
      admission.Step(kBegin + seconds(2));
      CPPUNIT_ASSERT(admission.ExpectedWait(kBegin + seconds(2), 0) < seconds(1));
    });
  }

  /** Load: all kinds of requests, callers that give up, answers of all kinds, new numbers of
      slots. */
  void EachRequestEndsOnce()
  {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      std::mt19937 random(seed);
      ServerAdmission admission(kSlots);
      std::set<AdmissionTicket> waiting;
      std::vector<AdmissionTicket> running;
      Instant now = kBegin;
      unsigned slots = kSlots;
      for (int step = 0; step < 3000; ++step) {
        now += Duration(random() % 8000);
        if (step % 500 == 499) {
          slots = 1 + random() % 6;
          admission.SetSlots(slots);
        }
        for (unsigned count = random() % 4; count > 0; --count) {
          waiting.insert(admission.Add(now, this->RandomRequest(now, random)));
        }
        if (!waiting.empty() && random() % 10 == 0) {
          admission.Remove(now, *waiting.begin());
          waiting.erase(waiting.begin());
        }
        if (!running.empty() && random() % 2 == 0) {
          const auto end = static_cast<AdmissionEnd>(random() % 20 < 16 ? 0 : random() % 5);
          std::swap(running[random() % running.size()], running.back());
          admission.Finish(now, running.back(), { end, milliseconds(random() % 50), Duration(0) });
          running.pop_back();
        }
        const AdmissionDecisions decisions = admission.Step(now);
        for (const AdmissionTicket ticket : decisions.admitted) {
          CPPUNIT_ASSERT_EQUAL(std::size_t(1), waiting.erase(ticket));
          running.push_back(ticket);
        }
        for (const AdmissionRefusal& refusal : decisions.refused) {
          CPPUNIT_ASSERT_EQUAL(std::size_t(1), waiting.erase(refusal.ticket));
        }
        CPPUNIT_ASSERT(decisions.admitted.empty() || running.size() <= slots + 1);
        CPPUNIT_ASSERT_EQUAL(waiting.size(), admission.WaitingCount());
        CPPUNIT_ASSERT_EQUAL(running.size(), admission.InFlightCount());
        CPPUNIT_ASSERT_EQUAL(waiting.size(), admission.StartOrder().size());
        CPPUNIT_ASSERT(waiting.empty() || running.size() >= admission.Limit());
        CPPUNIT_ASSERT(admission.Load(now).ExpectedWait(0) >= Duration::zero());
      }
    }
  }

private:
  AdmissionRequest RandomRequest(Instant aNow, std::mt19937& aRandom)
  {
    AdmissionRequest request = MakeRequest(
      std::to_string(aRandom() % 8), aRandom() % 4, aNow + milliseconds(aRandom() % 900));
    request.continuesTransaction = aRandom() % 5 == 0;
    request.kind = static_cast<WorkKind>(aRandom() % kWorkKindCount);
    request.opensConnection = aRandom() % 4 == 0;
    request.targetLatencyLeft = milliseconds(static_cast<int>(aRandom() % 200) - 50);
    request.weight = static_cast<double>(1 + aRandom() % 3);
    return request;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerAdmissionTest);

} // namespace mustardshift::proxy
