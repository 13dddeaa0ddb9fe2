#pragma once

#include "adapters/timer/DeadlineTimer.h"
#include "standins/database/DatabaseEngine.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mustardshift::standin {

/** Pulls log entries from the primary that the engine follows, one call at a time.

    Thread safety: all methods may be called from any thread. */
class Replicator
{
public:
  Replicator(DatabaseEngine& aEngine, DeadlineTimer& aTimer, std::string aUserAgent);
  /** Precondition: Stop() was called. */
  ~Replicator() = default;
  Replicator(const Replicator&) = delete;
  Replicator& operator=(const Replicator&) = delete;

  /** Asks the engine anew whom to follow; a call that is under way is given up. */
  void Restart();

  /** Gives up the call that is under way and waits until it has ended. */
  void Stop();

private:
  struct Call;

  void Step();
  void Finish(const std::shared_ptr<Call>& aCall, bool aOk);

  DatabaseEngine& engine;
  DeadlineTimer& timer;
  const std::string userAgent;
  std::mutex mutex;
  std::condition_variable idle;
  std::map<std::string, std::shared_ptr<grpc::Channel>> channels;
  std::shared_ptr<Call> current;
  bool retryScheduled = false;
  bool stopping = false;
};

} // namespace mustardshift::standin
