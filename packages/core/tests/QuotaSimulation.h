#pragma once

#include "core/base/Instant.h"
#include "core/lease/QuotaShardHolder.h"
#include "core/rate/OrganisationQuotaTable.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace mustardshift::test {

/** Faults that a simulation can inject into all VMs, to verify that its checks detect them. */
enum class QuotaFault
{
  None,
  /** A gained shard adds a full bucket of tokens. */
  FullBucketForGainedShard,
  /** A lease is counted from the reply, or from reading the row back, instead of from before the
      write was sent. */
  LeaseFromReplyTime,
  /** A loan is counted from the arrival of the grant instead of from before the request was
      sent. */
  LoanFromReplyTime,
  /** A shard is released while loans made from it are still running. */
  ReleaseDuringLoans,
  /** A restarted process takes over the shards of the earlier process of its VM while loans of that
      process are still running. */
  EarlyTakeover,
};

/** Simulates the VMs of one or several cells and the table of shards in virtual time. VMs join,
    crash, leave, restart with the same id, and pause. Failure domains are partitioned from each
    other and from the table. Messages and replies are lost, duplicated and delayed. Clocks drift by
    up to 0.9 % against each other. Each VM takes every token that it is granted while it has
    demand. */
class QuotaSimulation
{
public:
  QuotaSimulation(std::uint64_t aSeed, unsigned aVmCount, QuotaFault aFault);

  /** Runs for aLength of virtual time. Returns a description of the first violation, or an empty
      text. */
  std::string Run(Duration aLength);

  std::uint64_t AdmittedCount() const { return this->admitted; }
  std::uint64_t LoanCount() const { return this->loansTaken; }
  std::uint64_t TakeoverCount() const { return this->takeovers; }

private:
  static constexpr unsigned kFailureDomains = 4;
  static constexpr unsigned kConnectionLimit = 20;
  static constexpr double kRatePerCell = 12;
  static constexpr double kBurstPerCell = 120;

  struct Vm
  {
    VmId id;
    unsigned cell = 0;
    unsigned failureDomain = 0;
    bool isUp = false;
    bool isLeaving = false;
    bool hasDemand = false;
    std::uint64_t incarnation = 0;
    Instant pausedUntil{};
    std::int64_t driftPerMillion = 0;
    Duration offset{ 0 };
    std::optional<QuotaShardHolder> holder;
    std::unique_ptr<OrganisationQuotaTable> quotas;
    std::size_t shardCount = 0;
  };
  struct Event
  {
    Instant at;
    std::uint64_t number;
    std::function<void()> action;
  };
  struct IsLaterEvent
  {
    bool operator()(const Event& aFirst, const Event& aSecond) const
    {
      return aFirst.at != aSecond.at ? aFirst.at > aSecond.at : aFirst.number > aSecond.number;
    }
  };
  using Rows = std::array<QuotaShardRow, kQuotaShardsPerCell>;

  bool OneIn(unsigned aCount) { return this->random() % aCount == 0; }
  Duration RandomDuration(Duration aMinimum, Duration aMaximum);
  void Schedule(Duration aDelay, std::function<void()> aAction);
  void ScheduleOnVm(std::size_t aVm, Duration aDelay, std::function<void()> aAction);
  Duration MessageDelay();
  Instant LocalTime(const Vm& aVm) const;
  bool ReachesTable(const Vm& aVm) const;

  void StartVm(std::size_t aVm);
  void InjectRandomFault();
  void Tick(std::size_t aVm);
  void ReadRows(std::size_t aVm);
  void PlanShards(std::size_t aVm);
  void SendWrite(std::size_t aVm, const QuotaShardWrite& aWrite);
  void HandleReply(std::size_t aVm, const QuotaShardWrite& aWrite, bool aIsCommitted);
  void SetShards(Vm& aVm);
  void RequestLoans(std::size_t aVm);
  void Admit(Vm& aVm);
  void CountAdmission();
  void CheckUnits();
  void CheckConnections();

  std::mt19937_64 random;
  QuotaFault fault;
  OrganisationName organisation{ "organisation" };
  std::vector<Vm> vms;
  std::vector<Rows> cells;
  std::array<std::array<bool, kFailureDomains>, kFailureDomains> isPartitioned{};
  std::array<bool, kFailureDomains> isTableUnreachable{};
  bool isTableDown = false;
  /** Maximum time between two injected faults; if it is long, leases can expire. */
  Duration maxFaultInterval{ 0 };
  std::priority_queue<Event, std::vector<Event>, IsLaterEvent> events;
  std::uint64_t lastEventNumber = 0;
  Instant now{ std::chrono::seconds(1000) };
  std::string violation;
  /** Tokens of the reference bucket that checks the admissions of all VMs. It starts empty, as all
      VMs do, which is stricter than allowing the rate and a full burst. */
  double referenceTokens = 0;
  Instant referenceUpdatedAt{ std::chrono::seconds(1000) };
  std::uint64_t admitted = 0;
  std::uint64_t loansTaken = 0;
  std::uint64_t takeovers = 0;
};

} // namespace mustardshift::test
