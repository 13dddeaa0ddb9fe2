#pragma once

#include "adapters/clock/SystemBootClock.h"
#include "adapters/tests/DatabaseFixture.h"
#include "core/configuration/KeyHash.h"
#include "daemon/loop/EventLoop.h"
#include "daemon/request/RequestProcessor.h"
#include "daemon/request/TransactionTable.h"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>

namespace mustardshift::test {

/** Name of the database in the fixture's configuration; the routes below belong to it. */
inline const char* const kDatabase = "bookings";
/** Public route with a freshness bound of zero: reads return the present state. */
inline const char* const kRoute = "present";
/** Public route whose reads may return data that is up to 10 s old. */
inline const char* const kStaleReadRoute = "old";
/** Routes of the organisations "a" and "b", whose keys are "key-a" and "key-b". */
inline const char* const kRouteOfA = "of-a";
inline const char* const kRouteOfB = "of-b";

inline CallerRequest MakeCallerRequest(const std::string& aId,
                                       const std::string& aStatement,
                                       const std::string& aRoute = kRoute)
{
  CallerRequest request;
  request.route = RouteName(aRoute);
  request.requestId = RequestId(aId);
  request.statement.text = aStatement;
  request.deadline = SystemBootClock{}.Now() + kTimeout;
  return request;
}

/** The request processing of one VM with three database servers; the first is the primary of
    term 2. */
struct RequestFixture
{
  explicit RequestFixture(unsigned aConnections = 4)
  {
    this->loop.Start();
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->tokenSecret = std::string(64, 'a');
    DatabaseGroup database;
    database.name = DatabaseName(kDatabase);
    for (const auto& server : this->group.servers) {
      database.servers.push_back({ server->Address(), FailureDomainName("domain-1") });
    }
    configuration->databases = { database };
    const auto old = std::chrono::seconds(10);
    configuration->routes = {
      { RouteName(kRoute), {}, true, database.name, Duration(0) },
      { RouteName(kStaleReadRoute), {}, true, database.name, old },
      { RouteName(kRouteOfA), OrganisationName("a"), false, database.name, Duration(0) },
      { RouteName(kRouteOfB), OrganisationName("b"), false, database.name, Duration(0) },
    };
    for (const char* name : { "a", "b" }) {
      const std::string key = std::string("key-") + name;
      configuration->organisations.push_back(
        { OrganisationName(name), 1000, 1000, 1, { { "main", KeyHash(key) } } });
    }
    this->OnLoop([&](Instant aNow) {
      this->trust.SetVersion(1);
      this->trust.OnHeadRead(aNow, 1);
      this->processor.Configure(aNow, configuration);
      this->dispatcher = this->processor.FindDispatcher(database.name);
      this->dispatcher->SetEntitlement(aConnections);
      std::vector<HeldQuotaShard> shards;
      for (unsigned i = 0; i < kQuotaShardsPerCell; ++i) {
        shards.push_back({ { static_cast<std::uint8_t>(i) }, aNow + std::chrono::minutes(9) });
      }
      this->quota.SetShards(aNow, shards);
    });
    this->SetPrimary(2, 0);
    this->Probe();
  }

  ~RequestFixture()
  {
    this->OnLoop([this](Instant) { this->dispatcher->SetEntitlement(0); });
    this->loop.Stop();
  }

  void OnLoop(const EventLoop::Task& aTask) { CPPUNIT_ASSERT(this->loop.PostAndWait(aTask)); }

  /** Sets the primary that the VM knows for a term. */
  void SetPrimary(std::uint64_t aTerm, std::size_t aPrimary)
  {
    const ServerAddress address = this->addresses.at(aPrimary);
    this->OnLoop([&](Instant aNow) {
      this->processor.SetPrimary(aNow, DatabaseName(kDatabase), { aTerm, address });
    });
  }

  /** Probes all servers twice, so that the VM knows their present reports. */
  void Probe()
  {
    for (std::size_t round = 0; round < 2; ++round) {
      auto answers = std::make_shared<std::atomic<int>>(0);
      this->OnLoop([&](Instant aNow) {
        this->dispatcher->Probe(aNow,
                                ProbeScope::AllServers,
                                [answers](Instant, const auto&, const auto&) { ++*answers; });
      });
      CPPUNIT_ASSERT(Eventually([&] { return *answers == 3; }));
      this->OnLoop([](Instant) {});
    }
  }

  /** Starts a call whose last argument is the reply callback. Replies after the first are counted
      in duplicateReplies. */
  template<class Answer>
  std::future<Outcome<Answer>> Start(
    const std::function<void(Instant, std::function<void(Outcome<Answer>)>)>& aCall)
  {
    auto promise = std::make_shared<std::promise<Outcome<Answer>>>();
    this->OnLoop([&](Instant aNow) {
      aCall(aNow,
            [this, promise, replied = std::make_shared<bool>(false)](Outcome<Answer> aAnswer) {
              if (std::exchange(*replied, true)) {
                ++this->duplicateReplies;
              } else {
                promise->set_value(std::move(aAnswer));
              }
            });
    });
    return promise->get_future();
  }

  std::future<Outcome<CallerAnswer>> Execute(const CallerRequest& aRequest)
  {
    return this->Start<CallerAnswer>(
      [&](Instant aNow, auto aReply) { this->processor.Execute(aNow, aRequest, aReply); });
  }

  std::future<Outcome<CallerAnswer>> Commit(const TransactionId& aId, const CallerRequest& aRequest)
  {
    return this->Start<CallerAnswer>(
      [&](Instant aNow, auto aReply) { this->transactions.Commit(aNow, aId, aRequest, aReply); });
  }

  std::future<Outcome<CallerAnswer>> ExecuteInTransaction(const TransactionId& aId,
                                                          const CallerRequest& aRequest)
  {
    return this->Start<CallerAnswer>(
      [&](Instant aNow, auto aReply) { this->transactions.Execute(aNow, aId, aRequest, aReply); });
  }

  TransactionId Begin(const CallerRequest& aRequest)
  {
    auto begun = this->Start<TransactionId>(
      [&](Instant aNow, auto aReply) { this->transactions.Begin(aNow, aRequest, aReply); });
    return WaitForReply(begun).value();
  }

  /** Waits for a reply; fails the test if none arrives within twice kTimeout. */
  template<class Answer>
  static Outcome<Answer> WaitForReply(std::future<Outcome<Answer>>& aReply)
  {
    CPPUNIT_ASSERT_MESSAGE("no reply before the timeout",
                           aReply.wait_for(2 * kTimeout) == std::future_status::ready);
    return aReply.get();
  }

  Outcome<CallerAnswer> ExecuteAndWait(const CallerRequest& aRequest)
  {
    auto reply = this->Execute(aRequest);
    return WaitForReply(reply);
  }

  GroupFixture group;
  std::vector<ServerAddress> addresses{ group.At(0).Address(),
                                        group.At(1).Address(),
                                        group.At(2).Address() };
  std::atomic<int> duplicateReplies{ 0 };
  EventLoop loop{ 1024 };
  ConfigurationTrust trust{ VmId("vm-1") };
  ServingState servingState{ trust, false, {} };
  OrganisationQuotaTable quota{ VmId("vm-1"), 1 };
  RequestProcessor processor{ loop,         "vm-1", FailureDomainName("domain-1"),
                              servingState, quota,  [](const auto&, const auto&, Duration) {} };
  TransactionTable transactions{ loop, processor, std::chrono::seconds(10) };
  std::shared_ptr<DatabaseDispatcher> dispatcher;
};

} // namespace mustardshift::test
