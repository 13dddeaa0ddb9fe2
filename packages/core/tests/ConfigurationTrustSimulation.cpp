#include "ConfigurationTrustSimulation.h"

#include <algorithm>
#include <utility>

namespace mustardshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::int64_t kDriftPerMillion = 4500;

} // namespace

ConfigurationTrustSimulation::ConfigurationTrustSimulation(std::uint64_t aSeed,
                                                           unsigned aVmCount,
                                                           ConfigurationTrustFault aFault,
                                                           bool aInjectsRandomFaults)
  : random(aSeed)
  , fault(aFault)
  , injectsRandomFaults(aInjectsRandomFaults)
  , vms(aVmCount)
{
  this->acceptedAt.assign(2, this->now);
  for (std::size_t index = 0; index < this->vms.size(); ++index) {
    Vm& vm = this->vms[index];
    vm.id = VmId("vm-" + std::to_string(index));
    vm.failureDomain = static_cast<unsigned>(index % kFailureDomains);
    vm.driftPerMillion =
      static_cast<std::int64_t>(this->random() % (2 * kDriftPerMillion)) - kDriftPerMillion;
    vm.offset = this->RandomDuration(seconds(100'000));
    this->Schedule(aInjectsRandomFaults && OneIn(2) ? this->RandomDuration(seconds(900))
                                                    : this->RandomDuration(seconds(2)),
                   [this, index] { this->StartProcess(index); });
  }
  if (aInjectsRandomFaults) {
    this->Schedule(seconds(10), [this] { this->InjectRandomFault(); });
  }
}

std::string ConfigurationTrustSimulation::Run(Duration aLength)
{
  const Instant end = this->now + aLength;
  while (this->violation.empty() && !this->events.empty() && this->events.top().at < end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.action();
  }
  this->now = std::max(this->now, end);
  return this->violation;
}

unsigned ConfigurationTrustSimulation::CountTrustingVms() const
{
  return static_cast<unsigned>(
    std::count_if(this->vms.begin(), this->vms.end(), [&](const Vm& aVm) {
      return aVm.isUp && aVm.trust->IsTrusted(this->LocalTime(aVm));
    }));
}

Duration ConfigurationTrustSimulation::RandomDuration(Duration aMaximum)
{
  return Duration(
    static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(aMaximum.count())));
}

void ConfigurationTrustSimulation::Schedule(Duration aDelay, std::function<void()> aAction)
{
  this->events.push({ this->now + aDelay, ++this->lastEventNumber, std::move(aAction) });
}

void ConfigurationTrustSimulation::Deliver(std::size_t aVm,
                                           Duration aDelay,
                                           std::function<void()> aAction)
{
  const std::uint64_t process = this->vms[aVm].process;
  this->Schedule(aDelay, [this, aVm, process, action = std::move(aAction)]() mutable {
    const Vm& vm = this->vms[aVm];
    if (!vm.isUp || vm.process != process) {
      return;
    }
    if (this->now < vm.pausedUntil) {
      this->Deliver(aVm, vm.pausedUntil - this->now + Duration(1), std::move(action));
      return;
    }
    action();
    this->CheckTrust(vm);
  });
}

Duration ConfigurationTrustSimulation::MessageDelay()
{
  return this->injectsRandomFaults && OneIn(10)
           ? this->RandomDuration(seconds(5))
           : milliseconds(1) + this->RandomDuration(milliseconds(20));
}

Instant ConfigurationTrustSimulation::LocalTime(const Vm& aVm) const
{
  const Duration elapsed = this->now.time_since_epoch();
  return this->now + aVm.offset + elapsed * aVm.driftPerMillion / 1'000'000;
}

void ConfigurationTrustSimulation::CallTable(std::size_t aVm,
                                             Duration aDelay,
                                             std::function<std::function<void()>()> aServe)
{
  this->Schedule(aDelay, [this, aVm, serve = std::move(aServe)] {
    if (this->isTableDown || this->isPartitionedFromTable[this->vms[aVm].failureDomain]) {
      return;
    }
    std::function<void()> answer = serve();
    this->lastServedAt = this->now;
    if (answer && !(this->injectsRandomFaults && OneIn(10))) {
      this->Deliver(aVm, this->MessageDelay(), std::move(answer));
    }
  });
}

void ConfigurationTrustSimulation::StartProcess(std::size_t aVm)
{
  Vm& vm = this->vms[aVm];
  vm.isUp = true;
  ++vm.process;
  vm.isRegistered = false;
  vm.pausedUntil = {};
  vm.trust.emplace(vm.id);
  this->Deliver(aVm, milliseconds(10), [this, aVm] { this->Tick(aVm); });
}

void ConfigurationTrustSimulation::InjectRandomFault()
{
  const std::size_t index = this->random() % this->vms.size();
  Vm& vm = this->vms[index];
  const unsigned firstDomain = static_cast<unsigned>(this->random() % kFailureDomains);
  const unsigned secondDomain = static_cast<unsigned>(this->random() % kFailureDomains);
  switch (this->random() % 10) {
    case 0:
      if (vm.isUp) {
        vm.isUp = false;
        this->Schedule(OneIn(2) ? this->RandomDuration(seconds(5))
                                : this->RandomDuration(seconds(900)),
                       [this, index] { this->StartProcess(index); });
      }
      break;
    case 1:
    case 2:
      vm.pausedUntil = this->now + (OneIn(3) ? this->RandomDuration(seconds(900))
                                             : this->RandomDuration(seconds(10)));
      break;
    case 3:
    case 4:
      this->isPartitioned[firstDomain][secondDomain] =
        this->isPartitioned[secondDomain][firstDomain] =
          firstDomain != secondDomain && !this->isPartitioned[firstDomain][secondDomain];
      break;
    case 5:
    case 6:
      this->isPartitionedFromTable[firstDomain] = !this->isPartitionedFromTable[firstDomain];
      break;
    case 7:
      this->isPartitionedFromTable = {};
      this->isPartitioned = {};
      break;
    default:
      this->isTableDown = !this->isTableDown;
  }
  this->Schedule(this->RandomDuration(seconds(OneIn(5) ? 400 : 20)),
                 [this] { this->InjectRandomFault(); });
}

void ConfigurationTrustSimulation::Tick(std::size_t aVm)
{
  Vm& vm = this->vms[aVm];
  this->Ping(aVm);
  this->ReadHead(aVm);
  if (OneIn(3)) {
    this->ReadRegistrations(aVm);
  }
  if (!vm.isRegistered || OneIn(100)) {
    this->Register(aVm);
  }
  if (this->submitsChanges && OneIn(40)) {
    this->SubmitChange(aVm);
  }
  this->Deliver(aVm, milliseconds(900) + this->RandomDuration(milliseconds(200)), [this, aVm] {
    this->Tick(aVm);
  });
}

void ConfigurationTrustSimulation::Ping(std::size_t aVm)
{
  const Instant sent = this->LocalTime(this->vms[aVm]);
  for (std::size_t peer = 0; peer < this->vms.size(); ++peer) {
    const auto isLost = [this, aVm, peer] {
      return this->isPartitioned[this->vms[aVm].failureDomain][this->vms[peer].failureDomain] ||
             (this->injectsRandomFaults && OneIn(20));
    };
    if (peer == aVm || !this->vms[peer].isUp || isLost()) {
      continue;
    }
    this->Deliver(peer, this->MessageDelay(), [this, aVm, peer, sent, isLost] {
      TrustReport report = this->vms[peer].trust->Report(this->LocalTime(this->vms[peer]));
      if (this->fault == ConfigurationTrustFault::HidesUnresolvedChange) {
        report.hasUnresolvedChange = false;
      }
      if (isLost()) {
        return;
      }
      this->Deliver(aVm, this->MessageDelay(), [this, aVm, sent, report] {
        Vm& vm = this->vms[aVm];
        const bool isLate = this->fault == ConfigurationTrustFault::PeerAgeFromArrival;
        vm.trust->OnPeerReport(isLate ? this->LocalTime(vm) : sent, this->LocalTime(vm), report);
        // Fetch the changes that the peer has and this VM lacks.
        if (report.version > vm.trust->Version() && !(this->injectsRandomFaults && OneIn(4))) {
          this->Deliver(aVm, this->MessageDelay(), [this, aVm, fetched = report.version] {
            this->vms[aVm].trust->SetVersion(fetched);
          });
        }
      });
    });
  }
}

void ConfigurationTrustSimulation::ReadHead(std::size_t aVm)
{
  const Instant sent = this->LocalTime(this->vms[aVm]);
  this->CallTable(aVm, this->MessageDelay(), [this, aVm, sent] {
    return [this, aVm, sent, read = this->head] {
      Vm& vm = this->vms[aVm];
      vm.trust->OnHeadRead(this->fault == ConfigurationTrustFault::ConfirmsFromResponseTime
                             ? this->LocalTime(vm)
                             : sent,
                           read);
      // The VM receives the changes up to the head a little later, by its own read or from a peer,
      // or it fails to receive them this time.
      if (!(this->injectsRandomFaults && OneIn(4))) {
        this->Deliver(
          aVm, this->MessageDelay(), [this, aVm, read] { this->vms[aVm].trust->SetVersion(read); });
      }
    };
  });
}

void ConfigurationTrustSimulation::ReadRegistrations(std::size_t aVm)
{
  const Instant sent = this->LocalTime(this->vms[aVm]);
  this->CallTable(aVm, this->MessageDelay(), [this, aVm, sent] {
    std::vector<RegistrationRow> list;
    for (const auto& [vm, row] : this->rows) {
      list.push_back({ { vm, row.incarnation }, row.version });
    }
    return [this, aVm, sent, list] {
      Vm& vm = this->vms[aVm];
      vm.trust->OnRegistrationsRead(sent, this->LocalTime(vm), list);
      std::vector<RegistrationRow> removed = vm.trust->ExpiredRegistrations(this->LocalTime(vm));
      if (this->fault == ConfigurationTrustFault::RemovesRunningLease && OneIn(10)) {
        removed = list;
      }
      for (const RegistrationRow& expired : removed) {
        if (expired.vm.vm == vm.id) {
          continue;
        }
        this->CallTable(aVm, this->MessageDelay(), [this, expired]() -> std::function<void()> {
          const auto row = this->rows.find(expired.vm.vm);
          if (row != this->rows.end() && row->second.version == expired.rowVersion) {
            this->rows.erase(row);
          }
          return {};
        });
      }
    };
  });
}

void ConfigurationTrustSimulation::Register(std::size_t aVm)
{
  Vm& vm = this->vms[aVm];
  const Instant sent = this->LocalTime(vm);
  // After a registration with an unknown result, register again with a new incarnation.
  const std::uint64_t incarnation = vm.isRegistered ? vm.incarnation : ++vm.incarnation;
  const std::uint64_t expected = vm.isRegistered ? vm.rowVersion : 0;
  const Duration delay = this->injectsRandomFaults && OneIn(8) ? this->RandomDuration(seconds(60))
                                                               : this->MessageDelay();
  this->CallTable(aVm, delay, [this, aVm, sent, incarnation, expected]() -> std::function<void()> {
    Row& row = this->rows[this->vms[aVm].id];
    const bool isNew = expected == 0;
    if (isNew ? row.incarnation >= incarnation : row.version != expected) {
      if (row.version == 0) {
        this->rows.erase(this->vms[aVm].id);
      }
      return [this, aVm] { this->vms[aVm].isRegistered = false; };
    }
    row = { ++this->lastRowVersion, incarnation };
    return [this, aVm, sent, incarnation, version = row.version] {
      Vm& registered = this->vms[aVm];
      if (incarnation == registered.incarnation && version > registered.rowVersion) {
        registered.isRegistered = true;
        registered.rowVersion = version;
        registered.trust->OnRegistered(sent, this->LocalTime(registered), incarnation);
      }
    };
  });
}

void ConfigurationTrustSimulation::SubmitChange(std::size_t aVm)
{
  Vm& vm = this->vms[aVm];
  const bool mayAccept = vm.trust->MayAcceptChanges(this->LocalTime(vm));
  if (!vm.isRegistered ||
      (!mayAccept && this->fault != ConfigurationTrustFault::AcceptsBeforePeersKnow)) {
    return;
  }
  const std::uint64_t baseVersion = vm.trust->Version();
  vm.trust->OnChangeSent(baseVersion);
  const Duration delay = this->injectsRandomFaults && OneIn(8) ? this->RandomDuration(seconds(30))
                                                               : this->MessageDelay();
  this->CallTable(aVm, delay, [this, aVm, baseVersion, id = vm.id, expected = vm.rowVersion] {
    const auto row = this->rows.find(id);
    const bool isRegistered = row != this->rows.end() && row->second.version == expected;
    const bool isAccepted = this->head == baseVersion && isRegistered;
    if (isAccepted) {
      ++this->head;
      this->acceptedAt.push_back(this->now);
      // Fail the table at the most critical moment: the change is accepted and no VM knows it yet.
      if (this->injectsRandomFaults && OneIn(8)) {
        this->isTableDown = true;
        return std::function<void()>();
      }
    }
    return std::function<void()>([this, aVm, baseVersion, isAccepted] {
      this->vms[aVm].trust->OnChangeResult(baseVersion, isAccepted);
      if (isAccepted) {
        this->vms[aVm].trust->SetVersion(baseVersion + 1);
      }
    });
  });
}

/** Checks that a VM doesn't trust its version for longer than the bound after a later version was
    accepted; it would still serve keys that the later version withdrew. */
void ConfigurationTrustSimulation::CheckTrust(const Vm& aVm)
{
  if (!aVm.trust->IsTrusted(this->LocalTime(aVm))) {
    return;
  }
  const auto bound = kConfigurationTrustBound + kConfigurationTrustBound / 100;
  this->outageTrustCount += this->lastServedAt + bound < this->now ? 1 : 0;
  const std::uint64_t next = aVm.trust->Version() + 1;
  if (next < this->acceptedAt.size() && this->acceptedAt[next] + bound < this->now &&
      this->violation.empty()) {
    this->violation = aVm.id.Text() + " trusts version " + std::to_string(next - 1) + " too long";
  }
}

} // namespace mustardshift::test
