#pragma once

#include "SimulatedServer.h"
#include "core/base/Instant.h"
#include "proxy/schedule/Scheduler.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** Work that arrives at a simulated gateway. */
struct SimulatedArrival
{
  Instant at{};
  AdmissionRequest request;
  /** Time that the server takes for it. */
  Duration serverTime{ 0 };
};

/** Arrivals at one SimulatedServer in virtual time. */
class AdmissionSimulation
{
public:
  explicit AdmissionSimulation(unsigned aSlots)
    : server(this->scheduler, aSlots)
  {
  }

  /** Runs until all arrivals have ended. Arrivals are ordered by time. */
  std::vector<SimulatedEnd> Run(const std::vector<SimulatedArrival>& aArrivals);

private:
  Scheduler scheduler;

public:
  SimulatedServer server;
  /** Called before each event. */
  std::function<void(Instant)> onEvent = [](Instant) {};
};

/** A stream of statements of one organisation with random times. */
struct SimulatedStream
{
  std::string organisation;
  unsigned priority = 0;
  double ratePerSecond = 0;
  /** Average time of the server; single ones lie between a third and five thirds of it. */
  Duration averageTime = std::chrono::milliseconds(20);
  /** From the arrival to the latest start. */
  Duration timeLeft = std::chrono::milliseconds(400);
  Instant begin{};
  Instant end{};
};

/** Random arrivals of several streams, ordered by time. */
std::vector<SimulatedArrival> MakeArrivals(const std::vector<SimulatedStream>& aStreams,
                                           std::mt19937& aRandom);

} // namespace mustardshift::proxy
