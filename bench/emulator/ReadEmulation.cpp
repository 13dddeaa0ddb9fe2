#include "emulator/ReadEmulation.h"

#include "core/routing/FreshnessTracker.h"
#include "core/routing/ReadRouter.h"
#include "core/session/SessionToken.h"
#include "emulator/EventQueue.h"
#include "emulator/Random.h"

#include <algorithm>
#include <memory>
#include <set>
#include <variant>
#include <vector>

namespace mustardshift::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kTerm = 1;
constexpr Duration kProbeInterval = milliseconds(200);
constexpr Duration kMeanPause = milliseconds(400);
constexpr Duration kAtOnce = milliseconds(5);
constexpr double kWriteShare = 0.1;
constexpr double kReadAtOnceShare = 0.3;
/** Freshness bounds of the routes, each for a third of the reads; the first two are those of the
    schema files in examples/. */
constexpr std::array<Duration, 3> kFreshness{ milliseconds(250), seconds(2), seconds(60) };
constexpr Duration kPrimaryAfterWrite = seconds(1);
constexpr Duration kReadDeadline = seconds(5);
/** Writes before the start, so that a replica that is minutes behind has something to lack. */
constexpr Duration kPast = seconds(400);
constexpr std::size_t kReplicas = 2;
constexpr std::size_t kDomains = 4;
/** Within a failure domain, one way. */
constexpr Duration kLocalLatency{ 100 };

class Emulation
{
public:
  Emulation(const Deployment& aDeployment, const ReadOptions& aOptions)
    : deployment(aDeployment)
    , options(aOptions)
    , random(aOptions.seed)
    , router(ReadRouterSettings{ .replicaWaitBound = milliseconds(20) })
  {
    const double writesPerSecond = this->options.sessions * kWriteShare / 0.45;
    for (Duration age = kPast; age > Duration(0); age -= this->random.Gap(writesPerSecond)) {
      this->commits.push_back(this->Now() - age);
    }
    for (std::size_t index = 0; index < this->options.vms; ++index) {
      this->vms.push_back(std::make_unique<Vm>());
      Vm& vm = *this->vms.back();
      vm.domain = index % kDomains;
      for (std::size_t replica = 0; replica < kReplicas; ++replica) {
        ReplicaView& view = vm.views[replica];
        view.address = AddressOf(replica);
        view.isLocal = DomainOfReplica(replica) == vm.domain;
        view.history = TermHistory({ { kTerm, 0 } });
      }
    }
  }

  ReadResult Run()
  {
    for (const auto& vm : this->vms) {
      const Duration phase = this->random.Between(Duration(0), kProbeInterval);
      this->queue.After(phase, [this, vm = vm.get()] {
        this->queue.Every(kProbeInterval, [this, vm] {
          this->Probe(*vm);
          return true;
        });
      });
    }
    for (std::size_t index = 0; index < this->options.sessions; ++index) {
      this->sessions.push_back(std::make_unique<Session>());
      this->Continue(*this->sessions.back(), false);
    }
    this->countFrom = this->Now() + seconds(5);
    this->queue.RunUntil(this->countFrom + this->options.length);
    return std::move(this->result);
  }

private:
  struct Vm
  {
    std::size_t domain = 0;
    std::array<ReplicaView, kReplicas> views;
    FreshnessTracker freshness{ seconds(300), 2048 };
  };

  struct Session
  {
    SessionToken token{ OrganisationName("organisation") };
    /** Kept apart from the token, to check what the router made of it. */
    std::uint64_t seen = 0;
    Instant lastWrite{};
  };

  struct Read
  {
    Session* session = nullptr;
    Vm* vm = nullptr;
    Instant started;
    LogPosition floor;
    bool mustReadAtPrimary = false;
    std::set<ServerAddress> failed;
  };
  using ReadPointer = std::shared_ptr<Read>;

  static ServerAddress AddressOf(std::size_t aReplica)
  {
    return ServerAddress("replica-" + std::to_string(aReplica));
  }
  static std::size_t DomainOfReplica(std::size_t aReplica) { return aReplica + 1; }
  static std::size_t IndexOf(const ServerAddress& aAddress)
  {
    return static_cast<std::size_t>(aAddress.Text().back() - '0');
  }

  Instant Now() const { return this->queue.Now(); }
  std::uint64_t PrimaryOffset() const { return this->commits.size(); }

  std::uint64_t OffsetOf(std::size_t aReplica) const
  {
    const Instant until = this->Now() - this->options.lags[aReplica];
    return static_cast<std::uint64_t>(
      std::upper_bound(this->commits.begin(), this->commits.end(), until) - this->commits.begin());
  }

  Duration Way(std::size_t aVmDomain, std::size_t aServerDomain)
  {
    const Duration base =
      aVmDomain == aServerDomain ? kLocalLatency : this->deployment.domainLatency;
    return base + this->random.Between(Duration(0), base / 5);
  }

