#include "proxy/outlier/OutlierDetector.h"
#include "support/Section.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>
#include <vector>

namespace mustardshift::proxy {

using mustardshift::test::Section;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServerId kPrimary("primary");
const ServerId kOne("replica-1");
const ServerId kTwo("replica-2");

/** Detector of one group that gets an answer of each server every 10 ms. */
struct DetectorFixture
{
  DetectorFixture()
    : detector(OutlierOptions{})
  {
    this->detector.SetServers({ kOne, kTwo }, kPrimary);
  }

  /** Records answers of the three servers for a time; the replicas' as given.
      @param aLatency  time of a read at the first replica. */
  void Answer(Duration aTime,
              double aFailuresOfOne,
              double aFailuresOfTwo = 0,
              Duration aLatency = milliseconds(20))
  {
    std::uniform_real_distribution<double> part(0, 1);
    for (const Instant end = this->now + aTime; this->now < end; this->now += milliseconds(10)) {
      const bool hasOneFailed = part(this->random) < aFailuresOfOne;
      const bool hasTwoFailed = part(this->random) < aFailuresOfTwo;
      this->Record(kPrimary, { true, milliseconds(20), true });
      this->Record(kOne, { !hasOneFailed, aLatency, true });
      this->Record(kTwo, { !hasTwoFailed, milliseconds(20), true });
    }
  }

  /** Records an answer if the server would have got a read. */
  void Record(const ServerId& aServer, const ServerAnswer& aAnswer)
  {
    if (this->detector.UseOf(this->now, aServer) != ServerUse::Used &&
        !this->detector.TakeProbe(this->now, aServer)) {
      return;
    }
    if (const auto ejection = this->detector.Record(this->now, aServer, aAnswer)) {
      this->ejections.push_back(*ejection);
    }
  }

  bool IsUsed(const ServerId& aServer) const
  {
    return this->detector.UseOf(this->now, aServer) == ServerUse::Used;
  }

  Instant now{ seconds(1000) };
  std::mt19937 random{ 20261206 };
  OutlierDetector detector;
  std::vector<Ejection> ejections;
};

} // namespace

/** Guards against reads that go on to a server that fails or is slow although it reports itself
    as healthy, and against ejections that leave too few servers for the load. */
class OutlierDetectorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OutlierDetectorTest);
  CPPUNIT_TEST(CrashedServerIsEjectedAtOnce);
  CPPUNIT_TEST(ServerThatFailsInPartIsEjected);
  CPPUNIT_TEST(RareFailuresEjectNothing);
  CPPUNIT_TEST(SlowServerIsEjected);
  CPPUNIT_TEST(ReportedTimesCountForOtherServers);
  CPPUNIT_TEST(EjectionsDoubleAndReadsEndThem);
  CPPUNIT_TEST(AtMostHalfOfTheReplicasAreEjected);
  CPPUNIT_TEST(GroupThatLooksBadIsUsedAsItIs);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Load: a replica crashes and refuses all connections. */
  void CrashedServerIsEjectedAtOnce()
  {
    DetectorFixture fixture;
    fixture.Answer(seconds(1), 0);
    CPPUNIT_ASSERT(fixture.ejections.empty());
    fixture.Answer(milliseconds(50), 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.ejections.size());
    CPPUNIT_ASSERT(fixture.ejections[0].server == kOne);
    CPPUNIT_ASSERT(fixture.ejections[0].reason == EjectionReason::ConsecutiveFailures);
    CPPUNIT_ASSERT(fixture.detector.UseOf(fixture.now, kOne) == ServerUse::Ejected);
    CPPUNIT_ASSERT(fixture.detector.EjectedFor(fixture.now, kOne) > milliseconds(400));
    Section("a server that is replaced starts without a record", [&] {
      fixture.detector.SetServers({ kTwo, ServerId("replica-3") }, kPrimary);
      CPPUNIT_ASSERT(fixture.detector.Ejections(fixture.now).empty());
    });
  }

  /** Load: a replica fails a quarter of its requests and reports itself as healthy. */
  void ServerThatFailsInPartIsEjected()
  {
    DetectorFixture fixture;
    fixture.Answer(seconds(1), 0.25);
    CPPUNIT_ASSERT(!fixture.ejections.empty());
    CPPUNIT_ASSERT(fixture.ejections[0].reason == EjectionReason::FailureRatio);
    CPPUNIT_ASSERT(fixture.ejections[0].server == kOne);
  }

  /** Load: 1 % of all requests fail, for ten minutes. */
  void RareFailuresEjectNothing()
  {
    DetectorFixture fixture;
    fixture.Answer(seconds(600), 0.01, 0.01);
    CPPUNIT_ASSERT(fixture.ejections.empty());
  }

  /** Load: a replica becomes five times slower. */
  void SlowServerIsEjected()
  {
    DetectorFixture fixture;
    fixture.Answer(seconds(5), 0);
    fixture.Answer(seconds(1), 0, 0, milliseconds(100));
    CPPUNIT_ASSERT(!fixture.ejections.empty());
    CPPUNIT_ASSERT(fixture.ejections[0].reason == EjectionReason::Latency);
    Section("it stays out while its reads are slow", [&] {
      for (int step = 0; step < 100; ++step) {
        fixture.Answer(milliseconds(100), 0, 0, milliseconds(100));
        CPPUNIT_ASSERT(!fixture.IsUsed(kOne));
      }
    });
    Section("and returns when they are as fast as the others'", [&] {
      fixture.Answer(seconds(17), 0);
      CPPUNIT_ASSERT(fixture.IsUsed(kOne));
    });
    Section("slow reads that callers don't notice eject nothing", [] {
      OutlierDetector detector{ OutlierOptions{} };
      detector.SetServers({ kOne, kTwo }, kPrimary);
      detector.RecordReported(kTwo, milliseconds(5));
      for (int count = 0; count < 100; ++count) {
        CPPUNIT_ASSERT(
          !detector.Record(Instant(seconds(1)), kOne, { true, milliseconds(45), true }));
      }
    });
  }

  /** Load: gateways that each know the answers of one server, and a group that is slow as a
      whole. */
  void ReportedTimesCountForOtherServers()
  {
    const auto answerSlowly = [](OutlierDetector& aDetector) {
      bool wasEjected = false;
      for (int count = 0; count < 200; ++count) {
        const Duration time = milliseconds(count < 150 ? 20 : 100);
        const Instant now{ milliseconds(1'000'000 + 10 * count) };
        wasEjected |= aDetector.Record(now, kOne, { true, time, true }).has_value();
      }
      return wasEjected;
    };
    OutlierDetector alone{ OutlierOptions{} };
    alone.SetServers({ kOne, kTwo }, kPrimary);
    CPPUNIT_ASSERT(answerSlowly(alone));
    OutlierDetector withOthers{ OutlierOptions{} };
    withOthers.SetServers({ kOne, kTwo }, kPrimary);
    withOthers.RecordReported(kTwo, milliseconds(90));
    withOthers.RecordReported(kPrimary, milliseconds(80));
    CPPUNIT_ASSERT(!answerSlowly(withOthers));
  }

  /** Load: a server that alternates between down and up. */
  void EjectionsDoubleAndReadsEndThem()
  {
    DetectorFixture fixture;
    fixture.Answer(seconds(60), 1);
    const auto& ejections = fixture.ejections;
    CPPUNIT_ASSERT(ejections.size() >= 6 && ejections.size() <= 9);
    Duration length = OutlierOptions{}.baseEjection;
    for (std::size_t index = 1; index < ejections.size(); ++index) {
      const Duration next = std::min(2 * length, OutlierOptions{}.maxEjection);
      CPPUNIT_ASSERT(ejections[index].endsAt - ejections[index - 1].endsAt >= next);
      CPPUNIT_ASSERT(ejections[index].reason == EjectionReason::ProbeFailed);
      length = next;
    }
    Section("three reads in a row return it to use", [&] {
      fixture.now = ejections.back().endsAt;
      for (unsigned probe = 0; probe < OutlierDetector::kProbes; ++probe) {
        CPPUNIT_ASSERT(fixture.detector.UseOf(fixture.now, kOne) == ServerUse::Probed);
        CPPUNIT_ASSERT(fixture.detector.TakeProbe(fixture.now, kOne));
        CPPUNIT_ASSERT(!fixture.detector.TakeProbe(fixture.now, kOne));
        fixture.detector.Record(fixture.now, kOne, { true, milliseconds(20), true });
        fixture.now += OutlierDetector::kProbeInterval;
      }
      CPPUNIT_ASSERT(fixture.IsUsed(kOne));
    });
    Section("a further fault soon after that ejects it for as long", [&] {
      fixture.Answer(milliseconds(100), 1);
      CPPUNIT_ASSERT(fixture.detector.EjectedFor(fixture.now, kOne) > seconds(15));
    });
    Section("after a long time in use, the first ejection is short again", [&] {
      fixture.Answer(seconds(100), 0);
      fixture.Answer(milliseconds(100), 1);
      CPPUNIT_ASSERT(fixture.detector.EjectedFor(fixture.now, kOne) <= milliseconds(500));
    });
  }

  /** Load: both replicas fail, the primary doesn't. */
  void AtMostHalfOfTheReplicasAreEjected()
  {
    DetectorFixture fixture;
    for (int step = 0; step < 100; ++step) {
      fixture.Answer(milliseconds(100), 1, 1);
      CPPUNIT_ASSERT(fixture.IsUsed(kOne) || fixture.IsUsed(kTwo));
    }
    CPPUNIT_ASSERT(!fixture.ejections.empty());
  }

  /** Load: all servers of a group fail, for example because of a fault in their network. */
  void GroupThatLooksBadIsUsedAsItIs()
  {
    DetectorFixture fixture;
    for (int count = 0; count < 20; ++count) {
      for (const ServerId& server : { kPrimary, kOne, kTwo }) {
        fixture.detector.Record(fixture.now, server, { false, milliseconds(1), true });
      }
    }
    for (const ServerId& server : { kPrimary, kOne, kTwo }) {
      CPPUNIT_ASSERT(fixture.IsUsed(server));
    }
    Section("until one of them looks good", [&] {
      fixture.detector.Record(fixture.now, kTwo, { true, milliseconds(20), true });
      fixture.now += seconds(11);
      fixture.detector.Record(fixture.now, kTwo, { true, milliseconds(20), true });
      CPPUNIT_ASSERT(fixture.IsUsed(kTwo));
      CPPUNIT_ASSERT(!fixture.IsUsed(kOne));
      CPPUNIT_ASSERT(!fixture.IsUsed(kPrimary));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutlierDetectorTest);

} // namespace mustardshift::proxy
