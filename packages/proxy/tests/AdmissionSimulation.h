#pragma once

#include "core/base/Instant.h"
#include "proxy/admission/ServerAdmission.h"
#include "proxy/schedule/Scheduler.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
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

/** What became of a SimulatedArrival. */
struct SimulatedEnd
{
  std::optional<Instant> startedAt;
  std::optional<AdmissionRefusalReason> refusal;
  /** The work could have started in time after the work that was ahead of it, as the server's real
      times show. */
  bool wasRefusedWrongly = false;
  bool wasRejectedAsBusy = false;
};

/** One gateway with ServerAdmission in front of a database server that runs one statement in each
    slot, in the order of arrival. Checks in each step that no more than slots + 1 statements are at
    the server, and that nothing is refused while a slot is free. */
class AdmissionSimulation
{
public:
  /** Factor on the times of the server at an instant. */
  using SlownessAt = std::function<double(Instant)>;
  /** Whether the server rejects work at an instant. */
  using IsBusyAt = std::function<bool(Instant)>;

  explicit AdmissionSimulation(unsigned aSlots);

  /** Runs until all arrivals have ended. Arrivals are ordered by time. */
  std::vector<SimulatedEnd> Run(const std::vector<SimulatedArrival>& aArrivals);

  ServerAdmission admission;
  SlownessAt slownessAt = [](Instant) { return 1.0; };
  IsBusyAt isBusyAt = [](Instant) { return false; };
  /** Sets SimulatedEnd::wasRefusedWrongly. */
  bool checksRefusals = false;
  /** Time of slots without work since this instant. */
  Instant countIdleFrom{};
  Duration idleTime{ 0 };
  /** Called after each step. */
  std::function<void(Instant)> onStep = [](Instant) {};

private:
  void Step(Instant aNow);
  void CheckRefusals(Instant aNow,
                     const std::vector<AdmissionTicket>& aOrder,
                     const AdmissionDecisions& aDecisions);
  std::map<std::size_t, Instant> RealStarts(Instant aNow,
                                            const std::vector<AdmissionTicket>& aOrder) const;
  void CountIdleTime(Instant aNow);
  void Send(Instant aNow, std::size_t aIndex);
  void RunAtServer(Instant aNow, std::size_t aIndex);
  void Answer(Instant aNow, std::size_t aIndex, AdmissionEnd aEnd);

  unsigned slots;
  const std::vector<SimulatedArrival>* arrivals = nullptr;
  std::vector<SimulatedEnd> ends;
  std::vector<Instant> sentAt;
  Scheduler scheduler;
  std::map<AdmissionTicket, std::size_t> indexOf;
  std::vector<AdmissionTicket> tickets;
  std::map<std::size_t, Instant> endsAtServer;
  Instant countedUntil{};
  std::deque<std::size_t> queueAtServer;
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
