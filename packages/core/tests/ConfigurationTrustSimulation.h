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

/** Faults that the simulation can inject into all VMs, to verify that its check detects them. */
enum class ConfigurationTrustFault
{
  None,
  /** A newly registered VM accepts changes before the other VMs know of it. */
  AcceptsBeforePeersKnow,
  /** A read confirms the configuration as of the arrival of its answer, not as of its sending. */
  ConfirmsFromResponseTime,
  /** The age of a peer's confirmation counts from the arrival of its report, not from the sending
      of the ping. */
  PeerAgeFromArrival,
  /** A VM doesn't report that it sent a change whose result is unknown. */
  HidesUnresolvedChange,
  /** A registration is removed before its lease has expired. */
  RemovesRunningLease,
};

/** Simulates VMs and the platform's table in virtual time: operators' changes, pings,
    registrations, VMs that crash, restart and pause, partitions, outages of the table, lost, late
    and repeated messages, and clocks whose rates differ by up to 0.9 %. Checks that no VM trusts a
    version for longer than the bound after a later version was accepted. */
class ConfigurationTrustSimulation
{
public:
  /** @param aFault  fault in the VMs' code.
      @param aInjectsRandomFaults  whether messages, VMs, links and the table fail at random; if
                                   false, only the test itself causes failures. */
  ConfigurationTrustSimulation(std::uint64_t aSeed,
                               unsigned aVmCount,
                               ConfigurationTrustFault aFault,
                               bool aInjectsRandomFaults);

  /** Advances the simulation by aLength, or until the first violation. Returns a description of the
      violation, or an empty text. */
  std::string Run(Duration aLength);

  void SetTableDown(bool aIsDown) { this->isTableDown = aIsDown; }
  /** Stops the submission of further changes. Changes in flight continue. */
  void StopChanges() { this->submitsChanges = false; }
  /** Cuts the connection between two failure domains, in both directions. */
  void Partition(unsigned aFirst, unsigned aSecond)
  {
    this->isPartitioned[aFirst][aSecond] = this->isPartitioned[aSecond][aFirst] = true;
  }
  unsigned CountTrustingVms() const;
  std::uint64_t AcceptedChangeCount() const { return this->head; }
  /** Number of times that a VM trusted its configuration although the table had answered nothing
      for longer than the bound. */
  std::uint64_t OutageTrustCount() const { return this->outageTrustCount; }

private:
  static constexpr unsigned kFailureDomains = 4;

  struct Vm
  {
    VmId id;
    unsigned failureDomain = 0;
    bool isUp = false;
    /** Number of the VM's current process. Messages to an earlier process are discarded. */
    std::uint64_t process = 0;
    std::uint64_t incarnation = 0;
    bool isRegistered = false;
    std::uint64_t rowVersion = 0;
    Instant pausedUntil{};
    std::int64_t driftPerMillion = 0;
    Duration offset{ 0 };
    std::optional<ConfigurationTrust> trust;
  };
  /** Registration row of a VM in the table. */
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
  /** Orders events by time, and by number at the same time, so that runs are reproducible. */
  struct IsLaterEvent
  {
    bool operator()(const Event& aFirst, const Event& aSecond) const
    {
      return aFirst.at != aSecond.at ? aFirst.at > aSecond.at : aFirst.number > aSecond.number;
    }
  };

  bool OneIn(unsigned aCount) { return this->random() % aCount == 0; }
  Duration RandomDuration(Duration aMaximum);
  void Schedule(Duration aDelay, std::function<void()> aAction);
  /** Runs aAction at a VM after aDelay, unless its current process has stopped by then. A paused VM
      runs it when it resumes. */
  void Deliver(std::size_t aVm, Duration aDelay, std::function<void()> aAction);
  Duration MessageDelay();
  /** Returns the current time on a VM's clock. */
  Instant LocalTime(const Vm& aVm) const;
  /** Sends a request to the table. Unless the request or its answer is lost, runs aServe at the
      table and then the function that it returns at the VM. */
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
  /** When each version was accepted. Version 1 exists from the start. */
  std::vector<Instant> acceptedAt;
  std::array<std::array<bool, kFailureDomains>, kFailureDomains> isPartitioned{};
  std::array<bool, kFailureDomains> isPartitionedFromTable{};
  bool isTableDown = false;
  bool submitsChanges = true;
  Instant lastServedAt{};
  std::priority_queue<Event, std::vector<Event>, IsLaterEvent> events;
  std::uint64_t lastEventNumber = 0;
  Instant now{ std::chrono::seconds(1000) };
  std::string violation;
  std::uint64_t outageTrustCount = 0;
};

} // namespace mustardshift::test
