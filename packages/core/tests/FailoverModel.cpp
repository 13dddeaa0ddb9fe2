#include "FailoverModel.h"

#include <algorithm>
#include <utility>

namespace mustardshift::test {

namespace {

constexpr Duration kTickInterval{ 50'000 };
constexpr std::uint64_t kTicksPerProbe = 4;
const DatabaseName kDatabase("orders");

} // namespace

FailoverModel::FailoverModel(const FailoverModelOptions& aOptions)
  : options(aOptions)
  , random(aOptions.seed)
  , nodes(aOptions.vms + kServers + 1)
  , partitioned(this->nodes.size(), std::vector<bool>(this->nodes.size(), false))
  , vms(aOptions.vms)
{
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    this->StartVm(vm);
  }
  for (std::size_t server = 0; server < kServers; ++server) {
    this->PullLog(server);
  }
}

void FailoverModel::RunUntil(Duration aTime)
{
  while (!this->events.empty() && this->events.top().at <= aTime) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    Node& node = this->nodes[event.node];
    if (!node.alive || node.incarnation != event.incarnation) {
      continue;
    }
    if (node.paused) {
      node.deferred.push_back(event.run);
      continue;
    }
    event.run();
  }
  this->now = aTime;
}

std::size_t FailoverModel::DomainOf(std::size_t aNode) const
{
  return (aNode < this->options.vms ? aNode : aNode - this->options.vms) % kDomains;
}

std::size_t FailoverModel::PrimaryServer() const
{
  return this->row.primary.IsEmpty() ? 0 : this->ServerOf(this->row.primary);
}

void FailoverModel::Kill(std::size_t aNode)
{
  this->nodes[aNode].alive = false;
  this->nodes[aNode].paused = false;
  this->nodes[aNode].deferred.clear();
}

void FailoverModel::Restart(std::size_t aNode)
{
  Node& node = this->nodes[aNode];
  if (node.alive) {
    return;
  }
  node.alive = true;
  ++node.incarnation;
  if (aNode < this->options.vms) {
    this->StartVm(aNode);
  } else if (aNode < this->PlatformNode()) {
    // The accepted term and the log survive a restart; the roles don't.
    Server& server = this->servers[aNode - this->options.vms];
    server.leads = false;
    server.followedServer = kServers;
    server.followedTerm = 0;
    this->PullLog(aNode - this->options.vms);
  }
}

void FailoverModel::Pause(std::size_t aNode)
{
  this->nodes[aNode].paused = this->nodes[aNode].alive;
}

void FailoverModel::Resume(std::size_t aNode)
{
  Node& node = this->nodes[aNode];
  node.paused = false;
  for (auto& run : std::exchange(node.deferred, {})) {
    this->Schedule(Duration{ 0 }, aNode, std::move(run));
  }
}

void FailoverModel::SetPartitioned(std::size_t aLeft, std::size_t aRight, bool aPartitioned)
{
  if (aLeft != aRight) {
    this->partitioned[aLeft][aRight] = aPartitioned;
    this->partitioned[aRight][aLeft] = aPartitioned;
  }
}

void FailoverModel::SetIsolated(std::size_t aNode, bool aIsolated)
{
  for (std::size_t other = 0; other < this->nodes.size(); ++other) {
    this->SetPartitioned(aNode, other, aIsolated);
  }
}

void FailoverModel::SetDomainPartitioned(std::size_t aDomain, bool aWithPlatform, bool aPartitioned)
{
  for (std::size_t left = 0; left < this->PlatformNode(); ++left) {
    if (this->DomainOf(left) != aDomain) {
      continue;
    }
    for (std::size_t right = 0; right < this->nodes.size(); ++right) {
      const bool isPlatform = right == this->PlatformNode();
      if (isPlatform ? aWithPlatform : this->DomainOf(right) != aDomain) {
        this->SetPartitioned(left, right, aPartitioned);
      }
    }
  }
}

