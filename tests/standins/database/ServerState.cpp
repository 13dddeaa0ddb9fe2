#include "standins/database/ServerState.h"

#include "standins/database/ServerConnection.h"

#include <algorithm>

namespace mustardshift::standin {

ServerState::ServerState(const DatabaseOptions& aOptions, const std::string& aAddress)
  : options(aOptions)
  , timer(std::make_unique<DeadlineTimer>())
  , slots(aOptions.slots)
  , faults(*this->timer)
  , engine(aOptions, aAddress, *this->timer, [this] { this->replicator.Restart(); })
  , replicator(this->engine, *this->timer, "standin-database/" + aAddress)
{
}

ServerState::~ServerState()
{
  this->replicator.Stop();
  this->timer.reset();
}

bool ServerState::Admit(ServerConnection* aConnection)
{
  const std::lock_guard lock(this->mutex);
  if (this->connections.size() >= this->options.connectionLimit) {
    this->counters.set_refused_connections(this->counters.refused_connections() + 1);
    return false;
  }
  this->connections.insert(aConnection);
  this->counters.set_accepted_connections(this->counters.accepted_connections() + 1);
  this->counters.set_most_open_connections(
    std::max<std::uint64_t>(this->counters.most_open_connections(), this->connections.size()));
  return true;
}

void ServerState::Leave(ServerConnection* aConnection)
{
  const std::lock_guard lock(this->mutex);
  this->connections.erase(aConnection);
}

void ServerState::CutConnections()
{
  // A connection leaves before gRPC releases it, so those in the set are alive; cutting one only
  // asks gRPC to cancel it.
  const std::lock_guard lock(this->mutex);
  for (ServerConnection* connection : this->connections) {
    connection->Cut();
  }
}

void ServerState::RecordMetadata(const grpc::CallbackServerContext& aContext)
{
  std::string record;
  for (const auto& [name, value] : aContext.client_metadata()) {
    record.append(name.data(), name.size()).append(": ");
    record.append(value.data(), value.size()).append("\n");
  }
  this->received.Add(std::move(record));
}

standin::v1::DatabaseCounters ServerState::ReadCounters()
{
  const DatabaseEngine::Counters engineCounters = this->engine.ReadCounters();
  const std::lock_guard lock(this->mutex);
  standin::v1::DatabaseCounters result = this->counters;
  result.set_open_connections(this->connections.size());
  result.set_reads(engineCounters.reads);
  result.set_writes(engineCounters.writes);
  result.set_duplicates(engineCounters.duplicates);
  result.set_wrong_terms(engineCounters.wrongTerms);
  result.set_conflicts(engineCounters.conflicts);
  result.set_log_length(engineCounters.logLength);
  result.set_cut_log_entries(engineCounters.cutLogEntries);
  result.set_most_slots_in_use(this->slots.MostInUse());
  result.set_longest_slot_queue(this->slots.LongestQueue());
  return result;
}

} // namespace mustardshift::standin
