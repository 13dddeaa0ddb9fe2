#include "emulator/ControlCost.h"

#include "core/failover/FailoverStateMachine.h"
#include "core/failover/SuspicionTracker.h"
#include "core/lease/QuotaShardPlan.h"
#include "core/rate/OrganisationQuotaTable.h"
#include "core/routing/FreshnessTracker.h"
#include "core/routing/ReplicaView.h"
#include "protocol/peer/PeerMessageCodec.h"

#include <ctime>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardshift::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSecondsRun = 20;
constexpr std::size_t kServers = 3;
constexpr Duration kStep = milliseconds(50);
/** Steps of 50 ms between two runs of each loop, as in the daemon. */
constexpr std::uint64_t kTickSteps = 2;
constexpr std::uint64_t kProbeSteps = 4;
constexpr std::uint64_t kLoanSteps = 5;
constexpr std::uint64_t kSecondSteps = 20;
/** Pongs between two that list the registered VMs. */
constexpr std::uint64_t kPongsBetweenVmLists = 5;
/** An encoded change that gives a key. */
constexpr std::size_t kChangeBytes = 300;

double ProcessorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

class Node
{
public:
  explicit Node(const ControlCostOptions& aOptions)
    : options(aOptions)
    , holder(VmIdOf(0), 1, this->now)
    , quotas(VmIdOf(0), 1)
  {
    for (unsigned index = 1; index < this->options.vms; ++index) {
      this->peers.push_back(VmIdOf(index));
    }
    for (unsigned index = 0; index < this->options.vms; ++index) {
      this->knownVms.push_back(VmIdOf(index));
      this->registered.push_back({ VmIdOf(index), 1 });
    }
    for (unsigned index = 0; index < this->options.databases; ++index) {
      Database& database = this->databases.emplace_back();
      FailoverOptions failover;
      failover.database = DatabaseName("database-" + std::to_string(index));
      for (std::size_t server = 0; server < kServers; ++server) {
        failover.servers.emplace_back("10.20." + std::to_string(server) + "." +
                                      std::to_string(index) + ":5400");
      }
      failover.self = VmIdOf(0);
      failover.failureDomain = FailureDomainName("kigali-1");
      failover.incarnation = 1;
      database.name = failover.database;
      database.servers = failover.servers;
      database.decision = std::make_unique<FailoverStateMachine>(failover, std::mt19937_64(index));
      database.decision->Handle(failover_event::MembersChanged{ this->knownVms }, this->now);
      database.decision->Handle(failover_event::PrimaryLearned{ 1, database.servers.front() },
                                this->now);
      this->tracker.Monitor(database.name, 1, database.servers.front(), this->now);
      database.views.resize(kServers - 1);
      this->primaries.push_back({ database.name, 1, database.servers.front() });
    }
    std::vector<Organisation> organisations;
    for (unsigned index = 0; index < this->options.organisations; ++index) {
      organisations.push_back(
        { OrganisationName("organisation-" + std::to_string(index)), 100, 200, 1, {} });
    }
    this->quotas.Configure(this->now, organisations);
    this->quotas.SetShards(this->now,
                           { { QuotaShardId{ 0 }, this->now + std::chrono::hours(24) } });
    this->names = std::move(organisations);
  }

  void Run()
  {
    for (std::uint64_t step = 0; step < kSecondsRun * kSecondSteps; ++step) {
      this->now += kStep;
      if (step % kTickSteps == 0) {
        this->Tick();
      }
      if (step % kProbeSteps == 0) {
        this->Probe();
      }
      if (step % kLoanSteps == 0) {
        this->AskLoans();
      }
      if (step % kSecondSteps == 0) {
        this->Ping();
        this->PlanShards();
        this->PushChanges();
      }
    }
  }

  double Messages() const { return static_cast<double>(this->messages); }
  double Bytes() const { return static_cast<double>(this->bytes); }

private:
  struct Database
  {
    DatabaseName name;
    std::vector<ServerAddress> servers;
    std::unique_ptr<FailoverStateMachine> decision;
    std::vector<ReplicaView> views;
    FreshnessTracker freshness{ std::chrono::minutes(10) };
  };

  static VmId VmIdOf(unsigned aIndex) { return VmId("vm-" + std::to_string(aIndex)); }

  std::vector<std::uint8_t> Send(const PeerMessage& aMessage)
  {
    const auto encoded = EncodePeerMessage(aMessage);
    ++this->messages;
    this->bytes += encoded->size();
    return *encoded;
  }

  void Receive(const std::vector<std::uint8_t>& aBytes)
  {
    if (const auto message = DecodePeerMessage(aBytes)) {
      if (const auto* pong = std::get_if<Pong>(&*message)) {
        this->states[pong->header.sender] = pong->state;
      }
    }
  }