  void Continue(Session& aSession, bool aAfterWrite)
  {
    const bool isAtOnce = aAfterWrite && this->random.Chance(kReadAtOnceShare);
    const Duration pause =
      isAtOnce ? kAtOnce : this->random.Gap(1e6 / static_cast<double>(kMeanPause.count()));
    this->queue.After(pause + this->deployment.clientLatency, [this, &aSession, isAtOnce] {
      Vm& vm = *this->vms[this->random.Index(this->vms.size())];
      if (!isAtOnce && this->random.Chance(kWriteShare)) {
        this->Write(aSession, vm);
      } else {
        this->StartRead(aSession, vm);
      }
    });
  }

  void Write(Session& aSession, Vm& aVm)
  {
    const Instant sent = this->Now();
    this->queue.After(this->Way(aVm.domain, 0), [this, &aSession, &aVm, sent] {
      this->commits.push_back(this->Now());
      const LogPosition position{ kTerm, this->PrimaryOffset() };
      this->queue.After(this->Way(aVm.domain, 0), [this, &aSession, &aVm, sent, position] {
        this->Confirm(aVm, sent, position, [this, &aSession, position] {
          aSession.token.ObserveWrite(this->database, position);
          aSession.seen = std::max(aSession.seen, position.offset);
          aSession.lastWrite = this->Now();
          this->result.writes += this->Now() >= this->countFrom ? 1 : 0;
          this->queue.After(this->deployment.clientLatency,
                            [this, &aSession] { this->Continue(aSession, true); });
        });
      });
    });
  }

  /** Asks both replicas to wait for a position; goes on at the first answer. */
  void Confirm(Vm& aVm, Instant aSent, LogPosition aPosition, std::function<void()> aDone)
  {
    const auto done = std::make_shared<std::function<void()>>(std::move(aDone));
    for (std::size_t replica = 0; replica < kReplicas; ++replica) {
      const Duration way = this->Way(aVm.domain, DomainOfReplica(replica));
      const Instant holds = this->commits[aPosition.offset - 1] + this->options.lags[replica];
      const Duration wait = std::max(way, holds - this->Now()) + way;
      this->queue.After(wait, [this, &aVm, replica, aSent, aPosition, done] {
        // The replica held at least this when it answered.
        this->ObserveReplica(aVm, replica, aSent, aPosition.offset);
        if (*done) {
          aVm.freshness.Observe(aSent, aPosition);
          std::exchange(*done, nullptr)();
        }
      });
    }
  }

  void Probe(Vm& aVm)
  {
    const Instant sent = this->Now();
    for (std::size_t replica = 0; replica < kReplicas; ++replica) {
      const Duration way = this->Way(aVm.domain, DomainOfReplica(replica));
      this->queue.After(way, [this, &aVm, replica, sent, way] {
        const std::uint64_t offset = this->OffsetOf(replica);
        this->queue.After(way, [this, &aVm, replica, sent, offset] {
          this->ObserveReplica(aVm, replica, sent, offset);
        });
      });
    }
    const Duration way = this->Way(aVm.domain, 0);
    this->queue.After(way, [this, &aVm, sent, way] {
      const LogPosition position{ kTerm, this->PrimaryOffset() };
      this->queue.After(way, [&aVm, sent, position] { aVm.freshness.Observe(sent, position); });
    });
  }

  void ObserveReplica(Vm& aVm, std::size_t aReplica, Instant aSent, std::uint64_t aOffset)
  {
    ReplicaView& view = aVm.views[aReplica];
    if (aSent < view.observedAt && aOffset <= view.position.offset) {
      return;
    }
    view.acceptedTerm = kTerm;
    view.position = std::max(view.position, LogPosition{ kTerm, aOffset });
    view.observedAt = std::max(view.observedAt, aSent);
    if (this->options.hasLagEstimate) {
      // The primary's position of that age is what the replica holds now.
      Duration lag = this->Now() - this->commits[aOffset == 0 ? 0 : aOffset - 1];
      lag = aOffset >= this->PrimaryOffset() ? Duration(0) : lag;
      view.estimatedLag = lag;
    }
  }

  void StartRead(Session& aSession, Vm& aVm)
  {
    const auto read = std::make_shared<Read>();
    read->session = &aSession;
    read->vm = &aVm;
    read->started = this->Now() - this->deployment.clientLatency;
    if (this->options.policy == ReadPolicy::PrimaryAfterWrite) {
      if (this->Now() - aSession.lastWrite < kPrimaryAfterWrite) {
        this->ReadPrimary(read);
      } else {
        this->ReadReplica(read, this->random.Index(kReplicas), Duration(0));
      }
      return;
    }
    if (this->options.policy == ReadPolicy::Router) {
      read->floor = aSession.token.MinimumPositionFor(this->database);
    }
    const Duration age = kFreshness[this->random.Index(kFreshness.size())];
    const auto floor = aVm.freshness.MinimumPositionFor(age, this->Now());
    read->mustReadAtPrimary = !floor;
    read->floor = std::max(read->floor, floor.value_or(LogPosition{}));
    this->Plan(read);
  }

