#include "standins/database/Replicator.h"

#include "adapters/channel/ChannelFactory.h"
#include "database.grpc.pb.h"

#include <chrono>
#include <utility>

namespace mustardshift::standin {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(20);
/** Longer than a primary waits for new entries. */
constexpr Duration kCallTimeout = DatabaseEngine::kReplicationWait * 5;

} // namespace

struct Replicator::Call
{
  DatabaseEngine::Pull pull;
  grpc::ClientContext context;
  database::v1::ReplicateResponse response;
};

Replicator::Replicator(DatabaseEngine& aEngine, DeadlineTimer& aTimer, std::string aUserAgent)
  : engine(aEngine)
  , timer(aTimer)
  , userAgent(std::move(aUserAgent))
{
}

void Replicator::Restart()
{
  {
    const std::lock_guard lock(this->mutex);
    if (this->current) {
      // Its end starts the next step.
      this->current->context.TryCancel();
      return;
    }
  }
  this->Step();
}

void Replicator::Stop()
{
  std::unique_lock lock(this->mutex);
  this->stopping = true;
  if (this->current) {
    this->current->context.TryCancel();
  }
  this->idle.wait(lock, [this] { return !this->current; });
}

void Replicator::Step()
{
  auto pull = this->engine.NextPull();
  if (!pull) {
    return;
  }
  std::shared_ptr<Call> call;
  std::shared_ptr<grpc::Channel> channel;
  {
    const std::lock_guard lock(this->mutex);
    if (this->stopping || this->current) {
      return;
    }
    call = std::make_shared<Call>();
    call->pull = std::move(*pull);
    call->context.set_deadline(DeadlineAfter(kCallTimeout));
    this->current = call;
    auto& kept = this->channels[call->pull.primary];
    if (!kept) {
      kept = MakeChannel(call->pull.primary, this->userAgent);
    }
    channel = kept;
  }
  database::v1::DatabaseServer::NewStub(channel)->async()->Replicate(
    &call->context,
    &call->pull.request,
    &call->response,
    [this, call](const grpc::Status& aStatus) { this->Finish(call, aStatus.ok()); });
}

void Replicator::Finish(const std::shared_ptr<Call>& aCall, bool aOk)
{
  const bool progress = aOk && aCall->response.accepted();
  if (progress) {
    this->engine.TakeEntries(aCall->pull, aCall->response);
  }
  {
    const std::lock_guard lock(this->mutex);
    this->current.reset();
    if (this->stopping) {
      this->idle.notify_all();
      return;
    }
    if (!progress && !this->retryScheduled) {
      this->retryScheduled = true;
      this->timer.Schedule(kRetryDelay, [this] {
        {
          const std::lock_guard retryLock(this->mutex);
          this->retryScheduled = false;
        }
        this->Step();
      });
    }
  }
  if (progress) {
    this->Step();
  }
}

} // namespace mustardshift::standin
