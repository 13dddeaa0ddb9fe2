#include "emulator/FairnessEmulation.h"

#include "core/lease/QuotaShard.h"
#include "core/queueing/FairQueue.h"
#include "core/rate/OrganisationQuotaTable.h"
#include "emulator/EventQueue.h"
#include "emulator/Random.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>

namespace mustardshift::bench {

namespace {

/** Limits and deadline of the daemon. */
constexpr std::size_t kQueueLimit = 8192;
constexpr std::size_t kQueueLimitPerOrganisation = 1024;
constexpr Duration kDeadline = std::chrono::seconds(5);
/** What organisations inside their rates send; at the whole rate, chance alone empties a bucket. */
constexpr double kInsideRate = 0.9;
constexpr double kLoadWithoutFlood = 0.6;
constexpr Duration kStart = std::chrono::seconds(20);
constexpr Duration kLoanTick = std::chrono::milliseconds(250);

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
      vm.id = VmId("vm-" + std::to_string(index));
      vm.quotas = std::make_unique<OrganisationQuotaTable>(vm.id, 1);
      vm.quotas->Configure(this->queue.Now(), this->deployment.organisations);
      std::vector<HeldQuotaShard> shards;
      for (const Organisation& organisation : this->deployment.organisations) {
        vm.queue.SetWeight(organisation.name, organisation.weight);
      }
      for (std::size_t shard = index; shard < kQuotaShardsPerCell; shard += this->options.vms) {
        const QuotaShardId id{ static_cast<std::uint8_t>(shard) };
        // Far ahead, but not so far that spans up to it overflow.
        shards.push_back({ id, this->queue.Now() + std::chrono::hours(24) });
        vm.connections += ConnectionLimitOfShard(id, this->deployment.connectionLimit);
      }
      vm.quotas->SetShards(this->queue.Now(), std::move(shards));
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
    if (this->options.hasRateLimit) {
      this->queue.Every(kLoanTick, [this] {
        this->AskLoans();
        return true;
      });
    }
    this->countFrom = this->queue.Now() + kStart;
    const Instant end = this->countFrom + this->options.length;
    this->lastArrival = end;
    this->queue.RunUntil(end + kDeadline);
    return std::move(this->service);
  }

private:
  struct Vm
  {
    VmId id;
    std::unique_ptr<OrganisationQuotaTable> quotas;
    FairQueue<Statement> queue{ kQueueLimitPerOrganisation, kQueueLimit };
    std::deque<Statement> line;
    unsigned connections = 0;
    unsigned inFlight = 0;
  };

  void ScheduleArrival(std::size_t aOrganisation)
  {
    const Organisation& organisation = this->deployment.organisations[aOrganisation];
    const bool isFlooding = aOrganisation == 0 && this->queue.Now() >= this->countFrom;
    const double rate = organisation.rate * (isFlooding ? this->options.flood : kInsideRate);
    this->queue.After(this->random.Gap(rate), [this, aOrganisation] {
      if (this->queue.Now() < this->lastArrival) {
        this->Arrive(aOrganisation);
        this->ScheduleArrival(aOrganisation);
      }
    });
  }

  void Arrive(std::size_t aOrganisation)
  {
    this->service[aOrganisation].asked += this->queue.Now() >= this->countFrom ? 1 : 0;
    const std::size_t index = this->random.Index(this->vms.size());
    const Statement statement{ aOrganisation, index, this->queue.Now() };
    if (this->options.hasRateLimit) {
      this->Judge(statement,
                  this->vms[index].quotas->Admit(this->queue.Now(), this->NameOf(statement)));
    } else {
      this->Enqueue(statement);
    }
  }

  const OrganisationName& NameOf(const Statement& aStatement) const
  {
    return this->deployment.organisations[aStatement.organisation].name;
  }

  void Judge(const Statement& aStatement, const Outcome<Admission>& aOutcome)
  {
    if (!aOutcome) {
      return;
    }
    if (aOutcome->isAdmitted) {
      this->Enqueue(aStatement);
      return;
    }
    this->AskTokens(this->vms[aStatement.vm], this->NameOf(aStatement));
    this->queue.After(aOutcome->waitUntil - this->queue.Now(),
                      [this, aStatement, admission = *aOutcome] {
                        this->Judge(aStatement,
                                    this->vms[aStatement.vm].quotas->RetryAdmission(
                                      this->queue.Now(), this->NameOf(aStatement), admission));
                      });
  }

  void AskLoans()
  {
    std::vector<VmId> peers;
    for (const Vm& vm : this->vms) {
      peers.push_back(vm.id);
    }
    for (Vm& borrower : this->vms) {
      this->Send(borrower, borrower.quotas->PlanLoanRequests(this->queue.Now(), peers));
    }
  }

  /** Asks for tokens for requests that wait, as the daemon does. */
  void AskTokens(Vm& aBorrower, const OrganisationName& aOrganisation)
  {
    std::vector<VmId> peers;
    for (const Vm& vm : this->vms) {
      if (vm.id != aBorrower.id) {
        peers.push_back(vm.id);
      }
    }
    this->Send(aBorrower,
               aBorrower.quotas->PlanTokenRequests(this->queue.Now(), aOrganisation, peers));
  }

  void Send(Vm& aBorrower, const std::vector<QuotaLoanRequest>& aRequests)
  {
    const Instant sent = this->queue.Now();
    for (const QuotaLoanRequest& request : aRequests) {
      this->queue.After(2 * this->deployment.domainLatency, [this, &aBorrower, request, sent] {
        for (const Vm& lender : this->vms) {
          if (lender.id == request.lender) {
            const QuotaLoanGrant grant = lender.quotas->Lend(this->queue.Now(), request);
            aBorrower.quotas->Borrow(this->queue.Now(), grant, sent);
            if (grant.isTokensOnly) {
              this->AskTokens(aBorrower, grant.organisation);
            }
          }
        }
      });
    }
  }

  void Enqueue(const Statement& aStatement)
  {
    Vm& vm = this->vms[aStatement.vm];
    if (this->options.isFirstComeFirstServed) {
      if (vm.line.size() < kQueueLimit) {
        vm.line.push_back(aStatement);
      }
    } else {
      // A refusal counts as not served.
      (void)vm.queue.Push(this->NameOf(aStatement), aStatement, this->queue.Now() + kDeadline);
    }
    this->Pump(aStatement.vm);
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
    if (aStatement.arrived >= this->countFrom) {
      OrganisationService& served = this->service[aStatement.organisation];
      ++served.served;
      served.latencies.Add(this->queue.Now() - aStatement.arrived +
                           2 * this->deployment.clientLatency);
    }
    --this->vms[aStatement.vm].inFlight;
    this->Pump(aStatement.vm);
  }

  const Deployment& deployment;
  FairnessOptions options;
  Random random;
  EventQueue queue;
  Duration statementTime{ 0 };
  Instant countFrom = Instant::max();
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
