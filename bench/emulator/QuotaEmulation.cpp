#include "emulator/QuotaEmulation.h"

#include "core/lease/QuotaShardHolder.h"
#include "core/lease/QuotaShardPlan.h"
#include "core/rate/OrganisationQuotaTable.h"
#include "core/rate/TokenBucket.h"
#include "emulator/EventQueue.h"
#include "emulator/Random.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mustardshift::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Before the count starts, little is asked for, so that the buckets fill: shards start empty. */
constexpr Duration kStart = seconds(20);
constexpr double kStartLoad = 0.3;
/** Intervals of the daemon's loops. */
constexpr Duration kLoanTick = milliseconds(250);
constexpr Duration kPlatformPoll = seconds(1);
constexpr Duration kRegistrationPoll = seconds(2);
/** Configuration head, databases, shards. */
constexpr std::uint64_t kReadsPerPoll = 3;
constexpr Duration kRegistrationRenewal = seconds(200);
constexpr Duration kVmChangeInterval = seconds(30);
constexpr Duration kCallerMove = seconds(20);
constexpr Duration kPlatformDelay = milliseconds(3);

class Emulation
{
public:
  Emulation(const Deployment& aDeployment, const QuotaOptions& aOptions)
    : deployment(aDeployment)
    , options(aOptions)
    , random(aOptions.seed)
    , places(aOptions.vms)
  {
    for (unsigned index = 0; index < kQuotaShardsPerCell; ++index) {
      this->rows[index].shard = { static_cast<std::uint8_t>(index) };
    }
    for (const Organisation& organisation : this->deployment.organisations) {
      Account& account = this->accounts.emplace_back();
      account.name = organisation.name;
      account.rate = organisation.rate;
      account.fleet = { organisation.rate, organisation.burst, organisation.burst, this->Now() };
      account.allowance = account.fleet;
      for (unsigned vm = 0; vm < this->options.vms; ++vm) {
        const double part = 1.0 / this->options.vms;
        account.fixed.emplace_back(organisation.rate * part,
                                   organisation.burst * part,
                                   organisation.burst * part,
                                   this->Now());
      }
    }
  }

  QuotaResult Run()
  {
    for (std::size_t place = 0; place < this->places.size(); ++place) {
      this->Start(place, true);
    }
    for (std::size_t index = 0; index < this->accounts.size(); ++index) {
      this->ScheduleArrival(index);
    }
    if (this->options.change != VmChange::None) {
      this->queue.After(kStart + seconds(5), [this] { this->ChangeVm(); });
    }
    const Instant begin = this->Now();
    this->countFrom = begin + kStart;
    this->queue.RunUntil(this->countFrom);
    this->result.tableReads = this->result.tableWrites = this->result.loanMessages = 0;
    this->queue.RunUntil(this->countFrom + this->options.length);
    this->result.seconds = std::chrono::duration<double>(this->options.length).count();
    for (const Account& account : this->accounts) {
      const double share = account.asked > 0 ? static_cast<double>(account.refused) /
                                                 static_cast<double>(account.asked)
                                             : 0;
      if (share > this->result.worstShare) {
        this->result.worstShare = share;
        this->result.worstOrganisation = account.name.Text();
      }
    }
    return this->result;
  }

private:
  struct Vm
  {
    VmId id;
    std::uint64_t incarnation = 1;
    bool isUp = true;
    bool isLeaving = false;
    std::unique_ptr<QuotaShardHolder> holder;
    std::unique_ptr<OrganisationQuotaTable> quotas;
  };
  using VmPointer = std::shared_ptr<Vm>;

  struct Account
  {
    OrganisationName name;
    double rate = 0;
    /** What one bucket for the whole fleet admits. */
    TokenBucket fleet;
    /** Checks what was admitted against rate and burst. */
    TokenBucket allowance;
    double debt = 0;
    std::vector<TokenBucket> fixed;
    std::uint64_t asked = 0;
    std::uint64_t refused = 0;
  };