void FailoverModel::InjectRandomFault()
{
  const std::size_t vm = this->random() % this->options.vms;
  const std::size_t server = this->ServerNode(this->random() % kServers);
  const std::size_t primary = this->ServerNode(this->PrimaryServer());
  const std::size_t domain = this->random() % kDomains;
  const bool withPlatform = this->Chance(0.5);
  std::function<void()> repair;
  switch (this->random() % 9) {
    case 0:
      this->Kill(primary);
      repair = [this, primary] { this->Restart(primary); };
      break;
    case 1:
      this->Pause(primary);
      repair = [this, primary] { this->Resume(primary); };
      break;
    case 2:
      this->SetIsolated(primary, true);
      repair = [this, primary] { this->SetIsolated(primary, false); };
      break;
    case 3:
      this->Kill(server);
      repair = [this, server] { this->Restart(server); };
      break;
    case 4:
      this->Kill(vm);
      repair = [this, vm] { this->Restart(vm); };
      break;
    case 5:
      this->Pause(vm);
      repair = [this, vm] { this->Resume(vm); };
      break;
    case 6:
      this->SetDomainPartitioned(domain, withPlatform, true);
      repair = [this, domain] { this->SetDomainPartitioned(domain, true, false); };
      break;
    case 7:
      this->SetIsolated(this->PlatformNode(), true);
      repair = [this] { this->SetIsolated(this->PlatformNode(), false); };
      break;
    default:
      // The primary loses its replicas but not the VMs, so it continues to act as primary.
      for (std::size_t other = this->ServerNode(0); other < this->PlatformNode(); ++other) {
        this->SetPartitioned(primary, other, true);
      }
      repair = [this, primary] { this->SetIsolated(primary, false); };
      break;
  }
  this->events.push({ this->now + this->RandomDuration(100'000, 6'000'000),
                      ++this->order,
                      this->PlatformNode(),
                      1,
                      repair });
}

void FailoverModel::RepairAllFaults(bool aLeaveOneServerDown)
{
  for (std::size_t node = 0; node < this->nodes.size(); ++node) {
    this->SetIsolated(node, false);
    if (this->nodes[node].paused) {
      this->Resume(node);
    }
    this->Restart(node);
  }
  if (aLeaveOneServerDown) {
    this->Kill(this->ServerNode(this->random() % kServers));
  }
  this->options.actionFaultProbability = 0;
}

void FailoverModel::MarkFaultTime()
{
  this->faultAt = this->now;
}

std::optional<PromotionTimes> FailoverModel::PromotionTimesSinceFault() const
{
  const auto promoted = this->promotedAt.find(this->row.term);
  if (this->rowWrittenAt < this->faultAt || promoted == this->promotedAt.end()) {
    return std::nullopt;
  }
  Duration learned{ 0 };
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    const auto adopted = this->vms[vm].adoptedAt.find(this->row.term);
    if (adopted == this->vms[vm].adoptedAt.end()) {
      return std::nullopt;
    }
    learned = std::max(learned, adopted->second);
  }
  const Vm& writer = this->vms[this->rowWriter];
  const Duration end = std::max(learned, promoted->second);
  return PromotionTimes{ writer.queriedAt - this->faultAt,
                         writer.fencingAt - writer.queriedAt,
                         writer.recordingAt - writer.fencingAt,
                         this->rowWrittenAt - writer.recordingAt,
                         promoted->second - this->rowWrittenAt,
                         end - promoted->second,
                         end - this->faultAt };
}

std::optional<Duration> FailoverModel::AcknowledgedAfter(Duration aTime) const
{
  for (const Acknowledged& write : this->acknowledged) {
    if (write.at >= aTime && write.position.term == this->row.term) {
      return write.at;
    }
  }
  return std::nullopt;
}

std::optional<Duration> FailoverModel::AcknowledgementGap() const
{
  std::optional<Duration> last;
  std::optional<Duration> first;
  for (const Acknowledged& write : this->acknowledged) {
    if (write.position.term < this->row.term) {
      last = std::max(last.value_or(write.at), write.at);
    } else {
      first = std::min(first.value_or(write.at), write.at);
    }
  }
  if (!last || !first) {
    return std::nullopt;
  }
  return *first - *last;
}

std::size_t FailoverModel::LostOrDuplicatedCount() const
{
  std::map<std::uint64_t, std::size_t> counts;
  for (const Entry& entry : this->servers[this->PrimaryServer()].log) {
    ++counts[entry.id];
  }
  return static_cast<std::size_t>(std::count_if(
    this->acknowledged.begin(), this->acknowledged.end(), [&](const Acknowledged& aWrite) {
      const auto count = counts.find(aWrite.id);
      return count == counts.end() || count->second != 1;
    }));
}

