#pragma once

#include "adapters/timer/DeadlineTimer.h"
#include "control.pb.h"
#include "database.pb.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mustardshift::standin {

/** Decides what happens to each frame and each answer of a server. Thread safety: all methods may
    be called from any thread; sending happens outside of its lock. */
class AnswerFaults
{
public:
  using Send = std::function<void(database::v1::Answer)>;

  /** What to do in place of an answer. */
  enum class Fate
  {
    Send,
    Drop,
    CutConnection,
  };

  explicit AnswerFaults(DeadlineTimer& aTimer);

  void Set(const standin::v1::DatabaseFaults& aFaults);
  void InjectOnce(const standin::v1::OneTimeFaults& aFaults);

  /** True when the caller is set unreachable. */
  bool IsUnreachable(const std::string& aUserAgent);
  /** True when the connection is to be cut before the frame that arrived runs. */
  bool TakeCutBeforeRunning();

  /** Sends an answer on a connection, now, later, or swapped with the one of another connection.
      Returns CutConnection when the caller has to cut the connection instead.

      @param aConnection  identifies the connection. */
  Fate Process(const void* aConnection, database::v1::Answer aAnswer, Send aSend);

  /** Sends the answer of a unary call, which is only frozen or delayed. */
  void ProcessUnary(std::function<void()> aSend);

private:
  struct Held
  {
    const void* connection = nullptr;
    database::v1::Answer answer;
    Send send;
  };

  /** Sends now or after the delay, or keeps the answer while answers are frozen. */
  void Emit(std::function<void()> aSend, Duration aExtraDelay);

  DeadlineTimer& timer;
  std::mutex mutex;
  standin::v1::DatabaseFaults faults;
  standin::v1::OneTimeFaults once;
  std::vector<std::function<void()>> frozen;
  std::unique_ptr<Held> held;
};

} // namespace mustardshift::standin
