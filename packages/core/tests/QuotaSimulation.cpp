#include "QuotaSimulation.h"

#include "core/lease/QuotaShardPlan.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mustardshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Maximum rate by which a clock runs fast or slow, in parts per million. */
constexpr std::int64_t kDriftPerMillion = 4500;

} // namespace

QuotaSimulation::QuotaSimulation(std::uint64_t aSeed, unsigned aVmCount, QuotaFault aFault)
  : random(aSeed)
  , fault(aFault)
  , vms(aVmCount)
  , cells((aVmCount + kQuotaShardsPerCell - 1) / kQuotaShardsPerCell)
{
  this->maxFaultInterval =
    seconds(OneIn(2) ? 400 : 40) / static_cast<std::int64_t>(this->cells.size());
  for (Rows& rows : this->cells) {
    for (unsigned index = 0; index < kQuotaShardsPerCell; ++index) {
      rows[index].shard = { static_cast<std::uint8_t>(index) };
    }
  }
  for (std::size_t index = 0; index < this->vms.size(); ++index) {
    Vm& vm = this->vms[index];
    vm.id = VmId("vm-" + std::to_string(index));
    vm.cell = static_cast<unsigned>(index / kQuotaShardsPerCell);
    vm.failureDomain = static_cast<unsigned>(index % kFailureDomains);
    vm.driftPerMillion =
      static_cast<std::int64_t>(this->random() % (2 * kDriftPerMillion)) - kDriftPerMillion;
    vm.offset = this->RandomDuration(seconds(0), seconds(100'000));
    // Some VMs start late.
    this->Schedule(OneIn(4) ? this->RandomDuration(seconds(0), seconds(900)) : Duration(0),
                   [this, index] { this->StartVm(index); });
  }
  this->Schedule(seconds(5), [this] { this->InjectRandomFault(); });
}

std::string QuotaSimulation::Run(Duration aLength)
{
  const Instant end = this->now + aLength;
  while (this->violation.empty() && !this->events.empty() && this->events.top().at < end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.action();
  }
  return this->violation;
}

Duration QuotaSimulation::RandomDuration(Duration aMinimum, Duration aMaximum)
{
  const auto range = static_cast<std::uint64_t>((aMaximum - aMinimum).count());
  return aMinimum +
         Duration(static_cast<std::int64_t>(this->random() % std::max<std::uint64_t>(1, range)));
}

void QuotaSimulation::Schedule(Duration aDelay, std::function<void()> aAction)
{
  this->events.push({ this->now + aDelay, ++this->lastEventNumber, std::move(aAction) });
}

/** Runs an action in the current process of a VM. If the VM is paused at that time, the action runs
    after the pause; if the process has ended, it does not run. */
void QuotaSimulation::ScheduleOnVm(std::size_t aVm, Duration aDelay, std::function<void()> aAction)
{
  const std::uint64_t incarnation = this->vms[aVm].incarnation;
  this->Schedule(aDelay, [this, aVm, incarnation, action = std::move(aAction)]() mutable {
    const Vm& vm = this->vms[aVm];
    if (!vm.isUp || vm.incarnation != incarnation) {
      return;
    }
    if (this->now < vm.pausedUntil) {
      this->ScheduleOnVm(aVm, vm.pausedUntil - this->now + Duration(1), std::move(action));
      return;
    }
    action();
  });
}

Duration QuotaSimulation::MessageDelay()
{
  return OneIn(10) ? this->RandomDuration(seconds(0), seconds(6))
                   : this->RandomDuration(milliseconds(1), milliseconds(20));
}

Instant QuotaSimulation::LocalTime(const Vm& aVm) const
{
  const Duration elapsed = this->now.time_since_epoch();
  return this->now + aVm.offset + elapsed * aVm.driftPerMillion / 1'000'000;
}

bool QuotaSimulation::ReachesTable(const Vm& aVm) const
{
  return !this->isTableDown && !this->isTableUnreachable[aVm.failureDomain];
}

void QuotaSimulation::StartVm(std::size_t aVm)
{
  Vm& vm = this->vms[aVm];
  vm.isUp = true;
  vm.isLeaving = false;
  vm.hasDemand = OneIn(2);
  ++vm.incarnation;
  vm.pausedUntil = {};
  vm.shardCount = 0;
  vm.holder.emplace(vm.id, vm.incarnation, this->LocalTime(vm));
  vm.quotas = std::make_unique<OrganisationQuotaTable>(vm.id, vm.incarnation);
  vm.quotas->Configure(this->LocalTime(vm),
                       { Organisation{ this->organisation, kRatePerCell, kBurstPerCell, 1, {} } });
  this->ScheduleOnVm(aVm, milliseconds(100), [this, aVm] { this->ReadRows(aVm); });
  this->ScheduleOnVm(aVm, seconds(1), [this, aVm] { this->Tick(aVm); });
}

/** Injects or repairs one fault, chosen at random. */
void QuotaSimulation::InjectRandomFault()
{
  const std::size_t index = this->random() % this->vms.size();
  Vm& vm = this->vms[index];
  const unsigned firstDomain = static_cast<unsigned>(this->random() % kFailureDomains);
  const unsigned secondDomain = static_cast<unsigned>(this->random() % kFailureDomains);
  switch (this->random() % 12) {
    case 0:
    case 1:
      if (vm.isUp) {
        vm.isUp = false;
        const bool isBackSoon = OneIn(2);
        this->Schedule(isBackSoon ? this->RandomDuration(milliseconds(10), seconds(10))
                                  : this->RandomDuration(seconds(10), seconds(1500)),
                       [this, index] { this->StartVm(index); });
      }
      break;
    case 2:
    case 3:
      vm.pausedUntil = this->now + (OneIn(3) ? this->RandomDuration(seconds(0), seconds(900))
                                             : this->RandomDuration(seconds(0), seconds(12)));
      break;
    case 4:
      vm.isLeaving = !vm.isLeaving;
      break;
    case 5:
      this->isPartitioned[firstDomain][secondDomain] =
        this->isPartitioned[secondDomain][firstDomain] =
          firstDomain != secondDomain && !this->isPartitioned[firstDomain][secondDomain];
      break;
    case 6:
      this->isTableUnreachable[firstDomain] = !this->isTableUnreachable[firstDomain];
      break;
    case 7:
      this->isTableUnreachable = {};
      this->isPartitioned = {};
      break;
    case 8:
      this->isTableDown = !this->isTableDown && OneIn(2);
      break;
    default:
      vm.hasDemand = !vm.hasDemand;
  }
  this->Schedule(this->RandomDuration(seconds(0), this->maxFaultInterval),
                 [this] { this->InjectRandomFault(); });
}

void QuotaSimulation::Tick(std::size_t aVm)
{
  Vm& vm = this->vms[aVm];
  this->Admit(vm);
  this->RequestLoans(aVm);
  if (OneIn(3)) {
    this->ReadRows(aVm);
  }
  this->CheckUnits();
  this->ScheduleOnVm(
    aVm, this->RandomDuration(milliseconds(100), seconds(10)), [this, aVm] { this->Tick(aVm); });
}

void QuotaSimulation::ReadRows(std::size_t aVm)
{
  const unsigned cell = this->vms[aVm].cell;
  this->Schedule(this->MessageDelay(), [this, aVm, cell] {
    if (!this->ReachesTable(this->vms[aVm])) {
      return;
    }
    this->ScheduleOnVm(aVm, this->MessageDelay(), [this, aVm, rows = this->cells[cell]] {
      Vm& vm = this->vms[aVm];
      for (QuotaShardRow row : rows) {
        if (this->fault == QuotaFault::LeaseFromReplyTime && row.holder == vm.id &&
            row.incarnation == vm.incarnation &&
            row.version > vm.holder->Rows()[row.shard.index].version) {
          row.operation = vm.holder->BeginWrite(this->LocalTime(vm), { row.shard }).operation;
        }
        vm.holder->Observe(this->LocalTime(vm), row);
      }
      this->SetShards(vm);
      this->PlanShards(aVm);
    });
  });
}

void QuotaSimulation::PlanShards(std::size_t aVm)
{
  Vm& vm = this->vms[aVm];
  std::set<VmId> availableVms;
  for (const Vm& other : this->vms) {
    if (other.cell == vm.cell && other.isUp && !other.isLeaving && this->now >= other.pausedUntil &&
        !this->isPartitioned[vm.failureDomain][other.failureDomain]) {
      availableVms.insert(other.id);
    }
  }
  const Instant localTime = this->LocalTime(vm);
  QuotaShardPlan plan =
    PlanQuotaShards(localTime, *vm.holder, availableVms, vm.isLeaving, !OneIn(5));
  if (this->fault == QuotaFault::EarlyTakeover) {
    for (const QuotaShardRow& row : vm.holder->Rows()) {
      if (row.holder == vm.id && row.incarnation < vm.incarnation) {
        plan.claim.push_back(row.shard);
      }
    }
  }
  for (const QuotaShardId shard : plan.withdraw) {
    vm.holder->Withdraw(localTime, shard);
  }
  this->SetShards(vm);
  if (this->fault == QuotaFault::ReleaseDuringLoans) {
    plan.release.insert(plan.release.end(), plan.withdraw.begin(), plan.withdraw.end());
  }
  if (!plan.renew.empty()) {
    this->SendWrite(aVm, vm.holder->BeginWrite(localTime, plan.renew));
  }
  for (const QuotaShardId shard : plan.claim) {
    this->SendWrite(aVm, vm.holder->BeginWrite(localTime, { shard }));
  }
  if (!plan.release.empty()) {
    this->SendWrite(aVm, vm.holder->BeginRelease(localTime, plan.release));
  }
}

void QuotaSimulation::SendWrite(std::size_t aVm, const QuotaShardWrite& aWrite)
{
  // A write may be lost, reach the table late, or reach it twice. Its reply may be lost or late.
  const Duration delay =
    OneIn(8) ? this->RandomDuration(seconds(0), seconds(60)) : this->MessageDelay();
  const auto arrive = [this, aVm, aWrite] {
    const Vm& vm = this->vms[aVm];
    if (!this->ReachesTable(vm)) {
      return;
    }
    Rows& rows = this->cells[vm.cell];
    const bool isCommitted =
      std::all_of(aWrite.changes.begin(), aWrite.changes.end(), [&](const auto& aChange) {
        return rows[aChange.shard.index].version == aChange.expectedVersion;
      });
    if (isCommitted) {
      for (const auto& change : aWrite.changes) {
        QuotaShardRow& row = rows[change.shard.index];
        this->takeovers +=
          !row.holder.IsEmpty() && row.holder != aWrite.holder && !aWrite.holder.IsEmpty() ? 1 : 0;
        row = { change.shard,     aWrite.holder,   aWrite.incarnation,
                aWrite.operation, row.version + 1, {} };
      }
    }
    if (OneIn(6)) {
      return;
    }
    this->ScheduleOnVm(
      aVm,
      OneIn(4) ? this->RandomDuration(seconds(0), seconds(120)) : this->MessageDelay(),
      [this, aVm, aWrite, isCommitted] { this->HandleReply(aVm, aWrite, isCommitted); });
  };
  this->Schedule(delay, arrive);
  if (OneIn(10)) {
    this->Schedule(delay + this->MessageDelay(), arrive);
  }
}

void QuotaSimulation::HandleReply(std::size_t aVm, const QuotaShardWrite& aWrite, bool aIsCommitted)
{
  Vm& vm = this->vms[aVm];
  if (!aIsCommitted) {
    vm.holder->WriteRejected(aWrite);
    return;
  }
  if (this->fault == QuotaFault::LeaseFromReplyTime && !aWrite.holder.IsEmpty()) {
    std::vector<QuotaShardId> shards;
    for (const auto& change : aWrite.changes) {
      shards.push_back(change.shard);
    }
    QuotaShardWrite lateWrite = vm.holder->BeginWrite(this->LocalTime(vm), shards);
    lateWrite.changes = aWrite.changes;
    vm.holder->WriteCommitted(this->LocalTime(vm), lateWrite);
  } else {
    vm.holder->WriteCommitted(this->LocalTime(vm), aWrite);
  }
  this->SetShards(vm);
}

void QuotaSimulation::SetShards(Vm& aVm)
{
  const std::vector<HeldQuotaShard> held = aVm.holder->HeldShards(this->LocalTime(aVm));
  aVm.quotas->SetShards(this->LocalTime(aVm), held);
  if (this->fault == QuotaFault::FullBucketForGainedShard && held.size() > aVm.shardCount) {
    const auto gainedTokens = (held.size() - aVm.shardCount) *
                              static_cast<std::size_t>(kBurstPerCell) / kQuotaShardsPerCell;
    for (std::size_t i = 0; i < gainedTokens; ++i) {
      this->CountAdmission();
    }
  }
  aVm.shardCount = held.size();
  this->CheckUnits();
  this->CheckConnections();
}

void QuotaSimulation::RequestLoans(std::size_t aVm)
{
  Vm& vm = this->vms[aVm];
  std::vector<VmId> peers;
  for (const Vm& other : this->vms) {
    if (other.cell == vm.cell) {
      peers.push_back(other.id);
    }
  }
  const Instant sent = this->LocalTime(vm);
  for (const QuotaLoanRequest& request : vm.quotas->PlanLoanRequests(sent, peers)) {
    const auto lender = static_cast<std::size_t>(std::stoul(request.lender.Text().substr(3)));
    const auto arrive = [this, aVm, lender, request, sent] {
      Vm& other = this->vms[lender];
      if (this->isPartitioned[this->vms[aVm].failureDomain][other.failureDomain]) {
        return;
      }
      const QuotaLoanGrant grant = other.quotas->Lend(this->LocalTime(other), request);
      for (int copies = OneIn(10) ? 2 : 1; copies > 0; --copies) {
        this->ScheduleOnVm(aVm, this->MessageDelay(), [this, aVm, grant, sent] {
          Vm& borrower = this->vms[aVm];
          const Instant localTime = this->LocalTime(borrower);
          const Instant countedFrom =
            this->fault == QuotaFault::LoanFromReplyTime ? localTime : sent;
          this->loansTaken += borrower.quotas->Borrow(localTime, grant, countedFrom) ? 1 : 0;
          this->Admit(borrower);
          this->CheckUnits();
        });
      }
    };
    if (this->vms[lender].isUp && !OneIn(10)) {
      this->ScheduleOnVm(lender, this->MessageDelay(), arrive);
      if (OneIn(10)) {
        this->ScheduleOnVm(lender, this->MessageDelay(), arrive);
      }
    }
  }
}

void QuotaSimulation::Admit(Vm& aVm)
{
  if (!aVm.hasDemand) {
    return;
  }
  // The number of iterations is limited; one VM cannot get more tokens than the burst of the cell.
  for (int i = 0; i < 200; ++i) {
    const auto admission = aVm.quotas->Admit(this->LocalTime(aVm), this->organisation);
    if (!admission || !admission->isAdmitted) {
      if (admission) {
        aVm.quotas->CancelWait(this->organisation, *admission);
      }
      return;
    }
    this->CountAdmission();
  }
}

/** Checks the rate and the burst over all time windows at once: a reference bucket from which all
    admissions are taken in real time must never run out. Its rate is raised by the maximum clock
    drift, because a fast clock refills the bucket of its VM faster. */
void QuotaSimulation::CountAdmission()
{
  ++this->admitted;
  const auto cellCount = static_cast<double>(this->cells.size());
  const double rate = kRatePerCell * cellCount * (1 + static_cast<double>(kDriftPerMillion) / 1e6);
  const double elapsed =
    std::chrono::duration<double>(this->now - this->referenceUpdatedAt).count();
  this->referenceUpdatedAt = this->now;
  this->referenceTokens =
    std::min(kBurstPerCell * cellCount, this->referenceTokens + elapsed * rate) - 1;
  if (this->referenceTokens < -1e-3 && this->violation.empty()) {
    this->violation = "more requests were admitted than the rate and the burst allow";
  }
}

/** Checks at one instant of real time that no unit of quota is held by two VMs. */
void QuotaSimulation::CheckUnits()
{
  std::vector<QuotaUnits> units(this->cells.size());
  for (Vm& vm : this->vms) {
    if (vm.isUp) {
      units[vm.cell] += vm.quotas->Find(this->organisation)->Units(this->LocalTime(vm));
    }
  }
  if (this->violation.empty() && *std::max_element(units.begin(), units.end()) > kQuotaUnitsTotal) {
    this->violation = "the VMs of a cell hold more units of quota than exist";
  }
}

/** Checks at one instant of real time that the VMs together are entitled to no more connections
    than the limit. */
void QuotaSimulation::CheckConnections()
{
  std::vector<unsigned> connections(this->cells.size());
  for (const Vm& vm : this->vms) {
    if (vm.isUp) {
      connections[vm.cell] += vm.holder->ConnectionAllowance(this->LocalTime(vm), kConnectionLimit);
    }
  }
  if (this->violation.empty() &&
      *std::max_element(connections.begin(), connections.end()) > kConnectionLimit) {
    this->violation = "the VMs of a cell are entitled to more connections than the limit";
  }
}

} // namespace mustardshift::test
