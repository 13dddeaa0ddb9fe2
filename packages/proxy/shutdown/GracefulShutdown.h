#pragma once

#include "core/base/Instant.h"
#include "proxy/log/EventLog.h"
#include "proxy/schedule/Scheduler.h"
#include "proxy/shutdown/ShutdownSchedule.h"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace mustardshift::proxy {

/** The client sessions of a VM, as a planned stop needs them. */
template<class Sessions>
concept StoppableSessions = requires(Sessions aSessions, Instant aNow)
{
  /** Closes idle sessions now, and each other one when a reply leaves it idle. */
  aSessions.CloseIdle();
  /** Refuses all statements from now on. */
  aSessions.RefuseStatements();
  /** Answers all statements that are still running. */
  aSessions.AnswerRunningStatements(aNow);
  /** Number of clients that expect an answer, or have not received all of one. */
  {
    aSessions.PendingClientCount()
    } -> std::convertible_to<std::size_t>;
};

/** Stops a VM so that each request that it has accepted is answered: refuses new statements some
    time before the exit, and delays the exit until the accepted ones are answered.

    Thread safety: none; one thread owns the object. */
template<StoppableSessions Sessions>
class GracefulShutdown
{
public:
  /** Interval between checks for idle sessions. */
  static constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(200);
  /** Interval between checks whether all answers have been sent, once the exit is due. */
  static constexpr Duration kPendingCheckInterval = std::chrono::milliseconds(10);

  /** All references have to outlive the object.
      @param aExit  ends the process; called once. */
  GracefulShutdown(Sessions& aSessions,
                   Scheduler& aScheduler,
                   EventLog& aLog,
                   std::function<void()> aExit)
    : sessions(aSessions)
    , scheduler(aScheduler)
    , log(aLog)
    , exit(std::move(aExit))
  {
  }
  GracefulShutdown(const GracefulShutdown&) = delete;
  GracefulShutdown& operator=(const GracefulShutdown&) = delete;
  ~GracefulShutdown() = default;

  /** Starts the stop. Further calls have no effect.
      @param aGracePeriod  time after which the process is killed. */
  void Begin(Instant aNow, Duration aGracePeriod)
  {
    if (std::exchange(this->hasBegun, true)) {
      return;
    }
    this->schedule = MakeShutdownSchedule(aNow, aGracePeriod);
    this->scheduler.Schedule(this->schedule.closeIdleAt,
                             [this](Instant aThen) { this->CloseIdle(aThen); });
    this->scheduler.Schedule(this->schedule.refuseAt, [this](Instant aThen) {
      this->log.WriteAlways(aThen, "shutdown", "refusing", { { "pending", this->PendingText() } });
      this->sessions.RefuseStatements();
    });
    this->scheduler.Schedule(this->schedule.exitAt,
                             [this](Instant aThen) { this->ExitWhenAnswered(aThen); });
    this->scheduler.Schedule(this->schedule.answerAt, [this](Instant aThen) {
      this->log.WriteAlways(aThen, "shutdown", "answering", { { "pending", this->PendingText() } });
      this->sessions.AnswerRunningStatements(aThen);
    });
  }

  bool HasBegun() const { return this->hasBegun; }

private:
  std::string PendingText() { return std::to_string(this->sessions.PendingClientCount()); }

  void CloseIdle(Instant aNow)
  {
    this->sessions.CloseIdle();
    if (aNow < this->schedule.exitAt) {
      this->scheduler.Schedule(std::min(this->schedule.exitAt, aNow + kIdleCheckInterval),
                               [this](Instant aThen) { this->CloseIdle(aThen); });
    }
  }

  void ExitWhenAnswered(Instant aNow)
  {
    if (this->sessions.PendingClientCount() > 0 && aNow < this->schedule.forcedExitAt) {
      this->scheduler.Schedule(std::min(this->schedule.forcedExitAt, aNow + kPendingCheckInterval),
                               [this](Instant aThen) { this->ExitWhenAnswered(aThen); });
      return;
    }
    this->log.WriteAlways(aNow, "shutdown", "exiting", { { "pending", this->PendingText() } });
    this->exit();
  }

  Sessions& sessions;
  Scheduler& scheduler;
  EventLog& log;
  std::function<void()> exit;
  ShutdownSchedule schedule;
  bool hasBegun = false;
};

} // namespace mustardshift::proxy
