#pragma once

#include "adapters/timer/DeadlineTimer.h"
#include "control.pb.h"
#include "standins/database/AnswerFaults.h"
#include "standins/database/DatabaseEngine.h"
#include "standins/database/DatabaseOptions.h"
#include "standins/database/ReceivedStore.h"
#include "standins/database/Replicator.h"
#include "standins/database/SlotPool.h"

#include <grpcpp/server_context.h>

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace mustardshift::standin {

class ServerConnection;

/** What the services and connections of one server share. Thread safety: as of its parts; the
    methods may be called from any thread. */
class ServerState
{
public:
  ServerState(const DatabaseOptions& aOptions, const std::string& aAddress);
  /** Precondition: no call is left. */
  ~ServerState();
  ServerState(const ServerState&) = delete;
  ServerState& operator=(const ServerState&) = delete;

  /** Takes a place for a connection; false when the limit is reached. */
  bool Admit(ServerConnection* aConnection);
  /** Gives the place back; does nothing when it has been. */
  void Leave(ServerConnection* aConnection);
  void CutConnections();

  /** Records a call's metadata. */
  void RecordMetadata(const grpc::CallbackServerContext& aContext);

  /** Adds to counters. aChange is called under a lock. */
  template<class Change>
  void Count(Change aChange)
  {
    const std::lock_guard lock(this->mutex);
    aChange(this->counters);
  }

  standin::v1::DatabaseCounters ReadCounters();

  const DatabaseOptions options;
  // Owned through a pointer so that the destructor can end it before everything that it calls.
  std::unique_ptr<DeadlineTimer> timer;
  SlotPool slots;
  AnswerFaults faults;
  ReceivedStore received;
  DatabaseEngine engine;
  Replicator replicator;

private:
  std::mutex mutex;
  standin::v1::DatabaseCounters counters;
  std::set<ServerConnection*> connections;
};

} // namespace mustardshift::standin