bool FailoverModel::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(this->random) < aProbability;
}

Duration FailoverModel::RandomDuration(std::int64_t aLow, std::int64_t aHigh)
{
  return Duration{ std::uniform_int_distribution<std::int64_t>(aLow, aHigh)(this->random) };
}

void FailoverModel::Schedule(Duration aDelay, std::size_t aNode, std::function<void()> aRun)
{
  this->events.push(
    { this->now + aDelay, ++this->order, aNode, this->nodes[aNode].incarnation, std::move(aRun) });
}

void FailoverModel::Send(std::size_t aFrom, std::size_t aTo, std::function<void()> aRun)
{
  const bool isFaulty = this->Chance(this->options.messageFaultProbability);
  if (this->partitioned[aFrom][aTo] || !this->nodes[aTo].alive || (isFaulty && this->Chance(0.3))) {
    return;
  }
  Duration delay = isFaulty ? this->RandomDuration(20'000, 4'000'000)
                            : this->RandomDuration(this->options.shortestLatency.count(),
                                                   this->options.longestLatency.count());
  if (aFrom == this->PlatformNode()) {
    delay += this->platformDelay;
  }
  this->Schedule(delay, aTo, std::move(aRun));
}

void FailoverModel::ReportViolation(const std::string& aDescription)
{
  if (this->violation.empty()) {
    this->violation = aDescription + " at " + std::to_string(this->now.count()) + " us, seed " +
                      std::to_string(this->options.seed);
  }
}

void FailoverModel::StartVm(std::size_t aVm)
{
  FailoverOptions failover;
  failover.database = kDatabase;
  failover.self = this->VmIdOf(aVm);
  failover.failureDomain = FailureDomainName(std::to_string(this->DomainOf(aVm)));
  failover.incarnation = this->nodes[aVm].incarnation;
  for (std::size_t server = 0; server < kServers; ++server) {
    failover.servers.push_back(this->AddressOf(server));
  }
  this->vms[aVm] = Vm();
  this->vms[aVm].stateMachine.emplace(failover, std::mt19937_64(this->random()));
  this->Schedule(
    this->RandomDuration(0, kTickInterval.count()), aVm, [this, aVm] { this->TickVm(aVm); });
}

void FailoverModel::TickVm(std::size_t aVm)
{
  Vm& vm = this->vms[aVm];
  this->Schedule(kTickInterval, aVm, [this, aVm] { this->TickVm(aVm); });
  constexpr std::uint64_t kTicksPerMembership = 20;
  if (vm.ticks % kTicksPerMembership == 0) {
    failover_event::MembersChanged members;
    for (std::size_t other = 0; other < this->vms.size(); ++other) {
      if (this->nodes[other].alive && !this->nodes[other].paused &&
          !this->partitioned[aVm][other]) {
        members.members.push_back(this->VmIdOf(other));
      }
    }
    this->Deliver(aVm, members);
    this->PollPlatform(aVm);
  }
  if (vm.ticks++ % kTicksPerProbe == 0) {
    this->Probe(aVm);
    constexpr std::size_t kWriters = 4;
    if (aVm < kWriters) {
      this->Write(aVm);
    }
  }
  const std::uint64_t term = vm.stateMachine->KnownTerm();
  const bool suspected = vm.tracker.IsSuspected(kDatabase, term, Instant{ this->now });
  if (suspected) {
    this->suspectingDomains[term].insert(this->DomainOf(aVm));
  }
  if (suspected != vm.suspected) {
    vm.suspected = suspected;
    this->Deliver(aVm, failover_event::SuspicionChanged{ term, suspected });
  }
  this->Deliver(aVm, failover_event::Tick{});
}

void FailoverModel::PollPlatform(std::size_t aVm)
{
  constexpr Duration kReachableFor{ 2'500'000 };
  const Duration last = this->vms[aVm].platformAnswerAt;
  this->Deliver(
    aVm, failover_event::PlatformStateChanged{ this->now - last < kReachableFor, Instant{ last } });
  this->Send(aVm, this->PlatformNode(), [this, aVm] {
    this->Send(
      this->PlatformNode(), aVm, [this, aVm] { this->vms[aVm].platformAnswerAt = this->now; });
  });
}

void FailoverModel::Probe(std::size_t aVm)
{
  for (std::size_t server = 0; server < kServers; ++server) {
    if (!this->vms[aVm].probeAnswered[server]) {
      this->vms[aVm].tracker.RecordFailure(kDatabase, this->AddressOf(server));
    }
    this->vms[aVm].probeAnswered[server] = false;
    this->Send(aVm, this->ServerNode(server), [this, aVm, server] {
      const ServerReport report = this->ReportOf(server);
      this->Send(this->ServerNode(server), aVm, [this, aVm, server, report] {
        Vm& vm = this->vms[aVm];
        vm.probeAnswered[server] = true;
        if (report.leads) {
          vm.tracker.RecordResponse(
            kDatabase, report.acceptedTerm, this->AddressOf(server), Instant{ this->now });
        } else {
          vm.tracker.RecordFailure(kDatabase, this->AddressOf(server));
        }
        this->Deliver(aVm, failover_event::ServerReported{ this->AddressOf(server), report });
      });
    });
  }
}

void FailoverModel::Write(std::size_t aVm)
{
  const std::uint64_t term = this->vms[aVm].stateMachine->KnownTerm();
  if (term == 0) {
    return;
  }
  const std::size_t primary = this->ServerOf(this->vms[aVm].stateMachine->KnownPrimary());
  const std::uint64_t id = this->nextWrite++;
  this->Send(aVm, this->ServerNode(primary), [this, aVm, primary, term, id] {
    Server& server = this->servers[primary];
    const bool isRefused = this->options.serversRefuseOldTerms &&
                           (server.acceptedTerm != term || server.ledTerm != term);
    if (!server.leads || isRefused) {
      return;
    }
    server.log.push_back({ server.ledTerm, id });
    for (std::size_t other = 0; other < kServers; ++other) {
      if (other != primary) {
        this->Send(this->ServerNode(primary), this->ServerNode(other), [this, other] {
          this->PullLog(other);
        });
      }
    }
    const ServerReport report = this->ReportOf(primary);
    this->Send(this->ServerNode(primary), aVm, [this, aVm, primary, report, id] {
      auto rule = std::make_shared<AcknowledgementRule>(report.position, kServers);
      rule->Record(this->AddressOf(primary), report);
      constexpr unsigned kAttempts = 8;
      this->PollServers(aVm, rule, report.position, id, kAttempts);
    });
  });
}

void FailoverModel::PollServers(std::size_t aVm,
                                const std::shared_ptr<AcknowledgementRule>& aRule,
                                LogPosition aPosition,
                                std::uint64_t aId,
                                unsigned aAttempts)
{
  if (aRule->IsAcknowledged() || aAttempts == 0) {
    return;
  }
  for (std::size_t server = 0; server < kServers; ++server) {
    this->Send(aVm, this->ServerNode(server), [this, aVm, server, aRule, aPosition, aId] {
      ServerReport report = this->ReportOf(server);
      this->Send(this->ServerNode(server), aVm, [this, server, aRule, aPosition, aId, report] {
        ServerReport received = report;
        if (this->options.defect == Defect::AcknowledgeWithoutTerm) {
          received.acceptedTerm = aPosition.term;
          received.position.term = aPosition.term;
        }
        if (!aRule->IsAcknowledged() && aRule->Record(this->AddressOf(server), received)) {
          this->CheckAcknowledgement(aPosition, aId);
        }
      });
    });
  }
  this->Schedule(Duration{ 30'000 }, aVm, [this, aVm, aRule, aPosition, aId, aAttempts] {
    this->PollServers(aVm, aRule, aPosition, aId, aAttempts - 1);
  });
}

void FailoverModel::CheckAcknowledgement(LogPosition aPosition, std::uint64_t aId)
{
  const Acknowledged write{ aPosition, aId, this->now };
  const auto holders =
    std::count_if(this->servers.begin(), this->servers.end(), [&](const Server& aServer) {
      return Holds(aServer.log, write);
    });
  if (holders < 2) {
    this->ReportViolation("acknowledged without a majority");
  }
  for (const auto& [term, log] : this->logsAtPromotion) {
    if (term > aPosition.term && !Holds(log, write)) {
      this->ReportViolation("acknowledged although a later primary lacks the write");
    }
  }
  this->acknowledged.push_back(write);
}

void FailoverModel::Deliver(std::size_t aVm, FailoverEvent aEvent)
{
  if (this->options.defect == Defect::IgnorePositions) {
    if (auto* answer = std::get_if<failover_event::AcceptTermAnswered>(&aEvent)) {
      answer->report.position = LogPosition{};
    }
  }
  if (this->options.defect == Defect::TreatConflictAsSuccess) {
    if (const auto* conflict = std::get_if<failover_event::RowConflicted>(&aEvent)) {
      aEvent = failover_event::RowWritten{ conflict->operationId };
    }
  }
  if (this->options.defect == Defect::IgnoreFencedGroup) {
    const auto hide = [&](auto* aAnswer) {
      if (aAnswer != nullptr) {
        aAnswer->report.acceptedTerm =
          std::min(aAnswer->report.acceptedTerm, this->vms[aVm].stateMachine->KnownTerm());
      }
    };
    hide(std::get_if<failover_event::ServerReported>(&aEvent));
    hide(std::get_if<failover_event::PromoteAnswered>(&aEvent));
    hide(std::get_if<failover_event::FollowAnswered>(&aEvent));
  }
  for (const FailoverAction& action :
       this->vms[aVm].stateMachine->Handle(aEvent, Instant{ this->now })) {
    if (!this->Chance(this->options.actionFaultProbability)) {
      this->Execute(aVm, action);
      continue;
    }
    switch (this->random() % 4) {
      case 0:
        break;
      case 1:
        this->Schedule(this->RandomDuration(1'000, 8'000'000), aVm, [this, aVm, action] {
          this->Execute(aVm, action);
        });
        break;
      case 2: {
        this->Kill(aVm);
        this->events.push({ this->now + this->RandomDuration(100'000, 5'000'000),
                            ++this->order,
                            this->PlatformNode(),
                            1,
                            [this, aVm] { this->Restart(aVm); } });
        return;
      }
      default:
        // The VM is paused right before the action.
        this->Pause(aVm);
        this->Schedule(Duration{ 0 }, aVm, [this, aVm, action] { this->Execute(aVm, action); });
        this->events.push({ this->now + this->RandomDuration(100'000, 5'000'000),
                            ++this->order,
                            this->PlatformNode(),
                            1,
                            [this, aVm] { this->Resume(aVm); } });
        break;
    }
  }
}

void FailoverModel::Execute(std::size_t aVm, const FailoverAction& aAction)
{
  using namespace failover_action;
  Vm& vm = this->vms[aVm];
  if (const auto* query = std::get_if<QueryPeers>(&aAction)) {
    vm.queriedAt = this->now;
    const std::uint64_t term = query->term;
    for (std::size_t peer = 0; peer < this->vms.size(); ++peer) {
      const FailureDomainName domain(std::to_string(this->DomainOf(peer)));
      if (this->options.defect == Defect::SkipPeerAgreement) {
        this->Deliver(aVm, failover_event::PeerAnswered{ this->VmIdOf(peer), domain, term, true });
      } else if (peer != aVm) {
        this->Send(aVm, peer, [this, aVm, peer, domain, term] {
          const bool suspects = this->vms[peer].stateMachine->Suspects(term);
          this->Send(peer, aVm, [this, aVm, peer, domain, term, suspects] {
            this->Deliver(
              aVm, failover_event::PeerAnswered{ this->VmIdOf(peer), domain, term, suspects });
          });
        });
      }
    }
  } else if (const auto* read = std::get_if<ReadRow>(&aAction)) {
    this->Send(aVm, this->PlatformNode(), [this, aVm, request = read->request] {
      this->Send(this->PlatformNode(), aVm, [this, aVm, request, currentRow = this->row] {
        this->Deliver(aVm, failover_event::RowRead{ request, currentRow });
      });
    });
  } else if (const auto* write = std::get_if<CompareAndSetRow>(&aAction)) {
    vm.recordingAt = this->now;
    this->Send(aVm, this->PlatformNode(), [this, aVm, next = write->row] {
      ++this->rowAttempts;
      FailoverEvent answer = failover_event::RowWritten{ next.operationId };
      if (next.version != this->row.version) {
        answer = failover_event::RowConflicted{ next.operationId, this->row };
      } else {
        if (next.term <= this->row.term) {
          this->ReportViolation("the recorded term did not increase");
        }
        this->row = next;
        ++this->row.version;
        this->rowWrittenAt = this->now;
        this->rowWriter = aVm;
      }
      this->Send(this->PlatformNode(), aVm, [this, aVm, answer] { this->Deliver(aVm, answer); });
    });
  } else if (const auto* adopt = std::get_if<AdoptPrimary>(&aAction)) {
    vm.adoptedAt.try_emplace(adopt->term, this->now);
    vm.tracker.Monitor(kDatabase, adopt->term, adopt->primary, Instant{ this->now });
    vm.suspected = false;
  } else if (const auto* announce = std::get_if<Announce>(&aAction)) {
    for (std::size_t peer = 0; peer < this->vms.size(); ++peer) {
      this->Send(aVm, peer, [this, peer, announced = *announce] {
        this->Deliver(peer, failover_event::PrimaryLearned{ announced.term, announced.primary });
      });
    }
  } else {
    this->CommandServer(aVm, aAction);
  }
}

void FailoverModel::CommandServer(std::size_t aVm, const FailoverAction& aAction)
{
  using namespace failover_action;
  if (const auto* accept = std::get_if<AcceptTerm>(&aAction)) {
    const std::uint64_t knownTerm = this->vms[aVm].stateMachine->KnownTerm();
    const bool isFirst =
      std::all_of(this->servers.begin(), this->servers.end(), [&](const Server& aServer) {
        return aServer.acceptedTerm < accept->term;
      });
    const std::set<std::size_t>& domains = this->suspectingDomains[knownTerm];
    if (isFirst && knownTerm > 0 && domains.size() < 2) {
      this->ReportViolation("fenced without a suspicion in another failure domain");
    }
    if (accept->server == this->AddressOf(0)) {
      this->vms[aVm].fencingAt = this->now;
    }
  }
  if (const auto* accept = std::get_if<AcceptTerm>(&aAction)) {
    this->SendCommand(aVm, this->ServerOf(accept->server), [this, command = *accept] {
      const std::size_t server = this->ServerOf(command.server);
      const bool accepted = this->ExecuteAcceptTerm(server, command.term);
      return failover_event::AcceptTermAnswered{
        command.server, command.term, accepted, this->ReportOf(server)
      };
    });
  } else if (const auto* promote = std::get_if<Promote>(&aAction)) {
    this->SendCommand(aVm, this->ServerOf(promote->server), [this, command = *promote] {
      const std::size_t server = this->ServerOf(command.server);
      const bool accepted = this->ExecutePromote(server, command.term);
      return failover_event::PromoteAnswered{
        command.server, command.term, accepted, this->ReportOf(server)
      };
    });
  } else if (const auto* follow = std::get_if<Follow>(&aAction)) {
    this->SendCommand(aVm, this->ServerOf(follow->server), [this, command = *follow] {
      const std::size_t server = this->ServerOf(command.server);
      const bool accepted =
        this->ExecuteFollow(server, command.term, this->ServerOf(command.primary));
      return failover_event::FollowAnswered{
        command.server, command.term, accepted, this->ReportOf(server)
      };
    });
  }
}

void FailoverModel::SendCommand(std::size_t aVm,
                                std::size_t aServer,
                                std::function<FailoverEvent()> aRun)
{
  this->Send(aVm, this->ServerNode(aServer), [this, aVm, aServer, run = std::move(aRun)] {
    this->Send(
      this->ServerNode(aServer), aVm, [this, aVm, answer = run()] { this->Deliver(aVm, answer); });
  });
}

ServerReport FailoverModel::ReportOf(std::size_t aServer) const
{
  const Server& server = this->servers[aServer];
  const std::uint64_t term = server.log.empty() ? 0 : server.log.back().term;
  return { server.acceptedTerm, { term, server.log.size() }, server.leads };
}

ServerAddress FailoverModel::AddressOf(std::size_t aServer) const
{
  return ServerAddress("s" + std::to_string(aServer));
}

std::size_t FailoverModel::ServerOf(const ServerAddress& aAddress) const
{
  return static_cast<std::size_t>(aAddress.Text().back() - '0');
}

bool FailoverModel::ExecuteAcceptTerm(std::size_t aServer, std::uint64_t aTerm)
{
  Server& server = this->servers[aServer];
  if (aTerm < server.acceptedTerm) {
    return false;
  }
  if (aTerm > server.acceptedTerm && this->options.serversRefuseOldTerms) {
    server.leads = false;
    server.followedServer = kServers;
  }
  server.acceptedTerm = aTerm;
  return true;
}

bool FailoverModel::ExecutePromote(std::size_t aServer, std::uint64_t aTerm)
{
  Server& server = this->servers[aServer];
  if (aTerm < server.acceptedTerm) {
    return false;
  }
  server.acceptedTerm = aTerm;
  server.leads = true;
  server.ledTerm = aTerm;
  server.followedServer = kServers;
  const auto [primary, isNew] = this->primaryOfTerm.try_emplace(aTerm, aServer);
  if (primary->second != aServer) {
    this->ReportViolation("two primaries in one term");
  }
  if (isNew) {
    this->promotedAt[aTerm] = this->now;
    this->logsAtPromotion[aTerm] = server.log;
    for (const Acknowledged& write : this->acknowledged) {
      if (write.position.term < aTerm && !Holds(server.log, write)) {
        this->ReportViolation("a new primary lacks an acknowledged write");
      }
    }
  }
  return true;
}

bool FailoverModel::ExecuteFollow(std::size_t aServer, std::uint64_t aTerm, std::size_t aPrimary)
{
  Server& server = this->servers[aServer];
  if (aTerm < server.acceptedTerm || aPrimary == aServer ||
      (server.leads && server.ledTerm == aTerm)) {
    return false;
  }
  server.acceptedTerm = aTerm;
  server.leads = false;
  server.followedServer = aPrimary;
  server.followedTerm = aTerm;
  this->PullLog(aServer);
  return true;
}

void FailoverModel::PullLog(std::size_t aServer)
{
  const Server& replica = this->servers[aServer];
  const std::size_t primary = replica.followedServer;
  if (primary == kServers) {
    return;
  }
  const std::uint64_t term = replica.followedTerm;
  const std::size_t after = replica.log.size();
  const std::uint64_t afterTerm = replica.log.empty() ? 0 : replica.log.back().term;
  const auto from = this->ServerNode(aServer);
  this->Send(from, this->ServerNode(primary), [this, aServer, primary, term, after, afterTerm] {
    const Server& source = this->servers[primary];
    if (!source.leads || (this->options.serversRefuseOldTerms && source.ledTerm != term)) {
      return;
    }
    const auto termAt = [&](std::size_t aOffset) {
      return aOffset == 0 ? 0 : source.log[aOffset - 1].term;
    };
    std::size_t keep = after;
    std::vector<Entry> entries;
    if (after > source.log.size() || termAt(after) != afterTerm) {
      keep = std::min(after, source.log.size());
      while (keep > 0 && termAt(keep) > afterTerm) {
        --keep;
      }
      keep = std::min(keep, after - 1);
    } else {
      entries.assign(source.log.begin() + static_cast<std::ptrdiff_t>(after), source.log.end());
    }
    if (keep == after && entries.empty()) {
      return;
    }
    const auto to = this->ServerNode(aServer);
    this->Send(this->ServerNode(primary),
               to,
               [this, aServer, primary, term, after, afterTerm, keep, entries] {
                 Server& target = this->servers[aServer];
                 const std::uint64_t lastTerm = target.log.empty() ? 0 : target.log.back().term;
                 if (target.followedServer != primary || target.followedTerm != term ||
                     target.log.size() != after || lastTerm != afterTerm) {
                   return;
                 }
                 target.log.resize(keep);
                 target.log.insert(target.log.end(), entries.begin(), entries.end());
                 if (keep != after) {
                   this->PullLog(aServer);
                 }
               });
  });
}

bool FailoverModel::Holds(const std::vector<Entry>& aLog, const Acknowledged& aWrite)
{
  const std::uint64_t offset = aWrite.position.offset;
  return offset <= aLog.size() && aLog[offset - 1].id == aWrite.id;
}

} // namespace mustardshift::test
