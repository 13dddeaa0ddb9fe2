#include "standins/database/ServerConnection.h"

#include "standins/common/UserAgent.h"
#include "standins/database/ServerState.h"

#include <utility>

namespace mustardshift::standin {

namespace dv1 = database::v1;

namespace {

/** A connection with more frames waiting is cut, so that its memory is bounded. */
constexpr std::size_t kMaximumWaitingFrames = 4096;

} // namespace

ServerConnection* ServerConnection::Start(ServerState& aState,
                                          grpc::CallbackServerContext* aContext)
{
  auto connection = std::shared_ptr<ServerConnection>(new ServerConnection(aState, aContext));
  connection->self = connection;
  aState.RecordMetadata(*aContext);
  if (aState.faults.IsUnreachable(connection->userAgent)) {
    return connection.get();
  }
  if (!aState.Admit(connection.get())) {
    connection->Close({ grpc::StatusCode::RESOURCE_EXHAUSTED, "connection limit reached" });
    return connection.get();
  }
  if (aState.options.connectionCost.count() == 0) {
    connection->Accept();
  } else {
    aState.timer->Schedule(aState.options.connectionCost, [connection] { connection->Accept(); });
  }
  return connection.get();
}

ServerConnection::ServerConnection(ServerState& aState, grpc::CallbackServerContext* aContext)
  : state(aState)
  , context(aContext)
  , userAgent(UserAgentOf(*aContext))
{
}

void ServerConnection::Cut()
{
  this->context->TryCancel();
}

void ServerConnection::Accept()
{
  const std::lock_guard lock(this->mutex);
  if (this->closed) {
    return;
  }
  this->StartSendInitialMetadata();
  this->StartRead(&this->incoming);
}

void ServerConnection::OnReadDone(bool aOk)
{
  if (!aOk) {
    this->Close(grpc::Status::OK);
    return;
  }
  dv1::Request request = std::move(this->incoming);
  this->incoming.Clear();
  this->state.received.Add(request.SerializeAsString());
  this->state.Count([](auto& aCounters) { aCounters.set_frames(aCounters.frames() + 1); });
  if (this->state.faults.TakeCutBeforeRunning()) {
    this->Cut();
    return;
  }
  if (!this->state.faults.IsUnreachable(this->userAgent)) {
    if (request.command_case() == dv1::Request::kWait) {
      this->state.engine.Wait(request,
                              [connection = this->shared_from_this()](dv1::Answer aAnswer) {
                                connection->SendAnswer(std::move(aAnswer));
                              });
    } else {
      const std::lock_guard lock(this->mutex);
      if (this->frames.size() >= kMaximumWaitingFrames) {
        this->Cut();
        return;
      }
      this->frames.push_back(std::move(request));
    }
    this->Pump();
  }
  this->StartRead(&this->incoming);
}

void ServerConnection::OnWriteDone(bool aOk)
{
  const std::lock_guard lock(this->mutex);
  this->writing = false;
  if (this->closed) {
    if (!std::exchange(this->finished, true)) {
      this->Finish(this->closeStatus);
    }
    return;
  }
  if (aOk && !this->answers.empty()) {
    this->outgoing = std::move(this->answers.front());
    this->answers.pop_front();
    this->writing = true;
    this->StartWrite(&this->outgoing);
  }
}

void ServerConnection::OnCancel()
{
  this->Close(grpc::Status::CANCELLED);
}

void ServerConnection::OnDone()
{
  // May destroy the connection.
  const std::shared_ptr<ServerConnection> last = std::move(this->self);
}

void ServerConnection::Close(const grpc::Status& aStatus)
{
  bool rolledBack = false;
  {
    const std::lock_guard lock(this->mutex);
    if (std::exchange(this->closed, true)) {
      return;
    }
    rolledBack = this->transaction.has_value();
    this->transaction.reset();
    this->frames.clear();
    this->answers.clear();
    this->closeStatus = aStatus;
  }
  if (rolledBack) {
    this->state.Count([](auto& aCounters) {
      aCounters.set_open_transactions(aCounters.open_transactions() - 1);
      aCounters.set_rolled_back_transactions(aCounters.rolled_back_transactions() + 1);
    });
  }
  this->state.Leave(this);
  const std::lock_guard lock(this->mutex);
  if (!this->writing && !std::exchange(this->finished, true)) {
    this->Finish(aStatus);
  }
}

void ServerConnection::Pump()
{
  dv1::Request request;
  {
    const std::lock_guard lock(this->mutex);
    if (this->running || this->closed || this->frames.empty()) {
      return;
    }
    this->running = true;
    request = std::move(this->frames.front());
    this->frames.pop_front();
  }
  switch (request.command_case()) {
    case dv1::Request::kExecute:
    case dv1::Request::kCommit:
      this->state.slots.Acquire([connection = this->shared_from_this(), request] {
        ServerState& state = connection->state;
        state.timer->Schedule(state.options.statementTime,
                              [connection, request] { connection->RunInSlot(request); });
      });
      return;
    case dv1::Request::kBegin: {
      dv1::Answer answer;
      Transaction begun;
      const bool open = [&] {
        const std::lock_guard lock(this->mutex);
        return this->transaction.has_value();
      }();
      if (open) {
        this->state.engine.FillAnswer(request, dv1::ANSWER_STATUS_INVALID, answer);
      } else if (this->state.engine.Begin(request, begun, answer)) {
        const std::lock_guard lock(this->mutex);
        if (!this->closed) {
          this->transaction = std::move(begun);
          this->state.Count([](auto& aCounters) {
            aCounters.set_open_transactions(aCounters.open_transactions() + 1);
          });
        }
      }
      this->FrameDone(std::move(answer));
      return;
    }
    case dv1::Request::kRollback: {
      dv1::Answer answer;
      bool rolledBack = false;
      {
        const std::lock_guard lock(this->mutex);
        rolledBack = this->transaction.has_value();
        this->transaction.reset();
      }
      if (rolledBack) {
        this->state.Count([](auto& aCounters) {
          aCounters.set_open_transactions(aCounters.open_transactions() - 1);
          aCounters.set_rolled_back_transactions(aCounters.rolled_back_transactions() + 1);
        });
      }
      this->state.engine.FillAnswer(
        request, rolledBack ? dv1::ANSWER_STATUS_OK : dv1::ANSWER_STATUS_INVALID, answer);
      this->FrameDone(std::move(answer));
      return;
    }
    default: {
      dv1::Answer answer;
      this->state.engine.FillAnswer(request, dv1::ANSWER_STATUS_INVALID, answer);
      this->FrameDone(std::move(answer));
      return;
    }
  }
}

void ServerConnection::RunInSlot(const dv1::Request& aRequest)
{
  std::optional<Transaction> open;
  bool runs = false;
  {
    const std::lock_guard lock(this->mutex);
    runs = !this->closed;
    open.swap(this->transaction);
  }
  if (!runs) {
    this->state.slots.Release();
    return;
  }
  // The statement runs without the lock, because it may release waiting frames of this connection.
  dv1::Answer answer;
  const bool wasOpen = open.has_value();
  if (aRequest.command_case() == dv1::Request::kExecute) {
    this->state.engine.Execute(aRequest, open ? &*open : nullptr, answer);
  } else if (open) {
    this->state.engine.Commit(aRequest, *open, answer);
    open.reset();
  } else {
    this->state.engine.FillAnswer(aRequest, dv1::ANSWER_STATUS_INVALID, answer);
  }
  const bool committed = wasOpen && !open;
  bool rolledBack = false;
  {
    const std::lock_guard lock(this->mutex);
    if (this->closed) {
      rolledBack = open.has_value();
    } else {
      this->transaction.swap(open);
    }
  }
  this->state.slots.Release();
  this->state.Count([committed, rolledBack](auto& aCounters) {
    aCounters.set_statements(aCounters.statements() + 1);
    aCounters.set_open_transactions(aCounters.open_transactions() -
                                    (committed || rolledBack ? 1 : 0));
    aCounters.set_rolled_back_transactions(aCounters.rolled_back_transactions() +
                                           (rolledBack ? 1 : 0));
  });
  this->FrameDone(std::move(answer));
}

void ServerConnection::FrameDone(dv1::Answer aAnswer)
{
  this->SendAnswer(std::move(aAnswer));
  {
    const std::lock_guard lock(this->mutex);
    this->running = false;
  }
  this->Pump();
}

void ServerConnection::SendAnswer(dv1::Answer aAnswer)
{
  const auto fate = this->state.faults.Process(
    this, std::move(aAnswer), [connection = this->shared_from_this()](dv1::Answer aProcessed) {
      connection->Write(std::move(aProcessed));
    });
  if (fate == AnswerFaults::Fate::CutConnection) {
    const std::lock_guard lock(this->mutex);
    if (!this->closed) {
      this->Cut();
    }
  }
}

void ServerConnection::Write(dv1::Answer aAnswer)
{
  const std::lock_guard lock(this->mutex);
  if (this->closed) {
    return;
  }
  if (this->writing) {
    this->answers.push_back(std::move(aAnswer));
    return;
  }
  this->outgoing = std::move(aAnswer);
  this->writing = true;
  this->StartWrite(&this->outgoing);
}

} // namespace mustardshift::standin