  Instant Now() const { return this->queue.Now(); }
  bool IsCounting() const { return this->Now() >= this->countFrom; }
  bool IsPlatformUp() const { return !this->options.isPlatformDown || !this->IsCounting(); }

  Duration PeerDelay()
  {
    return this->deployment.domainLatency +
           this->random.Between(Duration(0), this->deployment.domainLatency);
  }

  /** Starts a process at a place: a new VM, or the earlier one again. */
  void Start(std::size_t aPlace, bool aIsNew)
  {
    const auto vm = std::make_shared<Vm>();
    if (aIsNew) {
      vm->id = VmId("vm-" + std::to_string(++this->lastVm));
    } else {
      vm->id = this->places[aPlace]->id;
      vm->incarnation = this->places[aPlace]->incarnation + 1;
    }
    vm->holder = std::make_unique<QuotaShardHolder>(vm->id, vm->incarnation, this->Now());
    vm->quotas = std::make_unique<OrganisationQuotaTable>(vm->id, vm->incarnation);
    vm->quotas->Configure(this->Now(), this->deployment.organisations);
    this->places[aPlace] = vm;
    this->all.push_back(vm);
    const Duration phase = this->random.Between(Duration(0), kLoanTick);
    this->queue.After(phase, [this, vm] {
      this->queue.Every(kPlatformPoll, [this, vm] {
        this->PollShards(vm);
        return vm->isUp;
      });
      this->queue.Every(kLoanTick, [this, vm] {
        this->AskLoans(vm);
        return vm->isUp;
      });
      this->queue.Every(kRegistrationPoll, [this, vm] {
        this->result.tableReads += vm->isUp && this->IsPlatformUp() ? 1 : 0;
        return vm->isUp;
      });
      this->queue.Every(kRegistrationRenewal, [this, vm] {
        this->result.tableWrites += vm->isUp && this->IsPlatformUp() ? 1 : 0;
        return vm->isUp;
      });
    });
  }

  void PollShards(const VmPointer& aVm)
  {
    if (!aVm->isUp || !this->IsPlatformUp()) {
      return;
    }
    this->result.tableReads += kReadsPerPoll;
    this->queue.After(kPlatformDelay, [this, aVm, read = this->rows] {
      if (!aVm->isUp) {
        return;
      }
      for (const QuotaShardRow& row : read) {
        aVm->holder->Observe(this->Now(), row);
      }
      std::set<VmId> live;
      for (const VmPointer& place : this->places) {
        if (place->isUp && !place->isLeaving) {
          live.insert(place->id);
        }
      }
      const QuotaShardPlan plan =
        PlanQuotaShards(this->Now(), *aVm->holder, live, aVm->isLeaving, true);
      for (const QuotaShardId shard : plan.withdraw) {
        aVm->holder->Withdraw(this->Now(), shard);
      }
      if (!plan.renew.empty()) {
        this->Send(aVm, aVm->holder->BeginWrite(this->Now(), plan.renew));
      }
      for (const QuotaShardId shard : plan.claim) {
        this->Send(aVm, aVm->holder->BeginWrite(this->Now(), { shard }));
      }
      this->SetShards(aVm);
      if (!plan.release.empty()) {
        this->Send(aVm, aVm->holder->BeginRelease(this->Now(), plan.release));
      }
    });
  }

  void Send(const VmPointer& aVm, const QuotaShardWrite& aWrite)
  {
    ++this->result.tableWrites;
    this->queue.After(kPlatformDelay, [this, aVm, aWrite] {
      const bool isCurrent = std::all_of(
        aWrite.changes.begin(), aWrite.changes.end(), [&](const QuotaShardWrite::Change& aChange) {
          return this->rows[aChange.shard.index].version == aChange.expectedVersion;
        });
      if (isCurrent) {
        for (const QuotaShardWrite::Change& change : aWrite.changes) {
          QuotaShardRow& row = this->rows[change.shard.index];
          row.holder = aWrite.holder;
          row.incarnation = aWrite.incarnation;
          row.operation = aWrite.operation;
          ++row.version;
        }
      }
      this->queue.After(kPlatformDelay, [this, aVm, aWrite, isCurrent] {
        if (!aVm->isUp) {
          return;
        }
        if (isCurrent) {
          aVm->holder->WriteCommitted(this->Now(), aWrite);
        } else {
          aVm->holder->WriteRejected(aWrite);
        }
        this->SetShards(aVm);
      });
    });
  }

