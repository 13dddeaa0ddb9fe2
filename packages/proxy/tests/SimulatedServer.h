#pragma once

#include "core/base/Instant.h"
#include "proxy/admission/ServerAdmission.h"
#include "proxy/schedule/Scheduler.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** What became of work at a SimulatedServer. */
struct SimulatedEnd
{
  std::optional<Instant> startedAt;
  std::optional<AdmissionRefusalReason> refusal;
  AdmissionEnd end = AdmissionEnd::Unused;
  /** The work could have started in time after the work that was ahead of it, as the server's
      real times show. */
  bool wasRefusedWrongly = false;
};

/** A gateway with ServerAdmission in front of a database server that runs one statement in each
    slot, in the order of arrival. Checks in each step that no more than slots + 1 statements
    are at the server, and that nothing is refused while a slot is free. */
class SimulatedServer
{
public:
  using Handler = std::function<void(Instant, const SimulatedEnd&)>;

  /** Precondition: the scheduler outlives the server. */
  SimulatedServer(Scheduler& aScheduler, unsigned aSlots);
  SimulatedServer(const SimulatedServer&) = delete;
  SimulatedServer& operator=(const SimulatedServer&) = delete;
  ~SimulatedServer() = default;

  /** Hands work to the gateway. The handler is called once.
      @param aServerTime  time that the server takes for it.
      @param aOpenTime  time that the server takes before that to open a connection. */
  void Submit(Instant aNow,
              const AdmissionRequest& aRequest,
              Duration aServerTime,
              Handler aHandler,
              Duration aOpenTime = Duration::zero());

  /** Rules that were broken; empty in a correct run. */
  std::vector<std::string> violations;
  ServerAdmission admission;
  /** Factor on the times of the server. */
  double slowness = 1;
  /** The server rejects all work. */
  bool isBusy = false;
  /** The server fails work, as a random number decides. */
  std::function<bool()> fails = [] { return false; };
  /** Sets SimulatedEnd::wasRefusedWrongly. */
  bool checksRefusals = false;
  /** Time of slots without work since countIdleFrom. */
  Instant countIdleFrom{};
  Duration idleTime{ 0 };
  /** Statements that were sent to the server. */
  std::size_t startedCount = 0;

private:
  struct Work
  {
    AdmissionRequest request;
    Duration serverTime{ 0 };
    Duration openTime{ 0 };
    Handler handler;
    SimulatedEnd end;
  };

  void Step(Instant aNow);
  void Check(bool aIsRight, const char* aRule);
  void ArmTimer();
  void MarkWrongRefusals(Instant aNow,
                         const std::vector<AdmissionTicket>& aOrder,
                         const AdmissionDecisions& aDecisions);
  std::map<AdmissionTicket, Instant> RealStarts(Instant aNow,
                                                const std::vector<AdmissionTicket>& aOrder) const;
  void CountIdleTime(Instant aNow);
  void Send(Instant aNow, AdmissionTicket aTicket);
  void RunAtServer(Instant aNow, AdmissionTicket aTicket);
  void Answer(Instant aNow, AdmissionTicket aTicket, AdmissionEnd aEnd);

  Scheduler& scheduler;
  unsigned slots;
  std::map<AdmissionTicket, Work> work;
  std::map<AdmissionTicket, Instant> endsAtServer;
  std::deque<AdmissionTicket> queueAtServer;
  Instant countedUntil{};
  std::optional<Scheduler::TaskId> timer;
};

} // namespace mustardshift::proxy
