#pragma once

#include "SimulatedServer.h"
#include "core/base/Instant.h"
#include "proxy/routing/ServerLoadView.h"
#include "proxy/routing/ServerSelector.h"
#include "proxy/schedule/Scheduler.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** One group of three servers with their gateways, in the first three failure domains, and VMs
    that send it reads and writes on reports that are 50 to 800 ms old, in virtual time. */
class SelectionSimulation
{
public:
  struct Vm
  {
    FailureDomainName domain;
    std::size_t domainIndex = 0;
    Duration reportAge{ 0 };
    ServerLoadView view;
    std::unique_ptr<ServerSelector> selector;
  };

  /** Chooses the server for a read of a VM; by default the first of ServerSelector::Rank(). */
  using Policy = std::function<std::size_t(Instant, Vm&, const SelectionRequest&)>;

  struct Settings
  {
    std::size_t vmCount = 90;
    std::size_t domainCount = 3;
    /** Demand of each failure domain, as a part of what one server serves. */
    std::vector<double> demand = { 0.5, 0.5, 0.5 };
    /** Part of the statements that only the primary, which is the first server, can run. */
    double writePart = 0.15;
    /** Part of the reads of organisations with little demand. */
    double littleDemandPart = 0.3;
    Duration length = std::chrono::seconds(30);
    unsigned seed = 1;
    Policy policy;
    /** Called every 100 ms. */
    std::function<void(Instant, SelectionSimulation&)> onTick = [](Instant, SelectionSimulation&) {
    };
  };

  /** Statements that arrived in one second, by the server to which they were sent. */
  struct Second
  {
    std::vector<double> sent = { 0, 0, 0 };
    double crossed = 0;
    double refused = 0;
    double count = 0;

    double BusiestToMean() const;
  };

  static constexpr unsigned kSlots = 4;
  /** Average time of a statement. */
  static constexpr Duration kTime = std::chrono::milliseconds(20);
  /** Statements that one server runs in a second. */
  static constexpr double kCapacity = 200;
  static constexpr Instant kBegin{ std::chrono::seconds(1000) };

  explicit SelectionSimulation(Settings aSettings);

  void Run();

  /** Sum of the seconds in [aFrom, aTo). */
  Second Sum(std::size_t aFrom, std::size_t aTo) const;
  /** Largest change from one second to the next of the part of the statements that one server
      gets, in [aFrom, aTo). */
  double LargestSwing(std::size_t aFrom, std::size_t aTo) const;
  /** Percentile of the time from arrival to start, in milliseconds, of reads in [aFrom, aTo). */
  double StartPercentile(double aPart, std::size_t aFrom, std::size_t aTo) const;

  Settings settings;
  std::vector<std::unique_ptr<Vm>> vms;
  std::vector<std::unique_ptr<SimulatedServer>> servers;
  /** Servers that are out of service. */
  std::vector<bool> isOut = { false, false, false };
  /** Failure domains that have no connection to the others. */
  std::vector<bool> isCutOff = { false, false, false, false };
  std::vector<bool> isEjected = { false, false, false };
  std::vector<Second> seconds;
  /** Rules that the servers' gateways broke; empty in a correct run. */
  std::vector<std::string> violations;

private:
  void ScheduleArrival(Instant aNow, std::size_t aDomain);
  void Arrive(Instant aNow, Vm& aVm);
  SelectionRequest MakeRequest(const Vm& aVm);
  void PublishLoads(Instant aNow);
  bool Reaches(const Vm& aVm, std::size_t aServer) const;

  std::mt19937 random;
  Scheduler scheduler;
  struct Start
  {
    std::size_t second = 0;
    double waitMs = 0;
  };
  std::vector<Start> starts;
};

/** Sends reads home unless the wait there is longer than elsewhere by more than three crossings. */
SelectionSimulation::Policy HomeWithThreshold();

/** Sends reads to all servers in proportion to their free part. */
SelectionSimulation::Policy SharesByLoad();

} // namespace mustardshift::proxy
