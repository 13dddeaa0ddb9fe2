#pragma once

#include "database.pb.h"
#include "standins/database/Transaction.h"

#include <grpcpp/server_context.h>
#include <grpcpp/support/server_callback.h>

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace mustardshift::standin {

class ServerState;

/** One connection of a server. It keeps itself alive until gRPC has finished with it. */
class ServerConnection
  : public grpc::ServerBidiReactor<database::v1::Request, database::v1::Answer>
  , public std::enable_shared_from_this<ServerConnection>
{
public:
  /** Starts to serve a connection, or refuses it when the connection limit is reached. */
  static ServerConnection* Start(ServerState& aState, grpc::CallbackServerContext* aContext);

  /** Cancels the connection, without an answer. Thread safety: may be called from any thread until
      the connection has left the ServerState. */
  void Cut();

  void OnReadDone(bool aOk) override;
  void OnWriteDone(bool aOk) override;
  void OnCancel() override;
  void OnDone() override;

private:
  ServerConnection(ServerState& aState, grpc::CallbackServerContext* aContext);

  void Accept();
  void Close(const grpc::Status& aStatus);
  /** Runs the next frame, unless one is running. */
  void Pump();
  void RunInSlot(const database::v1::Request& aRequest);
  void FrameDone(database::v1::Answer aAnswer);
  void SendAnswer(database::v1::Answer aAnswer);
  void Write(database::v1::Answer aAnswer);

  ServerState& state;
  grpc::CallbackServerContext* context;
  const std::string userAgent;
  database::v1::Request incoming;

  std::mutex mutex;
  std::deque<database::v1::Request> frames;
  std::deque<database::v1::Answer> answers;
  database::v1::Answer outgoing;
  std::optional<Transaction> transaction;
  bool running = false;
  bool writing = false;
  bool closed = false;
  bool finished = false;
  grpc::Status closeStatus;
  std::shared_ptr<ServerConnection> self;
};

} // namespace mustardshift::standin
