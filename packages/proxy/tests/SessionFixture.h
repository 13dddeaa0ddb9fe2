#pragma once

#include "proxy/session/ClientSession.h"
#include "proxy/tests/FakeNetwork.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardshift::proxy::test {

/** The session objects of one VM over fake servers, in virtual time: group "fittings" with the
    primary "s1" and the replicas "s2" and "s3"; organisations "blue" and "green", keys "key-blue"
    and "key-green"; routes "bookings" (primary), "board" (bounded, 1.5 s) and "notes" (session). */
struct SessionFixture
{
  SessionFixture();

  /** Opens a session; returns nullptr when it is refused. */
  std::shared_ptr<ClientSession<FakeNetwork>> Open(const std::string& aDatabase,
                                                   const std::string& aKey = "key-blue");
  /** Starts a statement and advances the virtual time until its reply. */
  ClientReply Run(ClientSession<FakeNetwork>& aSession, const std::string& aText);
  /** Starts a statement; the reply is stored in the returned object. */
  std::shared_ptr<std::optional<ClientReply>> Start(ClientSession<FakeNetwork>& aSession,
                                                    const std::string& aText);
  /** Advances the virtual time and runs the tasks that become due. */
  void Advance(Duration aTime);
  /** Confirms the configuration as of now and renews the lease on the rate shares. */
  void Confirm();
  SessionConfiguration MakeConfiguration(std::uint64_t aVersion) const;
  void Put(const std::string& aId, ServerRole aRole, ServerState aState = ServerState::Ready);
  /** Returns the records of all runs of statements with this text. */
  std::vector<ExecutedStatement> RunsOf(const std::string& aText) const;

  /** Parses the few statements that the tests use. */
  static Statement Parse(const std::string& aText);

  Instant now{ std::chrono::seconds(1000) };
  Scheduler scheduler;
  std::vector<std::string> lines;
  EventLog log{ [this](std::string aLine) { this->lines.push_back(std::move(aLine)); }, 1000 };
  FakeNetwork network{ this->scheduler };
  ClusterState cluster{ std::chrono::seconds(5) };
  ServerHealth health;
  PositionTable positions{ std::chrono::seconds(5) };
  ReplicaPositions replicaPositions;
  OrganisationBuckets buckets{ VmId("vm-1") };
  ServerPool<FakeNetwork> pool{ network, cluster, health, scheduler, log };
  std::vector<StatementOutcome> outcomes;
  ServerChooser chooser{ cluster, health, positions, replicaPositions, {} };
  Throttler throttler{ this->buckets, this->scheduler };
  SessionContext<FakeNetwork> context{ cluster,
                                       pool,
                                       health,
                                       positions,
                                       replicaPositions,
                                       chooser,
                                       buckets,
                                       throttler,
                                       scheduler,
                                       log,
                                       {},
                                       [this](const StatementOutcome& aOutcome) {
                                         this->outcomes.push_back(aOutcome);
                                       } };
  unsigned lastRequest = 0;
};

} // namespace mustardshift::proxy::test
