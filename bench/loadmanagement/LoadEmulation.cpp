#include "loadmanagement/LoadEmulation.h"

#include "proxy/coordination/StableHash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <utility>

namespace mustardshift::bench {

using proxy::AdmissionEnd;
using proxy::ServerId;
using proxy::WorkKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Instant kBegin{ seconds(1000) };
constexpr std::size_t kServersPerGroup = 3;
constexpr Duration kOpenTime = milliseconds(12);
constexpr unsigned kFifoAttempts = 5;
/** Index of the organisation that becomes hot. */
constexpr std::size_t kHotOrganisation = 2;
/** Demand of organisations and groups falls with their rank to these powers. */
constexpr double kOrganisationPower = -1.2;
constexpr double kGroupPower = -0.5;
/** Statements of a transaction after its first one, with the commit. */
constexpr unsigned kTransactionStatements = 2;

struct PriorityProfile
{
  /** Part of the operations. */
  double part;
  Duration time;
  Duration timeLimit;
  Duration target;
};

constexpr std::array<PriorityProfile, kLoadPriorities> kPriorities{ {
  { 0.2, milliseconds(10), milliseconds(400), milliseconds(60) },
  { 0.4, milliseconds(15), milliseconds(800), milliseconds(150) },
  { 0.4, milliseconds(30), milliseconds(1500), milliseconds(500) },
} };

Duration Scale(Duration aTime, double aFactor)
{
  return Duration(static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

std::discrete_distribution<std::size_t> ByRank(std::size_t aCount, double aPower)
{
  std::vector<double> weights;
  for (std::size_t rank = 1; rank <= aCount; ++rank) {
    weights.push_back(std::pow(static_cast<double>(rank), aPower));
  }
  return { weights.begin(), weights.end() };
}

FailureDomainName DomainName(std::size_t aIndex)
{
  return FailureDomainName("domain-" + std::to_string(aIndex));
}

ServerId ServerName(std::size_t aIndex)
{
  return ServerId(std::to_string(aIndex));
}

/** The primary of a group; primaries are spread over the failure domains. */
std::size_t PrimaryOf(std::size_t aGroup)
{
  return aGroup * kServersPerGroup + aGroup % kServersPerGroup;
}

} // namespace

LoadEmulation::LoadEmulation(const LoadDeployment& aDeployment, const LoadScenario& aScenario)
  : deployment(aDeployment)
  , scenario(aScenario)
  , random(aScenario.seed)
  , groups(ByRank(aDeployment.groupCount, kGroupPower))
  , usualOrganisations(ByRank(aDeployment.organisationCount, kOrganisationPower))
{
  std::vector<double> weights = this->usualOrganisations.probabilities();
  this->organisationWeights = weights;
  weights[kHotOrganisation] *= aScenario.hotOrganisation;
  this->hotOrganisations = { weights.begin(), weights.end() };
  for (std::size_t index = 0; index < aDeployment.vmCount; ++index) {
    auto vm = std::make_unique<Vm>();
    vm->domain = index % aDeployment.domainCount;
    vm->reportAge = milliseconds(50 + this->random() % 750);
    proxy::ServerSelectorOptions options;
    options.ownDomain = DomainName(vm->domain);
    options.domainCount = aDeployment.domainCount;
    options.groupCount = aDeployment.groupCount;
    vm->selector = std::make_unique<proxy::ServerSelector>(vm->view, options);
    this->vms.push_back(std::move(vm));
  }
  for (std::size_t index = 0; index < aDeployment.groupCount * kServersPerGroup; ++index) {
    Server server;
    server.group = index / kServersPerGroup;
    server.domain = index % kServersPerGroup;
    server.gateway = std::make_unique<proxy::SimulatedServer>(this->scheduler, aDeployment.slots);
    server.plain = std::make_unique<FifoServer>(this->scheduler, aDeployment.slots);
    server.detector = std::make_unique<proxy::OutlierDetector>(proxy::OutlierOptions{});
    std::vector<ServerId> replicas;
    for (std::size_t place = 0; place < kServersPerGroup; ++place) {
      const std::size_t other = server.group * kServersPerGroup + place;
      if (other != PrimaryOf(server.group)) {
        replicas.push_back(ServerName(other));
      }
    }
    server.detector->SetServers(replicas, ServerName(PrimaryOf(server.group)));
    this->servers.push_back(std::move(server));
  }
}

LoadResult LoadEmulation::Run()
{
  const auto length = static_cast<std::size_t>(this->scenario.length / seconds(1));
  for (unsigned priority = 0; priority < kLoadPriorities; ++priority) {
    this->result.priorities[priority].sentBySecond.assign(length + 1, 0);
    this->result.priorities[priority].servedBySecond.assign(length + 1, 0);
    this->ScheduleOperation(kBegin, priority);
  }
  for (unsigned count = 0; count < this->scenario.idleTransactions; ++count) {
    this->BeginIdleTransaction(kBegin + this->scenario.faultsFrom);
  }
  this->PublishLoads(kBegin);
  while (const auto due = this->scheduler.NextDue()) {
    if (*due > kBegin + this->scenario.length + seconds(3)) {
      break;
    }
    this->scheduler.RunDue(*due);
  }
  for (std::size_t group = 0; group < this->deployment.groupCount; ++group) {
    double sum = 0;
    double busiest = 0;
    for (std::size_t place = 0; place < kServersPerGroup; ++place) {
      const Server& server = this->servers[group * kServersPerGroup + place];
      sum += server.arrivals;
      busiest = std::max(busiest, server.arrivals);
      this->result.arrivals += server.arrivals;
      this->result.rejected += static_cast<double>(server.plain->rejectedCount);
    }
    this->result.busiestToMean +=
      busiest * kServersPerGroup / sum / static_cast<double>(this->deployment.groupCount);
  }
  return std::move(this->result);
}

bool LoadEmulation::HasFaults(Instant aNow) const
{
  return aNow >= kBegin + this->scenario.faultsFrom &&
         aNow < kBegin + this->scenario.length - seconds(10);
}

void LoadEmulation::ScheduleOperation(Instant aNow, unsigned aPriority)
{
  const bool isBurst = aPriority + 1 == kLoadPriorities && this->HasFaults(aNow);
  // The hot organisation's demand comes on top of that of the others.
  const double hot = this->HasFaults(aNow) ? 1 + this->organisationWeights[kHotOrganisation] *
                                                   (this->scenario.hotOrganisation - 1)
                                           : 1;
  const double rate = this->deployment.operationsPerSecond * kPriorities[aPriority].part * hot *
                      (isBurst ? this->scenario.burst : 1);
  const double gap = std::exponential_distribution<double>(rate)(this->random);
  const Instant next = aNow + Duration(static_cast<Duration::rep>(gap * 1e6));
  if (next >= kBegin + this->scenario.length) {
    return;
  }
  this->scheduler.Schedule(next, [this, aPriority](Instant aThen) {
    this->BeginOperation(aThen, aPriority);
    this->ScheduleOperation(aThen, aPriority);
  });
}

void LoadEmulation::BeginOperation(Instant aNow, unsigned aPriority)
{
  auto statement = std::make_shared<Statement>();
  statement->vm = this->random() % this->vms.size();
  statement->group = this->groups(this->random);
  statement->organisation = this->HasFaults(aNow) ? this->hotOrganisations(this->random)
                                                  : this->usualOrganisations(this->random);
  statement->priority = aPriority;
  // 70 % are reads, 15 % writes, 15 % transactions.
  const double draw = this->RandomPart();
  statement->kind = draw < 0.7 ? WorkKind::Read : WorkKind::Write;
  statement->left = draw < 0.85 ? 0 : kTransactionStatements;
  statement->pause = milliseconds(5);
  this->Prepare(aNow, *statement);
  this->Send(aNow, statement);
}

/** A transaction of the highest priority that waits two seconds before each further statement. */
void LoadEmulation::BeginIdleTransaction(Instant aNow)
{
  auto statement = std::make_shared<Statement>();
  statement->vm = this->random() % this->vms.size();
  statement->group = this->groups(this->random);
  statement->organisation = this->usualOrganisations(this->random);
  statement->kind = WorkKind::Write;
  statement->left = kTransactionStatements;
  statement->pause = seconds(2);
  this->scheduler.Schedule(aNow, [this, statement](Instant aThen) {
    this->Prepare(aThen, *statement);
    this->Send(aThen, statement);
  });
}

void LoadEmulation::Prepare(Instant aNow, Statement& aStatement)
{
  const PriorityProfile& profile = kPriorities[aStatement.priority];
  aStatement.sentAt = aNow;
  aStatement.deadline = aNow + profile.timeLimit;
  aStatement.time = this->RandomTime(aStatement.priority, aStatement.kind);
  const bool opens =
    !aStatement.continuesTransaction && this->RandomPart() < this->scenario.openedPart;
  aStatement.openTime = opens ? kOpenTime : Duration::zero();
  aStatement.attempts = 0;
  aStatement.triedServers.clear();
  PriorityResult& counts = this->result.priorities[aStatement.priority];
  counts.sent += 1;
  counts.sentBySecond[static_cast<std::size_t>((aNow - kBegin) / seconds(1))] += 1;
}

void LoadEmulation::Send(Instant aNow, const StatementPtr& aStatement)
{
  ++aStatement->attempts;
  if (this->scenario.mode == LoadMode::Fifo) {
    this->SendToPlainServer(aNow, aStatement);
  } else {
    this->SendToGateway(aNow, aStatement);
  }
}

void LoadEmulation::SendToPlainServer(Instant aNow, const StatementPtr& aStatement)
{
  const std::size_t index = this->PreferredServer(*aStatement);
  Server& server = this->servers[index];
  server.arrivals += 1;
  this->result.crossed += server.domain != this->vms[aStatement->vm]->domain ? 1 : 0;
  const bool fails = server.gateway->fails();
  server.plain->Submit(aNow,
                       fails ? milliseconds(1) : aStatement->time + aStatement->openTime,
                       [this, aStatement, index, fails](Instant aThen, bool aHasRun) {
                         if (aHasRun && !fails) {
                           this->OnServed(aThen, aStatement);
                         } else if (aStatement->attempts < kFifoAttempts &&
                                    aThen < aStatement->deadline) {
                           aStatement->triedServers.insert(index);
                           this->Send(aThen, aStatement);
                         }
                       });
}

void LoadEmulation::SendToGateway(Instant aNow, const StatementPtr& aStatement)
{
  const std::size_t index = this->SelectServer(aNow, *aStatement);
  Server& server = this->servers[index];
  server.arrivals += 1;
  this->result.crossed += server.domain != this->vms[aStatement->vm]->domain ? 1 : 0;
  proxy::AdmissionRequest request;
  request.organisation = OrganisationName(std::to_string(aStatement->organisation));
  request.priority = aStatement->priority;
  request.continuesTransaction = aStatement->continuesTransaction;
  request.kind = aStatement->kind;
  request.opensConnection = aStatement->openTime > Duration::zero();
  request.startBy =
    aStatement->deadline - server.gateway->admission.ExpectedTime(request.kind) - milliseconds(2);
  request.targetLatencyLeft = aStatement->sentAt + kPriorities[aStatement->priority].target - aNow;
  server.gateway->Submit(
    aNow,
    request,
    aStatement->time,
    [this, aStatement, index](Instant aThen, const proxy::SimulatedEnd& aEnd) {
      this->OnEnd(aThen, aStatement, index, aEnd);
    },
    aStatement->openTime);
}

void LoadEmulation::OnEnd(Instant aNow,
                          const StatementPtr& aStatement,
                          std::size_t aServer,
                          const proxy::SimulatedEnd& aEnd)
{
  Server& server = this->servers[aServer];
  Vm& vm = *this->vms[aStatement->vm];
  if (aEnd.startedAt) {
    const bool hasSucceeded = aEnd.end == AdmissionEnd::Done;
    const bool isRead = aStatement->kind == WorkKind::Read;
    server.detector->Record(
      aNow, ServerName(aServer), { hasSucceeded, aNow - *aEnd.startedAt, isRead });
  }
  vm.view.Update(ServerName(aServer), server.gateway->admission.Load(aNow), aNow);
  if (aEnd.refusal || aEnd.end != AdmissionEnd::Done) {
    this->result.refused += aEnd.refusal ? 1 : 0;
    this->Retry(aNow, aStatement, aServer, aEnd.refusal.has_value());
    return;
  }
  vm.retries.RecordSuccess(aNow);
  this->OnServed(aNow, aStatement);
}

void LoadEmulation::Retry(Instant aNow,
                          const StatementPtr& aStatement,
                          std::size_t aServer,
                          bool aWasBusy)
{
  aStatement->triedServers.insert(aServer);
  Vm& vm = *this->vms[aStatement->vm];
  const std::size_t next = this->SelectServer(aNow, *aStatement);
  proxy::RetryRequest request;
  request.attempts = aStatement->attempts;
  request.startBy = aStatement->deadline - kPriorities[aStatement->priority].time;
  request.wasRejectedAsBusy = aWasBusy;
  request.isSameServer = aStatement->triedServers.contains(next);
  request.expectedWait = vm.view.LoadOf(aNow, ServerName(next)).ExpectedWait(aStatement->priority);
  request.draw = this->RandomPart();
  if (const auto at = vm.retries.Plan(aNow, request)) {
    this->scheduler.Schedule(*at,
                             [this, aStatement](Instant aThen) { this->Send(aThen, aStatement); });
  }
}

void LoadEmulation::OnServed(Instant aNow, const StatementPtr& aStatement)
{
  PriorityResult& counts = this->result.priorities[aStatement->priority];
  if (aNow <= aStatement->deadline) {
    counts.served += 1;
    counts.servedBySecond[static_cast<std::size_t>((aStatement->sentAt - kBegin) / seconds(1))] +=
      1;
    counts.latency.Add(aNow - aStatement->sentAt);
    counts.withinTarget +=
      aNow - aStatement->sentAt <= kPriorities[aStatement->priority].target ? 1 : 0;
  }
  const Instant next = aNow + aStatement->pause;
  if (aStatement->left == 0 || next >= kBegin + this->scenario.length) {
    return;
  }
  this->scheduler.Schedule(next, [this, aStatement](Instant aThen) {
    --aStatement->left;
    aStatement->continuesTransaction = true;
    aStatement->kind = aStatement->left == 0 ? WorkKind::Commit : WorkKind::Write;
    this->Prepare(aThen, *aStatement);
    this->Send(aThen, aStatement);
  });
}

/** The servers that may run a statement; those that were tried already only if there is no
    other. */
std::vector<std::size_t> LoadEmulation::CandidatesOf(const Statement& aStatement) const
{
  if (aStatement.kind != WorkKind::Read) {
    return { PrimaryOf(aStatement.group) };
  }
  std::vector<std::size_t> candidates;
  for (std::size_t place = 0; place < kServersPerGroup; ++place) {
    const std::size_t server = aStatement.group * kServersPerGroup + place;
    if (!aStatement.triedServers.contains(server)) {
      candidates.push_back(server);
    }
  }
  if (candidates.empty()) {
    candidates.push_back(PrimaryOf(aStatement.group));
  }
  return candidates;
}

/** The choice of ServerChooser and ServerPool while a VM has no work of its own at any server:
    a replica that the hash prefers, the other one, the primary. */
std::size_t LoadEmulation::PreferredServer(const Statement& aStatement) const
{
  const std::vector<std::size_t> candidates = this->CandidatesOf(aStatement);
  const auto penalty = [&](std::size_t aServer) {
    const std::string key = std::to_string(aStatement.organisation) + "/" + std::to_string(aServer);
    return aServer == PrimaryOf(aStatement.group) ? 2 : proxy::StableHash(key) % 2;
  };
  return *std::min_element(
    candidates.begin(), candidates.end(), [&](std::size_t aOne, std::size_t aOther) {
      return penalty(aOne) < penalty(aOther);
    });
}

std::size_t LoadEmulation::SelectServer(Instant aNow, const Statement& aStatement)
{
  const std::vector<std::size_t> servers = this->CandidatesOf(aStatement);
  if (servers.size() == 1) {
    return servers.front();
  }
  Vm& vm = *this->vms[aStatement.vm];
  proxy::SelectionRequest request;
  request.group = DatabaseName(std::to_string(aStatement.group));
  request.organisation = OrganisationName(std::to_string(aStatement.organisation));
  request.organisationRate =
    1.5 * this->organisationWeights[aStatement.organisation] * this->deployment.operationsPerSecond;
  request.priority = aStatement.priority;
  request.timeLeft = aStatement.deadline - aNow;
  request.draw = this->RandomPart();
  for (const std::size_t server : servers) {
    const std::size_t domain = this->servers[server].domain;
    request.candidates.push_back({ ServerName(server),
                                   DomainName(domain),
                                   this->deployment.slots,
                                   server == PrimaryOf(aStatement.group),
                                   std::chrono::microseconds(domain == vm.domain ? 200 : 1400) });
  }
  return std::stoul(vm.selector->Rank(aNow, request).servers.front().Text());
}

void LoadEmulation::ApplyFaults(Instant aNow)
{
  const std::size_t slow = (PrimaryOf(0) + 1) % kServersPerGroup;
  const std::size_t failing =
    kServersPerGroup + (PrimaryOf(1) + 1 - kServersPerGroup) % kServersPerGroup;
  const double slowness = this->HasFaults(aNow) ? this->scenario.slowServer : 1;
  this->servers[slow].gateway->slowness = slowness;
  this->servers[slow].plain->slowness = slowness;
  const double failures = this->HasFaults(aNow) ? this->scenario.failingServer : 0;
  this->servers[failing].gateway->fails = [this, failures] {
    return this->RandomPart() < failures;
  };
}

/** Sends the loads of all servers to all VMs; each one learns of them after its report age. */
void LoadEmulation::PublishLoads(Instant aNow)
{
  this->ApplyFaults(aNow);
  for (std::size_t index = 0; index < this->servers.size(); ++index) {
    Server& server = this->servers[index];
    proxy::ServerLoad load = server.gateway->admission.Load(aNow);
    load.ejectedFor = server.detector->EjectedFor(aNow, ServerName(index));
    load.isProbed = server.detector->UseOf(aNow, ServerName(index)) == proxy::ServerUse::Probed;
    for (std::size_t place = 0; place < kServersPerGroup; ++place) {
      const std::size_t other = server.group * kServersPerGroup + place;
      if (other != index) {
        this->servers[other].detector->RecordReported(ServerName(index), load.readTime);
      }
    }
    for (const auto& vm : this->vms) {
      this->scheduler.Schedule(aNow + vm->reportAge, [&vm = *vm, index, load, aNow](Instant) {
        vm.view.Update(ServerName(index), load, aNow);
      });
    }
  }
  this->scheduler.Schedule(aNow + milliseconds(200),
                           [this](Instant aThen) { this->PublishLoads(aThen); });
}

Duration LoadEmulation::RandomTime(unsigned aPriority, WorkKind aKind)
{
  const double part = 1.0 / 3 + 4.0 / 3 * this->RandomPart();
  return Scale(kPriorities[aPriority].time, aKind == WorkKind::Commit ? part / 2 : part);
}

double LoadEmulation::RandomPart()
{
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

} // namespace mustardshift::bench