  void SetShards(const VmPointer& aVm)
  {
    aVm->quotas->SetShards(this->Now(), aVm->holder->HeldShards(this->Now()));
  }

  void AskLoans(const VmPointer& aVm)
  {
    if (!aVm->isUp || !this->options.hasLoans) {
      return;
    }
    std::vector<VmId> peers;
    for (const VmPointer& vm : this->all) {
      if (vm->isUp && vm != aVm) {
        peers.push_back(vm->id);
      }
    }
    this->Send(aVm, aVm->quotas->PlanLoanRequests(this->Now(), peers));
  }

  /** Asks for tokens for requests that wait, as the daemon does. */
  void AskTokens(const VmPointer& aVm, const OrganisationName& aOrganisation)
  {
    if (!aVm->isUp || !this->options.hasLoans) {
      return;
    }
    std::vector<VmId> peers;
    for (const VmPointer& vm : this->all) {
      if (vm->isUp && vm != aVm) {
        peers.push_back(vm->id);
      }
    }
    this->Send(aVm, aVm->quotas->PlanTokenRequests(this->Now(), aOrganisation, peers));
  }

  void Send(const VmPointer& aVm, const std::vector<QuotaLoanRequest>& aRequests)
  {
    const Instant sent = this->Now();
    for (const QuotaLoanRequest& request : aRequests) {
      ++this->result.loanMessages;
      this->queue.After(this->PeerDelay(), [this, aVm, request, sent] {
        const VmPointer lender = this->Find(request.lender);
        if (!lender) {
          return;
        }
        ++this->result.loanMessages;
        const QuotaLoanGrant grant = lender->quotas->Lend(this->Now(), request);
        this->queue.After(this->PeerDelay(), [this, aVm, grant, sent] {
          if (aVm->isUp) {
            aVm->quotas->Borrow(this->Now(), grant, sent);
            if (grant.isTokensOnly) {
              this->AskTokens(aVm, grant.organisation);
            }
          }
        });
      });
    }
  }

  VmPointer Find(const VmId& aId) const
  {
    for (const VmPointer& vm : this->all) {
      if (vm->isUp && vm->id == aId) {
        return vm;
      }
    }
    return nullptr;
  }

  void ChangeVm()
  {
    const std::size_t place = this->nextChanged++ % this->places.size();
    const VmPointer old = this->places[place];
    switch (this->options.change) {
      case VmChange::None:
        return;
      case VmChange::Replaced: {
        // The old VM takes no callers any more, gives its shards up and is gone after 15 s.
        old->isLeaving = true;
        this->Start(place, true);
        this->queue.After(seconds(15), [old] { old->isUp = false; });
        break;
      }
      case VmChange::Restarted:
        old->isUp = false;
        this->queue.After(seconds(3), [this, place] { this->Start(place, false); });
        break;
      case VmChange::Lost:
        old->isUp = false;
        this->Start(place, true);
        return;
    }
    std::erase_if(this->all, [](const VmPointer& aVm) { return !aVm->isUp; });
    this->queue.After(kVmChangeInterval, [this] { this->ChangeVm(); });
  }

  std::size_t PlaceOfArrival(std::size_t aOrganisation)
  {
    std::size_t place = 0;
    switch (this->options.placement) {
      case CallerPlacement::AllVms:
        place = this->random.Index(this->places.size());
        break;
      case CallerPlacement::OneVm:
        place = aOrganisation % this->places.size();
        break;
      case CallerPlacement::Moving:
        place =
          (aOrganisation + static_cast<std::size_t>(this->Now().time_since_epoch() / kCallerMove)) %
          this->places.size();
        break;
    }
    // The load balancer leaves out VMs that are down.
    while (!this->places[place]->isUp) {
      place = (place + 1) % this->places.size();
    }
    return place;
  }

