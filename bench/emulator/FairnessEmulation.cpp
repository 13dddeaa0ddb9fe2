#include "emulator/FairnessEmulation.h"

#include "core/lease/QuotaShard.h"
#include "core/queueing/FairQueue.h"
#include "emulator/EventQueue.h"
#include "emulator/Random.h"

#include <cstddef>
#include <deque>
#include <utility>

namespace mustardshift::bench {

namespace {

/** Limits and deadline of the daemon. */
constexpr std::size_t kQueueLimit = 8192;
constexpr std::size_t kQueueLimitPerOrganisation = 1024;
constexpr Duration kDeadline = std::chrono::seconds(5);
constexpr double kLoadWithoutFlood = 0.6;

struct Statement
{
  std::size_t organisation = 0;
  std::size_t vm = 0;
  Instant arrived;
};

class Emulation
{
public:
  Emulation(const Deployment& aDeployment, const FairnessOptions& aOptions)
    : deployment(aDeployment)
    , options(aOptions)
    , random(aOptions.seed)
    , service(aDeployment.organisations.size())
  {
    this->statementTime = Duration(static_cast<Duration::rep>(
      kLoadWithoutFlood * 1e6 * this->options.slots / this->deployment.TotalRate()));
    for (std::size_t index = 0; index < this->options.vms; ++index) {
      Vm& vm = this->vms.emplace_back();
      for (const Organisation& organisation : this->deployment.organisations) {
        vm.queue.SetWeight(organisation.name, organisation.weight);
      }
      for (std::size_t shard = index; shard < kQuotaShardsPerCell; shard += this->options.vms) {
        vm.connections += ConnectionsOfShard({ static_cast<std::uint8_t>(shard) },
                                             this->deployment.connectionLimit);
      }
      if (this->options.inFlightPerVm > 0) {
        vm.connections = std::min(vm.connections, this->options.inFlightPerVm);
      }
    }
  }

  std::vector<OrganisationService> Run()
  {
    for (std::size_t index = 0; index < this->service.size(); ++index) {
      if (!this->options.only || *this->options.only == index) {
        this->ScheduleArrival(index);
      }
    }
    const Instant end = this->queue.Now() + this->options.length;
    this->lastArrival = end;
    this->queue.RunUntil(end + kDeadline);
    return std::move(this->service);
  }

private:
  struct Vm
  {
    FairQueue<Statement> queue{ kQueueLimitPerOrganisation, kQueueLimit };
    std::deque<Statement> line;
    unsigned connections = 0;
    unsigned inFlight = 0;
  };

  void ScheduleArrival(std::size_t aOrganisation)
  {
    const Organisation& organisation = this->deployment.organisations[aOrganisation];
    const double rate = organisation.rate * (aOrganisation == 0 ? this->options.flood : 1);
    this->queue.After(this->random.Gap(rate), [this, aOrganisation] {
      if (this->queue.Now() < this->lastArrival) {
        this->Arrive(aOrganisation);
        this->ScheduleArrival(aOrganisation);
      }
    });
  }

  void Arrive(std::size_t aOrganisation)
  {
    ++this->service[aOrganisation].asked;
    const std::size_t index = this->random.Index(this->vms.size());
    Vm& vm = this->vms[index];
    const Statement statement{ aOrganisation, index, this->queue.Now() };
    if (this->options.isFirstComeFirstServed) {
      if (vm.line.size() < kQueueLimit) {
        vm.line.push_back(statement);
      }
    } else {
      // A refusal counts as not served.
      (void)vm.queue.Push(this->deployment.organisations[aOrganisation].name,
                          statement,
                          this->queue.Now() + kDeadline);
    }
    this->Pump(index);
  }

  std::optional<Statement> Next(Vm& aVm)
  {
    if (!this->options.isFirstComeFirstServed) {
      aVm.queue.TakeExpired(this->queue.Now());
      return aVm.queue.Pop(this->queue.Now());
    }
    while (!aVm.line.empty()) {
      const Statement statement = aVm.line.front();
      aVm.line.pop_front();
      if (statement.arrived + kDeadline > this->queue.Now()) {
        return statement;
      }
    }
    return std::nullopt;
  }

  void Pump(std::size_t aVm)
  {
    Vm& vm = this->vms[aVm];
    while (vm.inFlight < vm.connections) {
      const std::optional<Statement> statement = this->Next(vm);
      if (!statement) {
        return;
      }
      ++vm.inFlight;
      this->queue.After(this->deployment.domainLatency, [this, statement = *statement] {
        this->waitingForSlot.push_back(statement);
        this->StartStatements();
      });
    }
  }

  void StartStatements()
  {
    while (this->busySlots < this->options.slots && !this->waitingForSlot.empty()) {
      const Statement statement = this->waitingForSlot.front();
      this->waitingForSlot.pop_front();
      ++this->busySlots;
      const Duration time =
        this->random.Between(this->statementTime / 2, this->statementTime * 3 / 2);
      this->queue.After(time, [this, statement] {
        --this->busySlots;
        this->StartStatements();
        this->queue.After(this->deployment.domainLatency,
                          [this, statement] { this->Finish(statement); });
      });
    }
  }

  void Finish(const Statement& aStatement)
  {
    OrganisationService& service = this->service[aStatement.organisation];
    ++service.served;
    service.latencies.Add(this->queue.Now() - aStatement.arrived +
                          2 * this->deployment.clientLatency);
    --this->vms[aStatement.vm].inFlight;
    this->Pump(aStatement.vm);
  }

  const Deployment& deployment;
  FairnessOptions options;
  Random random;
  EventQueue queue;
  Duration statementTime{ 0 };
  Instant lastArrival;
  std::vector<Vm> vms;
  std::deque<Statement> waitingForSlot;
  unsigned busySlots = 0;
  std::vector<OrganisationService> service;
};

} // namespace

std::vector<OrganisationService> EmulateFairness(const Deployment& aDeployment,
                                                 const FairnessOptions& aOptions)
{
  return Emulation(aDeployment, aOptions).Run();
}

} // namespace mustardshift::bench
