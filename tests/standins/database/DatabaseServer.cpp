#include "standins/database/DatabaseServer.h"

#include "control.grpc.pb.h"
#include "database.grpc.pb.h"
#include "standins/common/DeferredReply.h"
#include "standins/common/ServerProcess.h"
#include "standins/common/UserAgent.h"
#include "standins/database/ServerConnection.h"
#include "standins/database/ServerState.h"

#include <chrono>
#include <utility>

namespace mustardshift::standin {

namespace dv1 = database::v1;

namespace {

class DatabaseServiceImpl : public dv1::DatabaseServer::CallbackService
{
public:
  /** Set before the first call can arrive. */
  ServerState* state = nullptr;

  grpc::ServerBidiReactor<dv1::Request, dv1::Answer>* Connect(
    grpc::CallbackServerContext* aContext) override
  {
    return ServerConnection::Start(*this->state, aContext);
  }

  grpc::ServerUnaryReactor* Report(grpc::CallbackServerContext* aContext,
                                   const dv1::ReportRequest* aRequest,
                                   dv1::ServerReport* aResponse) override
  {
    return this->Unary(
      *aContext, *aRequest, aResponse, [this] { return this->state->engine.Report(); });
  }

  grpc::ServerUnaryReactor* AcceptTerm(grpc::CallbackServerContext* aContext,
                                       const dv1::AcceptTermRequest* aRequest,
                                       dv1::ServerReport* aResponse) override
  {
    return this->Unary(*aContext, *aRequest, aResponse, [this, aRequest] {
      return this->state->engine.AcceptTerm(aRequest->term());
    });
  }

  grpc::ServerUnaryReactor* Promote(grpc::CallbackServerContext* aContext,
                                    const dv1::PromoteRequest* aRequest,
                                    dv1::ServerReport* aResponse) override
  {
    return this->Unary(*aContext, *aRequest, aResponse, [this, aRequest] {
      return this->state->engine.Promote(aRequest->term());
    });
  }

  grpc::ServerUnaryReactor* Follow(grpc::CallbackServerContext* aContext,
                                   const dv1::FollowRequest* aRequest,
                                   dv1::ServerReport* aResponse) override
  {
    return this->Unary(*aContext, *aRequest, aResponse, [this, aRequest] {
      return this->state->engine.Follow(aRequest->term(), aRequest->primary_address());
    });
  }

  grpc::ServerUnaryReactor* LookUpRequest(grpc::CallbackServerContext* aContext,
                                          const dv1::LookUpRequestRequest* aRequest,
                                          dv1::LookUpRequestResponse* aResponse) override
  {
    return this->Unary(*aContext, *aRequest, aResponse, [this, aRequest] {
      return this->state->engine.LookUpRequest(aRequest->request_id());
    });
  }

  grpc::ServerUnaryReactor* Replicate(grpc::CallbackServerContext* /*aContext*/,
                                      const dv1::ReplicateRequest* aRequest,
                                      dv1::ReplicateResponse* aResponse) override
  {
    auto reply = DeferredReply<dv1::ReplicateResponse>::Make(aResponse);
    this->state->engine.Replicate(*aRequest,
                                  [reply](std::optional<dv1::ReplicateResponse> aResult) {
                                    if (aResult) {
                                      reply->Answer(std::move(*aResult));
                                    } else {
                                      reply->Fail({ grpc::StatusCode::UNAVAILABLE, "cut off" });
                                    }
                                  });
    return reply.get();
  }

private:
  /** Answers a unary call of a caller, unless the caller is set unreachable. */
  template<class Request, class Response, class Run>
  grpc::ServerUnaryReactor* Unary(const grpc::CallbackServerContext& aContext,
                                  const Request& aRequest,
                                  Response* aResponse,
                                  Run aRun)
  {
    auto reply = DeferredReply<Response>::Make(aResponse);
    this->state->RecordMetadata(aContext);
    this->state->received.Add(aRequest.SerializeAsString());
    this->state->Count(
      [](auto& aCounters) { aCounters.set_unary_calls(aCounters.unary_calls() + 1); });
    if (!this->state->faults.IsUnreachable(UserAgentOf(aContext))) {
      this->state->faults.ProcessUnary([reply, result = aRun()] { reply->Answer(result); });
    }
    return reply.get();
  }
};

class DatabaseControlImpl : public v1::DatabaseControl::CallbackService
{
public:
  /** Set before the first call can arrive. */
  ServerState* state = nullptr;