  void Plan(const ReadPointer& aRead)
  {
    ReadRequirement requirement;
    requirement.minimumPosition = aRead->floor;
    requirement.mustReadAtPrimary = aRead->mustReadAtPrimary;
    requirement.term = kTerm;
    requirement.primary = ServerAddress("primary");
    requirement.deadline = aRead->started + kReadDeadline;
    std::vector<ReplicaView> views;
    for (const ReplicaView& view : aRead->vm->views) {
      if (!aRead->failed.contains(view.address)) {
        views.push_back(view);
      }
    }
    const ReadPlan plan = this->router.Plan(requirement, views, this->Now(), this->random.Engine());
    if (const auto* replica = std::get_if<ReadAtReplica>(&plan)) {
      this->ReadReplica(aRead, IndexOf(replica->replica), Duration(0));
    } else if (const auto* wait = std::get_if<WaitAtReplica>(&plan)) {
      this->result.waits += 1;
      this->ReadReplica(aRead, IndexOf(wait->replica), wait->bound);
    } else if (std::holds_alternative<ReadAtPrimary>(plan)) {
      this->ReadPrimary(aRead);
    } else {
      this->Finish(aRead, aRead->session->seen, false);
    }
  }

  void ReadReplica(const ReadPointer& aRead, std::size_t aReplica, Duration aWaitBound)
  {
    const Instant sent = this->Now();
    const Duration way = this->Way(aRead->vm->domain, DomainOfReplica(aReplica));
    ++aRead->vm->views[aReplica].outstanding;
    // The replica's wait for the floor; what is beyond the bound ends in a refusal.
    Duration wait(0);
    if (aWaitBound > Duration(0) && aRead->floor.offset > 0) {
      const Instant holds = this->commits[aRead->floor.offset - 1] + this->options.lags[aReplica];
      wait = std::clamp(holds - this->Now() - way, Duration(0), aWaitBound);
    }
    this->queue.After(way + wait, [this, aRead, aReplica, sent, way] {
      const std::uint64_t offset = this->OffsetOf(aReplica);
      this->queue.After(way, [this, aRead, aReplica, sent, offset] {
        --aRead->vm->views[aReplica].outstanding;
        this->ObserveReplica(*aRead->vm, aReplica, sent, offset);
        if (this->options.policy != ReadPolicy::PrimaryAfterWrite && offset < aRead->floor.offset) {
          ++this->result.failedWaits;
          aRead->failed.insert(AddressOf(aReplica));
          this->Plan(aRead);
          return;
        }
        this->Finish(aRead, offset, true);
      });
    });
  }

  void ReadPrimary(const ReadPointer& aRead)
  {
    const Instant sent = this->Now();
    const Duration way = this->Way(aRead->vm->domain, 0);
    this->queue.After(way, [this, aRead, sent, way] {
      const LogPosition position{ kTerm, this->PrimaryOffset() };
      this->queue.After(way, [this, aRead, sent, position] {
        this->Confirm(*aRead->vm, sent, position, [this, aRead, position] {
          this->Finish(aRead, position.offset, false);
        });
      });
    });
  }

  void Finish(const ReadPointer& aRead, std::uint64_t aOffset, bool aIsReplica)
  {
    Session& session = *aRead->session;
    if (this->Now() >= this->countFrom) {
      ++this->result.reads;
      this->result.replicaReads += aIsReplica ? 1 : 0;
      this->result.staleReads += aOffset < session.seen ? 1 : 0;
      this->result.latencies.Add(this->Now() + this->deployment.clientLatency - aRead->started);
    }
    session.token.ObserveRead(this->database, { kTerm, aOffset });
    session.seen = std::max(session.seen, aOffset);
    this->queue.After(this->deployment.clientLatency,
                      [this, &session] { this->Continue(session, false); });
  }

  const Deployment& deployment;
  ReadOptions options;
  Random random;
  EventQueue queue;
  ReadRouter router;
  DatabaseName database{ "bookings" };
  Instant countFrom = Instant::max();
  /** When the primary wrote each entry of its log. */
  std::vector<Instant> commits;
  std::vector<std::unique_ptr<Vm>> vms;
  std::vector<std::unique_ptr<Session>> sessions;
  ReadResult result;
};

} // namespace

ReadResult EmulateReads(const Deployment& aDeployment, const ReadOptions& aOptions)
{
  return Emulation(aDeployment, aOptions).Run();
}

} // namespace mustardshift::bench