  void ScheduleArrival(std::size_t aOrganisation)
  {
    const double load =
      this->IsCounting() ? this->options.load : std::min(kStartLoad, this->options.load);
    const double rate = this->accounts[aOrganisation].rate * load;
    this->queue.After(this->random.Gap(rate), [this, aOrganisation] {
      this->Arrive(aOrganisation);
      this->ScheduleArrival(aOrganisation);
    });
  }

  void Arrive(std::size_t aOrganisation)
  {
    Account& account = this->accounts[aOrganisation];
    const std::size_t place = this->PlaceOfArrival(aOrganisation);
    const bool isWithinRate = account.fleet.TryTake(this->Now());
    const bool isFixedAdmitted = account.fixed[place].TryTake(this->Now());
    if (this->IsCounting()) {
      ++this->result.asked;
      ++account.asked;
      this->result.refusedByFixedShares += isWithinRate && !isFixedAdmitted ? 1 : 0;
    }
    if (this->options.hasWholeRatePerVm) {
      this->CountAdmitted(account);
      return;
    }
    const VmPointer vm = this->places[place];
    this->Judge(aOrganisation, vm, vm->quotas->Admit(this->Now(), account.name), isWithinRate);
  }

  void Judge(std::size_t aOrganisation,
             const VmPointer& aVm,
             const Outcome<Admission>& aOutcome,
             bool aIsWithinRate)
  {
    Account& account = this->accounts[aOrganisation];
    if (!aOutcome || !aVm->isUp) {
      if (this->IsCounting() && aIsWithinRate && aVm->isUp) {
        ++account.refused;
        ++this->result.refusedWithinRate;
      }
      return;
    }
    if (aOutcome->isAdmitted) {
      this->CountAdmitted(account);
      return;
    }
    this->AskTokens(aVm, account.name);
    const Admission admission = *aOutcome;
    const Duration wait = admission.waitUntil - this->Now();
    this->queue.After(wait, [this, aOrganisation, aVm, admission, aIsWithinRate] {
      const OrganisationName& name = this->accounts[aOrganisation].name;
      this->Judge(aOrganisation,
                  aVm,
                  aVm->quotas->RetryAdmission(this->Now(), name, admission),
                  aIsWithinRate);
    });
  }

  /** The bucket starts full and is allowed to go into debt, which is the excess of the worst window
      that ends now. */
  void CountAdmitted(Account& aAccount)
  {
    aAccount.allowance.Refill(this->Now());
    const double repaid = aAccount.allowance.Remove(aAccount.debt);
    aAccount.debt -= repaid;
    if (!aAccount.allowance.TryTake(this->Now())) {
      aAccount.debt += 1 - aAccount.allowance.Remove(1);
    }
    this->result.worstExcess = std::max(this->result.worstExcess, aAccount.debt);
  }

  const Deployment& deployment;
  QuotaOptions options;
  Random random;
  EventQueue queue;
  Instant countFrom = Instant::max();
  std::array<QuotaShardRow, kQuotaShardsPerCell> rows;
  std::vector<VmPointer> places;
  /** Present and leaving VMs. */
  std::vector<VmPointer> all;
  std::vector<Account> accounts;
  std::uint64_t lastVm = 0;
  std::size_t nextChanged = 0;
  QuotaResult result;
};

} // namespace

double QuotaResult::RefusedShare() const
{
  return this->asked == 0
           ? 0
           : static_cast<double>(this->refusedWithinRate) / static_cast<double>(this->asked);
}

double QuotaResult::FixedShare() const
{
  return this->asked == 0
           ? 0
           : static_cast<double>(this->refusedByFixedShares) / static_cast<double>(this->asked);
}

QuotaResult EmulateQuota(const Deployment& aDeployment, const QuotaOptions& aOptions)
{
  return Emulation(aDeployment, aOptions).Run();
}

} // namespace mustardshift::bench