  grpc::ServerUnaryReactor* SetFaults(grpc::CallbackServerContext* aContext,
                                      const v1::DatabaseFaults* aRequest,
                                      v1::ControlResponse* /*aResponse*/) override
  {
    DatabaseEngine::Faults engineFaults;
    engineFaults.cutOff = aRequest->cut_off();
    engineFaults.holdReplication = aRequest->hold_replication();
    engineFaults.ignoreTerms = aRequest->ignore_terms();
    this->state->engine.SetFaults(engineFaults);
    this->state->faults.Set(*aRequest);
    return Done(aContext);
  }

  grpc::ServerUnaryReactor* InjectOnce(grpc::CallbackServerContext* aContext,
                                       const v1::OneTimeFaults* aRequest,
                                       v1::ControlResponse* /*aResponse*/) override
  {
    this->state->faults.InjectOnce(*aRequest);
    return Done(aContext);
  }

  grpc::ServerUnaryReactor* CutConnections(grpc::CallbackServerContext* aContext,
                                           const v1::CutConnectionsRequest* /*aRequest*/,
                                           v1::ControlResponse* /*aResponse*/) override
  {
    this->state->CutConnections();
    return Done(aContext);
  }

  grpc::ServerUnaryReactor* DumpReceived(grpc::CallbackServerContext* aContext,
                                         const v1::DumpReceivedRequest* aRequest,
                                         v1::DumpReceivedResponse* aResponse) override
  {
    *aResponse = this->state->received.Dump(*aRequest);
    return Done(aContext);
  }

  grpc::ServerUnaryReactor* ReadCounters(grpc::CallbackServerContext* aContext,
                                         const v1::ReadCountersRequest* /*aRequest*/,
                                         v1::DatabaseCounters* aResponse) override
  {
    *aResponse = this->state->ReadCounters();
    return Done(aContext);
  }

private:
  static grpc::ServerUnaryReactor* Done(grpc::CallbackServerContext* aContext)
  {
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }
};

} // namespace

struct DatabaseServer::Implementation
{
  DatabaseServiceImpl service;
  DatabaseControlImpl control;
  std::unique_ptr<ServerState> state;
  std::unique_ptr<grpc::Server> server;
  std::string address;
};

std::unique_ptr<DatabaseServer> DatabaseServer::Start(const DatabaseOptions& aOptions)
{
  auto implementation = std::make_unique<Implementation>();
  implementation->address = aOptions.address.empty() ? aOptions.listen : aOptions.address;
  implementation->state = std::make_unique<ServerState>(aOptions, implementation->address);
  implementation->service.state = implementation->state.get();
  implementation->control.state = implementation->state.get();
  int port = 0;
  implementation->server =
    StartServer(aOptions.listen, { &implementation->service, &implementation->control }, port);
  if (!implementation->server) {
    return nullptr;
  }
  implementation->address =
    aOptions.listen.substr(0, aOptions.listen.rfind(':') + 1) + std::to_string(port);
  implementation->state->replicator.Restart();
  return std::unique_ptr<DatabaseServer>(new DatabaseServer(std::move(implementation)));
}

DatabaseServer::DatabaseServer(std::unique_ptr<Implementation> aImplementation)
  : implementation(std::move(aImplementation))
{
}

DatabaseServer::~DatabaseServer()
{
  // Cancels the calls that are open; without a deadline it would wait for them forever.
  this->implementation->server->Shutdown(std::chrono::system_clock::now());
  this->implementation->server.reset();
}

const std::string& DatabaseServer::Address() const
{
  return this->implementation->address;
}

} // namespace mustardshift::standin