  PeerHeader Header()
  {
    return { VmIdOf(0), 1'796'000'000'000'000, ++this->lastMessage, this->lastMessage };
  }

  void Tick()
  {
    for (Database& database : this->databases) {
      database.decision->Handle(failover_event::Tick{}, this->now);
    }
    this->suspected = this->tracker.Suspected(this->now).size();
  }

  void Probe()
  {
    ++this->offset;
    for (Database& database : this->databases) {
      for (std::size_t server = 0; server < kServers; ++server) {
        const ServerReport report{ 1, { 1, this->offset }, server == 0 };
        if (server == 0) {
          this->tracker.RecordResponse(database.name, 1, database.servers[server], this->now);
          database.freshness.Observe(this->now, report.position);
        } else {
          database.views[server - 1].position = report.position;
        }
        database.decision->Handle(
          failover_event::ServerReported{ database.servers[server], report }, this->now);
      }
    }
  }

  /** A third of the organisations is busy on this VM and needs loans. */
  void AskLoans()
  {
    constexpr std::size_t kBusyPart = 3;
    constexpr unsigned kAsked = 5;
    for (std::size_t index = 0; index < this->names.size(); index += kBusyPart) {
      for (unsigned count = 0; count < kAsked; ++count) {
        (void)this->quotas.Admit(this->now, this->names[index].name);
      }
    }
    for (const QuotaLoanRequest& request : this->quotas.PlanLoanRequests(this->now, this->peers)) {
      this->Receive(this->Send(QuotaLoanRequestMessage{ this->Header(), request }));
      QuotaLoanGrant grant;
      grant.organisation = request.organisation;
      grant.loan = { request.lender, 1, ++this->lastLoan };
      if (request.extends) {
        grant.loan = *request.extends;
      }
      grant.borrower = request.borrower;
      grant.borrowerIncarnation = request.borrowerIncarnation;
      grant.requestNumber = request.number;
      grant.isExtension = request.extends.has_value();
      grant.units = request.units;
      grant.duration = kMaxQuotaLoanDuration;
      // As a lender, this node sends as many grants as its peers ask for.
      this->Receive(this->Send(QuotaLoanGrantMessage{ this->Header(), grant }));
      this->quotas.Borrow(this->now, grant, this->now);
    }
  }

  void Ping()
  {
    for (const VmId& peer : this->peers) {
      mustardshift::Ping ping{ this->Header(), {} };
      ping.state.configurationVersion = 100'000;
      ping.state.platformReachable = true;
      this->Receive(this->Send(ping));
      Pong pong{ this->Header(), ping.state };
      pong.state.confirmationAge = Duration(400'000);
      pong.state.heldShards = { 3 };
      if (!this->primaries.empty()) {
        pong.state.primaries.push_back(
          this->primaries[this->nextPrimary++ % this->primaries.size()]);
      }
      if (++this->pongs[peer] % kPongsBetweenVmLists == 0) {
        pong.state.knownVms = this->registered;
      }
      const std::vector<std::uint8_t> sent = this->Send(pong);
      pong.header.sender = peer;
      this->Receive(sent);
    }
  }

  void PlanShards()
  {
    for (unsigned index = 0; index < kQuotaShardsPerCell; ++index) {
      QuotaShardRow row;
      row.shard = { static_cast<std::uint8_t>(index) };
      row.holder = VmIdOf(index % this->options.vms);
      row.incarnation = 1;
      row.version = 1;
      this->holder.Observe(this->now, row);
    }
    const std::set<VmId> live(this->knownVms.begin(), this->knownVms.end());
    (void)PlanQuotaShards(this->now, this->holder, live, false, true);
  }

  /** The VM that accepts a change pushes it to all; each VM accepts its part of the changes. */
  void PushChanges()
  {
    this->changesDue += this->options.changesPerDay / 86'400;
    const std::string change(kChangeBytes, 'x');
    while (this->changesDue >= 1) {
      this->changesDue -= 1;
      ConfigurationPush push;
      push.header = this->Header();
      push.version = ++this->lastLoan;
      push.change = change;
      this->Receive(this->Send(push));
    }
  }

  ControlCostOptions options;
  Instant now{ seconds(1000) };
  std::vector<VmId> peers;
  std::vector<VmId> knownVms;
  std::vector<VmIncarnation> registered;
  std::map<VmId, PeerState> states;
  std::map<VmId, std::uint64_t> pongs;
  std::vector<Database> databases;
  std::vector<KnownPrimary> primaries;
  std::size_t nextPrimary = 0;
  SuspicionTracker tracker;
  QuotaShardHolder holder;
  OrganisationQuotaTable quotas;
  std::vector<Organisation> names;
  std::uint64_t offset = 1;
  std::uint64_t lastMessage = 0;
  std::uint64_t lastLoan = 0;
  double changesDue = 0;
  std::size_t suspected = 0;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

} // namespace

ControlCost EmulateControl(const ControlCostOptions& aOptions)
{
  const auto before = mallinfo2();
  Node node(aOptions);
  const double started = ProcessorSeconds();
  node.Run();
  ControlCost cost;
  cost.processorPercent = 100 * (ProcessorSeconds() - started) / kSecondsRun;
  const auto after = mallinfo2();
  cost.messagesPerSecond = node.Messages() / kSecondsRun;
  cost.bytesPerSecond = node.Bytes() / kSecondsRun;
  const auto used = [](const struct mallinfo2& aInfo) {
    return static_cast<double>(aInfo.uordblks + aInfo.hblkhd);
  };
  cost.memoryMib = std::max(0.0, used(after) - used(before)) / (1 << 20);
  return cost;
}

} // namespace mustardshift::bench
