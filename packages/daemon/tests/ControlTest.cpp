#include "adapters/clock/SystemBootClock.h"
#include "adapters/tests/DatabaseFixture.h"
#include "adapters/tests/PlatformFixture.h"
#include "core/configuration/ConfigurationCodec.h"
#include "daemon/control/ConfigurationManager.h"
#include "daemon/control/PlatformRows.h"
#include "daemon/control/QuotaShardManager.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mustardshift::test {

namespace {

/** Exceeds the maximum duration of a quota loan. */
constexpr Duration kPastLongestLoan = std::chrono::seconds(6);

/** The components of one VM that access the platform. */
struct TestVm
{
  TestVm(PlatformFixture& aPlatform, const std::string& aName, std::uint64_t aIncarnation = 1)
    : table(aPlatform.server->Address(), aName)
    , objects(aPlatform.server->Address(), aName)
    , registration(table,
                   VmId(aName),
                   { aIncarnation, "", "", "", FailureDomainName("domain-1") },
                   { [this](Instant, Instant) { ++this->registered; },
                     [](Instant, Instant, const auto&, const auto&) {} })
    , configuration(table,
                    objects,
                    registration,
                    { [](Instant, std::uint64_t) {},
                      [this](const std::shared_ptr<const Configuration>& aPresent) {
                        this->versionDidNotIncrease |= aPresent->version <= this->lastVersion;
                        this->lastVersion = aPresent->version;
                      },
                      [] { return true; },
                      [this](std::uint64_t) {
                        if (this->beforeCommit) {
                          std::exchange(this->beforeCommit, nullptr)();
                        }
                      },
                      [](std::uint64_t, bool) {},
                      [](std::uint64_t, const std::string&) {} })
    , shards(table, VmId(aName), aIncarnation, [](const QuotaShardHolder&) {})
  {
  }

  void Register() { CPPUNIT_ASSERT(this->registration.Poll(SystemBootClock{}.Now())); }

  /** Registers the VM and commits the first configuration version unless it exists. */
  void RegisterAndInitialise()
  {
    this->Register();
    const AcceptResult result = this->configuration.SubmitChange(
      ReplaceSchema{ {}, {}, {}, std::string(64, 'a') }, 0, "schema");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.message, std::uint64_t{ 1 }, result.version);
  }

  /** Submits a change that takes "domain-2" out of service. */
  AcceptResult Change(const std::string& aOperation, std::uint64_t aBase = 0)
  {
    return this->configuration.SubmitChange(
      SetFailureDomainState{ FailureDomainName("domain-2"), false }, aBase, aOperation);
  }

  std::uint64_t Version() const { return this->configuration.Current()->version; }

  /** @param aLater  added to the current time, so that the longest loan has expired. */
  bool PollShards(const std::set<VmId>& aLive, Duration aLater = Duration(0))
  {
    return this->shards.Poll(SystemBootClock{}.Now() + aLater, aLive, false, true);
  }

  std::size_t HeldShardCount() const
  {
    return this->shards.Holder().HeldShards(SystemBootClock{}.Now()).size();
  }

  int registered = 0;
  std::uint64_t lastVersion = 0;
  bool versionDidNotIncrease = false;
  std::function<void()> beforeCommit;
  TableClient table;
  ObjectStoreClient objects;
  RegistrationManager registration;
  ConfigurationManager configuration;
  QuotaShardManager shards;
};

void CheckStatus(AcceptStatus aExpected, const AcceptResult& aResult)
{
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
    aResult.message, static_cast<int>(aExpected), static_cast<int>(aResult.status));
}

/** Guards against configuration changes that are lost, applied twice or rolled back, and against
    registrations and shards whose state stays unknown after a lost response. */
class ControlTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ControlTest);
  CPPUNIT_TEST(TestConcurrentChanges);
  CPPUNIT_TEST(TestLostAnswer);
  CPPUNIT_TEST(TestOutage);
  CPPUNIT_TEST(TestSnapshots);
  CPPUNIT_TEST(TestRegistration);
  CPPUNIT_TEST(TestShards);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestConcurrentChanges()
  {
    PlatformFixture platform;
    TestVm one(platform, "vm-1");
    TestVm two(platform, "vm-2");
    one.RegisterAndInitialise();
    two.RegisterAndInitialise();
    CheckStatus(AcceptStatus::Accepted, one.Change("first"));
    Section("of two changes with the same base, one is accepted and the other is not applied", [&] {
      one.beforeCommit = [&] { CheckStatus(AcceptStatus::Accepted, two.Change("rival", 2)); };
      CheckStatus(AcceptStatus::Conflict, one.Change("loser", 2));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, one.Version());
    });
    Section("a change without a base is retried on top of the accepted one", [&] {
      one.beforeCommit = [&] { CheckStatus(AcceptStatus::Accepted, two.Change("rival-2")); };
      CheckStatus(AcceptStatus::Accepted, one.Change("later"));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, one.Version());
    });
    Section("a change from a VM whose registration was removed is not accepted", [&] {
      two.registration.Remove({ { { VmId("vm-1"), 1 }, one.registration.RowVersion() } });
      CPPUNIT_ASSERT(one.Change("unregistered").status != AcceptStatus::Accepted);
      CPPUNIT_ASSERT(two.configuration.Poll());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, two.Version());
    });
    CPPUNIT_ASSERT(!one.versionDidNotIncrease && !two.versionDidNotIncrease);
  }

  void TestLostAnswer()
  {
    PlatformFixture platform;
    TestVm one(platform, "vm-1");
    TestVm two(platform, "vm-2");
    one.RegisterAndInitialise();
    two.RegisterAndInitialise();
    Section("after a lost response, the outcome of a commit is read from the table", [&] {
      platform.DropCommitAnswers(1);
      CheckStatus(AcceptStatus::Accepted, one.Change("lost"));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, one.Version());
    });
    Section("a repeated operation returns the first result, on both VMs", [&] {
      CheckStatus(AcceptStatus::Accepted, one.Change("next"));
      for (TestVm* vm : { &one, &two }) {
        const AcceptResult repeated = vm->Change("lost", 0);
        CheckStatus(AcceptStatus::Accepted, repeated);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, repeated.version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, vm->Version());
      }
    });
    Section("a repeat after an unknown outcome finds the change", [&] {
      one.beforeCommit = [&] { platform.SetDelay(1500); };
      CheckStatus(AcceptStatus::Unknown, one.Change("unknown"));
      platform.SetDelay(0);
      CheckStatus(AcceptStatus::Accepted, one.Change("unknown"));
      CPPUNIT_ASSERT(one.configuration.Poll() && two.configuration.Poll());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, one.Version());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, two.Version());
    });
  }

  void TestOutage()
  {
    PlatformFixture platform;
    TestVm one(platform, "vm-1");
    one.RegisterAndInitialise();
    CheckStatus(AcceptStatus::Accepted, one.Change("first"));
    for (const auto mode : { standin::v1::OUTAGE_MODE_REFUSE, standin::v1::OUTAGE_MODE_SILENT }) {
      platform.SetOutage(mode);
      CPPUNIT_ASSERT(!one.configuration.Poll());
      CheckStatus(AcceptStatus::Unavailable, one.Change("during"));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, one.Version());
      platform.SetOutage(standin::v1::OUTAGE_MODE_NONE);
    }
    CPPUNIT_ASSERT(one.configuration.Poll());
    CheckStatus(AcceptStatus::Accepted, one.Change("during"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, one.Version());
  }

  void TestSnapshots()
  {
    PlatformFixture platform;
    TestVm one(platform, "vm-1");
    one.RegisterAndInitialise();
    for (int i = 1; i <= 204; ++i) {
      CheckStatus(AcceptStatus::Accepted, one.Change("change-" + std::to_string(i)));
    }
    const std::string name = SnapshotName(200);
    const auto kept = one.objects.Get(name, kTimeout);
    CPPUNIT_ASSERT(kept && kept->has_value());
    const std::string good = **kept;
    const auto checkCatchUp = [&](const std::string& aTitle, const std::string& aSnapshot) {
      Section(aTitle, [&] {
        CPPUNIT_ASSERT(one.objects.Put(name, aSnapshot, kTimeout));
        TestVm fresh(platform, "vm-3");
        CPPUNIT_ASSERT(fresh.configuration.Poll());
        CPPUNIT_ASSERT(*fresh.configuration.Current() == *one.configuration.Current());
        CPPUNIT_ASSERT(!fresh.versionDidNotIncrease);
      });
    };
    checkCatchUp("a VM catches up with a valid snapshot", good);
    checkCatchUp("a VM catches up with a truncated snapshot", good.substr(0, good.size() / 2));
    checkCatchUp("a VM catches up with an empty snapshot", "");
    Configuration other = *one.configuration.Current();
    other.version = 100;
    checkCatchUp("a VM catches up with an older snapshot under the same name",
                 EncodeConfiguration(other));
    other.version = 300;
    checkCatchUp("a VM catches up with a snapshot above the head", EncodeConfiguration(other));
    Section("a head with a lower version is ignored", [&] {
      const auto head = one.table.Read({ std::string(kHeadKey) }, kTimeout);
      CPPUNIT_ASSERT(one.table.Commit({ { std::string(kHeadKey), head->front().version } },
                                      { { std::string(kHeadKey), EncodeNumber(7) } },
                                      kTimeout));
      one.configuration.Poll();
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 205 }, one.Version());
    });
    Section("pushed changes that are malformed or out of order are ignored", [&] {
      one.configuration.ApplyPushedChange("damaged");
      one.configuration.ApplyPushedChange(
        EncodeChange({ 207, "x", SetFailureDomainState{ FailureDomainName("domain-2"), true } }));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 205 }, one.Version());
    });
    CPPUNIT_ASSERT(!one.versionDidNotIncrease);
  }

  void TestRegistration()
  {
    PlatformFixture platform;
    TestVm one(platform, "vm-1", 1);
    platform.DropCommitAnswers(1);
    one.Register();
    CPPUNIT_ASSERT_EQUAL(0, one.registered);
    one.Register();
    CPPUNIT_ASSERT_EQUAL(1, one.registered);
    CPPUNIT_ASSERT(one.registration.RowVersion() != 0);
    Section("after a restart, the new process owns the row and the old one can commit no change",
            [&] {
              TestVm next(platform, "vm-1", 2);
              next.RegisterAndInitialise();
              CPPUNIT_ASSERT_EQUAL(1, next.registered);
              CPPUNIT_ASSERT(one.Change("old-process").status != AcceptStatus::Accepted);
              CheckStatus(AcceptStatus::Accepted, next.Change("new-process"));
              next.registration.Deregister();
              CPPUNIT_ASSERT(next.table.Scan(std::string(kVmPrefix), 0, kTimeout)->empty());
            });
    Section("Poll reports an outage", [&] {
      platform.SetOutage(standin::v1::OUTAGE_MODE_REFUSE);
      CPPUNIT_ASSERT(!one.registration.Poll(SystemBootClock{}.Now()));
    });
  }

  void TestShards()
  {
    PlatformFixture platform;
    TestVm one(platform, "vm-1");
    TestVm two(platform, "vm-2");
    const std::set<VmId> both{ VmId("vm-1"), VmId("vm-2") };
    Section("a claim with a lost response counts once a read shows it", [&] {
      platform.DropCommitAnswers(2);
      CPPUNIT_ASSERT(one.PollShards({ VmId("vm-1") }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ kQuotaShardsPerCell - 2 }, one.HeldShardCount());
      CPPUNIT_ASSERT(one.PollShards({ VmId("vm-1") }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ kQuotaShardsPerCell }, one.HeldShardCount());
    });
    Section("a shard whose release got no response moves to the other VM and is never held twice",
            [&] {
              CPPUNIT_ASSERT(one.PollShards(both));
              platform.DropCommitAnswers(1);
              for (int round = 0; round < 4; ++round) {
                CPPUNIT_ASSERT(one.PollShards(both, kPastLongestLoan) &&
                               two.PollShards(both, kPastLongestLoan));
                CPPUNIT_ASSERT(one.HeldShardCount() + two.HeldShardCount() <= kQuotaShardsPerCell);
              }
              CPPUNIT_ASSERT_EQUAL(std::size_t{ kQuotaShardsPerCell },
                                   one.HeldShardCount() + two.HeldShardCount());
              CPPUNIT_ASSERT(two.HeldShardCount() > 0);
            });
    Section("a restarted VM takes over its shards only after the longest loan has expired", [&] {
      TestVm restarted(platform, "vm-1", 2);
      CPPUNIT_ASSERT(restarted.PollShards(both));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, restarted.HeldShardCount());
      CPPUNIT_ASSERT(restarted.PollShards(both, kPastLongestLoan));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ kQuotaShardsPerCell },
                           restarted.HeldShardCount() + two.HeldShardCount());
    });
    Section("leases stay valid in an outage", [&] {
      const std::size_t before = two.HeldShardCount();
      platform.SetOutage(standin::v1::OUTAGE_MODE_REFUSE);
      CPPUNIT_ASSERT(!two.PollShards(both));
      CPPUNIT_ASSERT_EQUAL(before, two.HeldShardCount());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);

} // namespace

} // namespace mustardshift::test
