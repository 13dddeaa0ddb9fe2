#pragma once

#include "core/base/Instant.h"
#include "core/configuration/ConfigurationTrust.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace mustardshift::test {

/** Faults that a history can build into all VMs, to show that its checker notices them. */
enum class ConfigurationTrustFault
{
  None,
  /** A newly registered VM accepts changes before the others know of it. */
  AcceptsBeforePeersKnow,
  /** A read confirms the configuration as of its answer. */
  ConfirmsFromResponseTime,
  /** A peer's confirmation counts from the arrival of its report. */
  PeerAgeFromArrival,
  /** A VM hides that it sent a change of unknown fate. */
  HidesUnresolvedChange,
  /** A registration is removed while its lease runs. */
  RemovesRunningLease,
};

/** Runs VMs against a table in virtual time: operators' changes, pings, registrations, VMs that
    die, restart and pause, partitions, table outages, lost, late and repeated messages, and clocks
    that run up to 0.9 % apart. Checks that no VM trusts a version for longer than the bound after a
    later one was accepted. */
class ConfigurationTrustSimulation
{
public:
  /** @param aInjectsRandomFaults  false: nothing fails but what the test itself sets. */
  ConfigurationTrustSimulation(std::uint64_t aSeed,
                               unsigned aVmCount,
                               ConfigurationTrustFault aFault,
                               bool aInjectsRandomFaults);

  /** Runs for aLength. Returns what was violated first, or an empty text. */
  std::string Run(Duration aLength);

  void SetTableDown(bool aIsDown) { this->isTableDown = aIsDown; }
  void StopChanges() { this->isChanging = false; }
  void Partition(unsigned aOne, unsigned aTwo)
  {
    this->isPartitioned[aOne][aTwo] = this->isPartitioned[aTwo][aOne] = true;
  }
  unsigned CountTrustingVms() const;
  std::uint64_t AcceptedChangeCount() const { return this->head; }
  /** Times that a VM was found trusting while no read of any VM could confirm its version. */
  std::uint64_t OutageTrustCount() const { return this->outageTrustCount; }

private:
  static constexpr unsigned kFailureDomains = 4;

  struct Vm
  {
    VmId id;
    unsigned failureDomain = 0;
    bool isUp = false;
    /** Number of the process, for messages that arrive after a restart. */
    std::uint64_t process = 0;
    std::uint64_t incarnation = 0;
    bool isRegistered = false;
    std::uint64_t rowVersion = 0;
    Instant pausedUntil{};
    std::int64_t driftPerMillion = 0;
    Duration offset{ 0 };
    std::optional<ConfigurationTrust> trust;
  };
  struct Row
  {
    std::uint64_t version = 0;
    std::uint64_t incarnation = 0;
  };
  struct Event
  {
    Instant at;
    std::uint64_t number;
    std::function<void()> action;
  };
  struct LaterEvent
  {
    bool operator()(const Event& aOne, const Event& aTwo) const
    {
      return aOne.at != aTwo.at ? aOne.at > aTwo.at : aOne.number > aTwo.number;
    }
  };

  bool OneIn(unsigned aCount) { return this->random() % aCount == 0; }
  Duration RandomDuration(Duration aMaximum);
  void Schedule(Duration aDelay, std::function<void()> aAction);
  void Deliver(std::size_t aVm, Duration aDelay, std::function<void()> aAction);
  Duration MessageDelay();
  Instant LocalTime(const Vm& aVm) const;
  /** Runs aServe at the table and, unless something is lost, what it returns at the VM. */
  void CallTable(std::size_t aVm, Duration aDelay, std::function<std::function<void()>()> aServe);

  void StartProcess(std::size_t aVm);
  void InjectRandomFault();
  void Tick(std::size_t aVm);
  void Ping(std::size_t aVm);
  void ReadHead(std::size_t aVm);
  void ReadRegistrations(std::size_t aVm);
  void Register(std::size_t aVm);
  void SubmitChange(std::size_t aVm);
  void CheckTrust(const Vm& aVm);

  std::mt19937_64 random;
  ConfigurationTrustFault fault;
  bool injectsRandomFaults;
  std::vector<Vm> vms;
  std::map<VmId, Row> rows;
  std::uint64_t lastRowVersion = 0;
  std::uint64_t head = 1;
  /** When each version was accepted; version 1 stands from the start. */
  std::vector<Instant> acceptedAt;
  std::array<std::array<bool, kFailureDomains>, kFailureDomains> isPartitioned{};
  std::array<bool, kFailureDomains> isPartitionedFromTable{};
  bool isTableDown = false;
  bool isChanging = true;
  Instant lastServedAt{};
  std::priority_queue<Event, std::vector<Event>, LaterEvent> events;
  std::uint64_t lastEvent = 0;
  Instant now{ std::chrono::seconds(1000) };
  std::string violation;
  std::uint64_t outageTrustCount = 0;
};

} // namespace mustardshift::test
