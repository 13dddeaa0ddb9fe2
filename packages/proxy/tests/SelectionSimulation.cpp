#include "SelectionSimulation.h"

#include <algorithm>
#include <utility>

namespace mustardshift::proxy {

namespace {

const DatabaseName kGroup("group");

FailureDomainName DomainName(std::size_t aIndex)
{
  return FailureDomainName(std::string(1, static_cast<char>('a' + aIndex)));
}

ServerId ServerName(std::size_t aIndex)
{
  return ServerId("server-" + DomainName(aIndex).Text());
}

std::size_t ServerIndex(const ServerId& aServer)
{
  return static_cast<std::size_t>(aServer.Text().back() - 'a');
}

Duration FromSeconds(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

} // namespace

double SelectionSimulation::Second::BusiestToMean() const
{
  double sum = 0;
  for (const double one : this->sent) {
    sum += one;
  }
  const double busiest = *std::max_element(this->sent.begin(), this->sent.end());
  return sum == 0 ? 1 : busiest * static_cast<double>(this->sent.size()) / sum;
}

SelectionSimulation::SelectionSimulation(Settings aSettings)
  : settings(std::move(aSettings))
  , random(this->settings.seed)
{
  for (std::size_t index = 0; index < 3; ++index) {
    this->servers.push_back(std::make_unique<SimulatedServer>(this->scheduler, kSlots));
  }
  for (std::size_t index = 0; index < this->settings.vmCount; ++index) {
    auto vm = std::make_unique<Vm>();
    vm->domainIndex = index % this->settings.domainCount;
    vm->domain = DomainName(vm->domainIndex);
    vm->reportAge = std::chrono::milliseconds(50 + this->random() % 750);
    ServerSelectorOptions options;
    options.ownDomain = vm->domain;
    options.domainCount = this->settings.domainCount;
    options.groupCount = 8;
    vm->selector = std::make_unique<ServerSelector>(vm->view, options);
    this->vms.push_back(std::move(vm));
  }
  if (!this->settings.policy) {
    this->settings.policy = [](Instant aNow, Vm& aVm, const SelectionRequest& aRequest) {
      return ServerIndex(aVm.selector->Rank(aNow, aRequest).servers.front());
    };
  }
}

void SelectionSimulation::Run()
{
  const auto count = static_cast<std::size_t>(this->settings.length / std::chrono::seconds(1));
  this->seconds.assign(count + 1, {});
  for (std::size_t domain = 0; domain < this->settings.domainCount; ++domain) {
    this->ScheduleArrival(kBegin, domain);
  }
  this->PublishLoads(kBegin);
  const Instant end = kBegin + this->settings.length;
  while (const auto due = this->scheduler.NextDue()) {
    if (*due > end) {
      break;
    }
    this->scheduler.RunDue(*due);
  }
  for (const auto& server : this->servers) {
    this->violations.insert(
      this->violations.end(), server->violations.begin(), server->violations.end());
  }
}

void SelectionSimulation::ScheduleArrival(Instant aNow, std::size_t aDomain)
{
  const double rate = this->settings.demand[aDomain] * kCapacity;
  if (rate <= 0) {
    return;
  }
  const Instant next =
    aNow + FromSeconds(std::exponential_distribution<double>(rate)(this->random));
  this->scheduler.Schedule(next, [this, aDomain](Instant aThen) {
    const std::size_t perDomain = this->settings.vmCount / this->settings.domainCount;
    const std::size_t vm = this->random() % perDomain * this->settings.domainCount + aDomain;
    this->Arrive(aThen, *this->vms[vm]);
    this->ScheduleArrival(aThen, aDomain);
  });
}

bool SelectionSimulation::Reaches(const Vm& aVm, std::size_t aServer) const
{
  const bool isLinkCut = this->isCutOff[aServer] || this->isCutOff[aVm.domainIndex];
  return !this->isOut[aServer] && (!isLinkCut || aVm.domainIndex == aServer);
}

SelectionRequest SelectionSimulation::MakeRequest(const Vm& aVm)
{
  std::uniform_real_distribution<double> part(0, 1);
  SelectionRequest request;
  request.group = kGroup;
  const bool hasLittleDemand = part(this->random) < this->settings.littleDemandPart;
  request.organisation =
    OrganisationName(hasLittleDemand ? "small-" + std::to_string(this->random() % 60) : "large");
  request.organisationRate = hasLittleDemand ? 10 : 400;
  request.priority = 1;
  request.timeLeft = std::chrono::milliseconds(400);
  request.draw = part(this->random);
  for (std::size_t index = 0; index < this->servers.size(); ++index) {
    if (this->Reaches(aVm, index)) {
      const Duration roundTrip = std::chrono::microseconds(aVm.domainIndex == index ? 200 : 1400);
      request.candidates.push_back(
        { ServerName(index), DomainName(index), kSlots, index == 0, roundTrip });
    }
  }
  return request;
}

void SelectionSimulation::Arrive(Instant aNow, Vm& aVm)
{
  std::uniform_real_distribution<double> part(0, 1);
  SelectionRequest request = this->MakeRequest(aVm);
  const auto second = static_cast<std::size_t>((aNow - kBegin) / std::chrono::seconds(1));
  Second& counts = this->seconds[second];
  counts.count += 1;
  const bool isWrite = part(this->random) < this->settings.writePart;
  if (request.candidates.empty() || (isWrite && !this->Reaches(aVm, 0))) {
    counts.refused += 1;
    return;
  }
  const std::size_t server = isWrite ? 0 : this->settings.policy(aNow, aVm, request);
  counts.sent[server] += 1;
  counts.crossed += !isWrite && server != aVm.domainIndex ? 1 : 0;
  AdmissionRequest work;
  work.organisation = request.organisation;
  work.priority = request.priority;
  work.kind = isWrite ? WorkKind::Write : WorkKind::Read;
  work.startBy = aNow + request.timeLeft;
  work.targetLatencyLeft = std::chrono::milliseconds(50);
  const double seconds = std::chrono::duration<double>(kTime).count();
  const Duration serverTime = FromSeconds(seconds * (1 + 4 * part(this->random)) / 3);
  this->servers[server]->Submit(
    aNow, work, serverTime, [this, second, aNow](Instant, const SimulatedEnd& aEnd) {
      if (!aEnd.startedAt) {
        this->seconds[second].refused += 1;
        return;
      }
      const std::chrono::duration<double, std::milli> wait = *aEnd.startedAt - aNow;
      this->starts.push_back({ second, wait.count() });
    });
}

/** Sends the loads to all VMs; each one learns of them after its report age. */
void SelectionSimulation::PublishLoads(Instant aNow)
{
  for (std::size_t index = 0; index < this->servers.size(); ++index) {
    ServerLoad load = this->servers[index]->admission.Load(aNow);
    load.ejectedFor = std::chrono::seconds(this->isEjected[index] ? 1 : 0);
    for (const auto& vm : this->vms) {
      if (this->Reaches(*vm, index)) {
        this->scheduler.Schedule(aNow + vm->reportAge, [&vm = *vm, index, load, aNow](Instant) {
          vm.view.Update(ServerName(index), load, aNow);
        });
      }
    }
  }
  this->settings.onTick(aNow, *this);
  this->scheduler.Schedule(aNow + std::chrono::milliseconds(100),
                           [this](Instant aThen) { this->PublishLoads(aThen); });
}

SelectionSimulation::Second SelectionSimulation::Sum(std::size_t aFrom, std::size_t aTo) const
{
  Second sum;
  for (std::size_t index = aFrom; index < aTo; ++index) {
    const Second& second = this->seconds[index];
    for (std::size_t server = 0; server < sum.sent.size(); ++server) {
      sum.sent[server] += second.sent[server];
    }
    sum.crossed += second.crossed;
    sum.refused += second.refused;
    sum.count += second.count;
  }
  return sum;
}

double SelectionSimulation::LargestSwing(std::size_t aFrom, std::size_t aTo) const
{
  double largest = 0;
  for (std::size_t index = aFrom + 1; index < aTo; ++index) {
    const Second& second = this->seconds[index];
    const Second& previous = this->seconds[index - 1];
    for (std::size_t server = 0; server < second.sent.size(); ++server) {
      largest = std::max(
        largest, second.sent[server] / second.count - previous.sent[server] / previous.count);
    }
  }
  return largest;
}

double SelectionSimulation::StartPercentile(double aPart, std::size_t aFrom, std::size_t aTo) const
{
  std::vector<double> waits;
  for (const Start& start : this->starts) {
    if (start.second >= aFrom && start.second < aTo) {
      waits.push_back(start.waitMs);
    }
  }
  if (waits.empty()) {
    return 0;
  }
  std::sort(waits.begin(), waits.end());
  return waits[std::min(waits.size() - 1,
                        static_cast<std::size_t>(aPart * static_cast<double>(waits.size())))];
}

SelectionSimulation::Policy HomeWithThreshold()
{
  return [](Instant aNow, SelectionSimulation::Vm& aVm, const SelectionRequest& aRequest) {
    constexpr Duration kThreshold = std::chrono::milliseconds(15);
    const auto waitAt = [&](const SelectionCandidate& aCandidate) {
      const Duration wait =
        aVm.view.LoadOf(aNow, aCandidate.server).ExpectedWait(aRequest.priority);
      return aCandidate.domain == aVm.domain ? wait : wait + kThreshold;
    };
    const auto best = std::min_element(
      aRequest.candidates.begin(),
      aRequest.candidates.end(),
      [&](const auto& aOne, const auto& aOther) { return waitAt(aOne) < waitAt(aOther); });
    return ServerIndex(best->server);
  };
}

SelectionSimulation::Policy SharesByLoad()
{
  return [](Instant aNow, SelectionSimulation::Vm& aVm, const SelectionRequest& aRequest) {
    std::vector<double> weights;
    for (const SelectionCandidate& candidate : aRequest.candidates) {
      const double utilisation = aVm.view.LoadOf(aNow, candidate.server).utilisation;
      weights.push_back(std::max(0.05, 1 - utilisation));
    }
    double sum = 0;
    for (const double weight : weights) {
      sum += weight;
    }
    double rest = aRequest.draw * sum;
    std::size_t index = 0;
    while (index + 1 < weights.size() && rest >= weights[index]) {
      rest -= weights[index++];
    }
    return ServerIndex(aRequest.candidates[index].server);
  };
}

} // namespace mustardshift::proxy
