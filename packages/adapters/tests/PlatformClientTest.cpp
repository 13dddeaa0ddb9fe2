#include "adapters/platform/ObjectStoreClient.h"
#include "adapters/platform/TableClient.h"
#include "adapters/platform/VmDirectoryClient.h"
#include "adapters/tests/PlatformFixture.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mustardshift {

using test::PlatformFixture;
using test::Section;

namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);
constexpr Duration kShortTimeout = std::chrono::milliseconds(200);

} // namespace

/** Guards against a platform failure that is reported as something else: "not run" for a commit
    that may have run would let a caller repeat it, and the reverse would stop callers needlessly.
 */
class PlatformClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlatformClientTest);
  CPPUNIT_TEST(TellsWhetherACommitMayHaveRun);
  CPPUNIT_TEST(LimitsAnOutageToSomeCallers);
  CPPUNIT_TEST(ReachesAPlatformThatCameBack);
  CPPUNIT_TEST(StoresObjects);
  CPPUNIT_TEST(ListsVms);
  CPPUNIT_TEST(DelaysCallsOverCapacity);
  CPPUNIT_TEST_SUITE_END();

public:
  void TellsWhetherACommitMayHaveRun()
  {
    struct Case
    {
      std::string name;
      std::function<void(PlatformFixture&)> inject;
      PlatformError error;
      bool tookEffect;
    };
    const std::vector<Case> cases{
      { "the answer is dropped",
        [](PlatformFixture& aPlatform) { aPlatform.DropCommitAnswers(1); },
        PlatformError::AnswerLost,
        true },
      { "the answer is later than the timeout",
        [](PlatformFixture& aPlatform) { aPlatform.SetDelay(400); },
        PlatformError::AnswerLost,
        true },
      { "the platform refuses",
        [](PlatformFixture& aPlatform) { aPlatform.SetOutage(standin::v1::OUTAGE_MODE_REFUSE); },
        PlatformError::AnswerLost,
        false },
      { "the platform is silent",
        [](PlatformFixture& aPlatform) { aPlatform.SetOutage(standin::v1::OUTAGE_MODE_SILENT); },
        PlatformError::AnswerLost,
        false },
    };
    for (const Case& tested : cases) {
      Section(tested.name, [&] {
        PlatformFixture platform;
        TableClient table(platform.server->Address());
        tested.inject(platform);
        const auto result = table.Commit({}, { { "a", "1" } }, kShortTimeout);
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(result.error().error == tested.error);
        platform.SetOutage(standin::v1::OUTAGE_MODE_NONE);
        platform.SetDelay(0);
        CPPUNIT_ASSERT_EQUAL(tested.tookEffect, !table.Read({ "a" }, kTimeout)->empty());
      });
    }
    Section("nothing listens", [&] {
      std::string address;
      {
        const PlatformFixture gone;
        address = gone.server->Address();
      }
      TableClient table(address);
      const auto result = table.Commit({}, { { "a", "1" } }, kTimeout);
      CPPUNIT_ASSERT(!result);
      CPPUNIT_ASSERT(result.error().error == PlatformError::NotReached);
    });
  }

  void LimitsAnOutageToSomeCallers()
  {
    PlatformFixture platform;
    TableClient cutOff(platform.server->Address(), "vm-1");
    TableClient other(platform.server->Address(), "vm-2");
    platform.SetOutage(standin::v1::OUTAGE_MODE_REFUSE, "vm-1");
    CPPUNIT_ASSERT(!cutOff.Read({ "a" }, kTimeout));
    CPPUNIT_ASSERT(other.Read({ "a" }, kTimeout));
  }

  void ReachesAPlatformThatCameBack()
  {
    auto first = std::make_unique<PlatformFixture>();
    standin::PlatformOptions options;
    options.listen = first->server->Address();
    TableClient table(options.listen);
    CPPUNIT_ASSERT(table.Read({ "a" }, kTimeout));
    first.reset();
    CPPUNIT_ASSERT(!table.Read({ "a" }, kTimeout));
    const PlatformFixture second(options);
    bool reached = false;
    for (int attempt = 0; attempt < 200 && !reached; ++attempt) {
      reached = table.Read({ "a" }, kTimeout).has_value();
      if (!reached) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    }
    CPPUNIT_ASSERT(reached);
  }

  void StoresObjects()
  {
    PlatformFixture platform;
    ObjectStoreClient store(platform.server->Address());
    CPPUNIT_ASSERT(!store.Get("snapshot/1", kTimeout)->has_value());
    const std::string content("a\0b", 3);
    CPPUNIT_ASSERT(store.Put("snapshot/1", content, kTimeout));
    CPPUNIT_ASSERT_EQUAL(content, store.Get("snapshot/1", kTimeout)->value());
    CPPUNIT_ASSERT(store.Put("snapshot/1", "", kTimeout));
    CPPUNIT_ASSERT(store.Get("snapshot/1", kTimeout)->value().empty());
    platform.SetOutage(standin::v1::OUTAGE_MODE_REFUSE);
    CPPUNIT_ASSERT(!store.Get("snapshot/1", kTimeout));
  }

  void ListsVms()
  {
    PlatformFixture platform;
    VmDirectoryClient directory(platform.server->Address());
    standin::v1::SetVmsRequest request;
    standin::v1::ControlledVm& vm = *request.add_vms();
    vm.set_address("127.0.3.2:4000");
    vm.set_failure_domain("fd-1");
    vm.set_leaving(true);
    Section("a list that lags is not shown at once", [&] {
      request.set_lag_ms(60'000);
      platform.SetVms(request);
      CPPUNIT_ASSERT(directory.List(kTimeout)->empty());
    });
    Section("a list without lag is", [&] {
      request.set_lag_ms(0);
      platform.SetVms(request);
      CPPUNIT_ASSERT(
        (*directory.List(kTimeout) ==
         std::vector<ListedVm>{ { "127.0.3.2:4000", FailureDomainName("fd-1"), true } }));
    });
  }

  void DelaysCallsOverCapacity()
  {
    standin::PlatformOptions options;
    options.writesPerSecond = 100;
    PlatformFixture platform(options);
    TableClient table(platform.server->Address());
    std::vector<std::future<bool>> commits;
    commits.reserve(30);
    for (int i = 0; i < 30; ++i) {
      commits.push_back(std::async(std::launch::async, [&table, i] {
        return table.Commit({}, { { "row/" + std::to_string(i), "x" } }, kTimeout).has_value();
      }));
    }
    for (auto& commit : commits) {
      CPPUNIT_ASSERT(commit.get());
    }
    CPPUNIT_ASSERT(platform.Counters().delayed() > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 30 }, std::uint64_t{ platform.Counters().commits() });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);

} // namespace mustardshift
