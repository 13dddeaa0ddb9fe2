#include "contracts/DatabaseNetworkContract.h"
#include "contracts/TableStoreContract.h"
#include "proxy/tests/FakeNetwork.h"
#include "proxy/tests/FakeStore.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <string>

namespace mustardshift::proxy {

using std::chrono::seconds;

namespace {

/** Runs the scheduled tasks of a fake in virtual time. */
struct VirtualTime
{
  bool WaitUntil(const std::function<bool()>& aCondition)
  {
    const Instant end = this->now + seconds(5);
    while (!aCondition() && this->scheduler.NextDue() && *this->scheduler.NextDue() <= end) {
      this->now = std::max(this->now, *this->scheduler.NextDue());
      this->setTime(this->now);
      this->scheduler.RunDue(this->now);
    }
    return aCondition();
  }

  Instant now{ seconds(1000) };
  Scheduler scheduler;
  std::function<void(Instant)> setTime;
};

struct FakeStoreFixture : VirtualTime
{
  FakeStoreFixture()
  {
    this->setTime = [this](Instant aNow) { this->store.now = aNow; };
    this->setTime(this->now);
  }
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
  {
    this->store.Put(aTable, aKey, aValue);
  }
  void Remove(const std::string& aTable, const std::string& aKey)
  {
    this->store.Remove(aTable, aKey);
  }
  void DropHistory() { this->store.Compact(); }

  test::FakeStore store{ this->scheduler };
};

struct FakeNetworkFixture : VirtualTime
{
  FakeNetworkFixture()
  {
    this->setTime = [this](Instant aNow) { this->network.now = aNow; };
    this->setTime(this->now);
    this->network.Add("s1", true);
    this->network.Add("s2", false);
  }
  ConnectTarget Target(const std::string& aServer)
  {
    return {
      ServerId(aServer), ServerAddress("-"), DatabaseName("fittings"), OrganisationName("a")
    };
  }
  void BreakConnections(const std::string& aServer)
  {
    this->scheduler.Schedule(
      this->now, [this, aServer](Instant aNow) { this->network.BreakConnections(aNow, aServer); });
  }
  void LoseNextAnswer(const std::string& aServer)
  {
    this->network.Server(aServer).behaviour = [this, aServer](const ServerCommand&) {
      this->network.Server(aServer).behaviour = nullptr;
      return test::CommandBehaviour::BreakAfterRun;
    };
  }

  void HoldBackOneCommit(const std::string& aServer)
  {
    test::FakeServer& server = this->network.Server(aServer);
    server.receivedPosition = LogPosition{ server.position.term, server.position.offset + 1 };
  }

  test::FakeNetwork network{ this->scheduler };
};

} // namespace

/** Guards against fakes that behave differently from the adapters that they replace in tests: both
    have to satisfy the same contract (see PlatformContractTest). */
class FakeContractTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FakeContractTest);
  CPPUNIT_TEST(FakeStoreSatisfiesTheContract);
  CPPUNIT_TEST(FakeNetworkSatisfiesTheContract);
  CPPUNIT_TEST_SUITE_END();

public:
  void FakeStoreSatisfiesTheContract()
  {
    FakeStoreFixture fixture;
    test::TableStoreContract(fixture).Check();
  }
  void FakeNetworkSatisfiesTheContract()
  {
    FakeNetworkFixture fixture;
    test::DatabaseNetworkContract(fixture).Check();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeContractTest);

} // namespace mustardshift::proxy
