#include "adapters/database/DatabaseServerClient.h"

#include "adapters/channel/ChannelFactory.h"
#include "database.grpc.pb.h"

#include <grpcpp/client_context.h>

#include <future>
#include <utility>

namespace mustardshift {

namespace v1 = database::v1;

namespace {

/** What a unary call needs until its callback runs. */
template<class Request, class Response>
struct UnaryCall
{
  grpc::ClientContext context;
  Request request;
  Response response;
  std::function<void(Outcome<Response>)> callback;
};

Refusal RefusalOf(const grpc::Status& aStatus)
{
  const Reason reason = aStatus.error_code() == grpc::StatusCode::UNAVAILABLE
                          ? Reason::ConnectionFailed
                          : Reason::AnswerLost;
  return Refusal{ Verdict::MayHaveRun, reason, aStatus.error_message() };
}

/** Starts a call. aMethod is called with the stub's callback interface, the context, the request,
    the response and the completion function. */
template<class Request, class Response, class Method>
void Start(const std::shared_ptr<grpc::Channel>& aChannel,
           Request aRequest,
           Duration aTimeout,
           std::function<void(Outcome<Response>)> aCallback,
           Method aMethod)
{
  auto call = std::make_shared<UnaryCall<Request, Response>>();
  call->context.set_deadline(DeadlineAfter(aTimeout));
  call->request = std::move(aRequest);
  call->callback = std::move(aCallback);
  const auto stub = v1::DatabaseServer::NewStub(aChannel);
  aMethod(*stub->async(),
          &call->context,
          &call->request,
          &call->response,
          [call](const grpc::Status& aStatus) {
            if (aStatus.ok()) {
              call->callback(std::move(call->response));
            } else {
              call->callback(tl::unexpected<Refusal>(RefusalOf(aStatus)));
            }
          });
}

/** Runs a call that takes a callback, and waits for its result. */
template<class Response, class Starter>
Outcome<Response> Await(Starter aStarter)
{
  auto result = std::make_shared<std::promise<Outcome<Response>>>();
  auto future = result->get_future();
  aStarter([result](Outcome<Response> aOutcome) { result->set_value(std::move(aOutcome)); });
  return future.get();
}

} // namespace

DatabaseServerClient::DatabaseServerClient(const ServerAddress& aAddress,
                                           const std::string& aUserAgent)
  : channel(MakeChannel(aAddress.Text(), aUserAgent))
{
}

Outcome<v1::ServerReport> DatabaseServerClient::Report(Duration aTimeout)
{
  return Await<v1::ServerReport>(
    [&](ReportCallback aCallback) { this->Report(aTimeout, std::move(aCallback)); });
}

void DatabaseServerClient::Report(Duration aTimeout, ReportCallback aCallback)
{
  v1::ReportRequest request;
  Start<v1::ReportRequest, v1::ServerReport>(
    this->channel,
    std::move(request),
    aTimeout,
    std::move(aCallback),
    [](auto& aStub, auto* aContext, auto* aRequest, auto* aResponse, auto aDone) {
      aStub.Report(aContext, aRequest, aResponse, std::move(aDone));
    });
}

Outcome<v1::ServerReport> DatabaseServerClient::AcceptTerm(std::uint64_t aTerm, Duration aTimeout)
{
  return Await<v1::ServerReport>(
    [&](ReportCallback aCallback) { this->AcceptTerm(aTerm, aTimeout, std::move(aCallback)); });
}

void DatabaseServerClient::AcceptTerm(std::uint64_t aTerm,
                                      Duration aTimeout,
                                      ReportCallback aCallback)
{
  v1::AcceptTermRequest request;
  request.set_term(aTerm);
  Start<v1::AcceptTermRequest, v1::ServerReport>(
    this->channel,
    std::move(request),
    aTimeout,
    std::move(aCallback),
    [](auto& aStub, auto* aContext, auto* aRequest, auto* aResponse, auto aDone) {
      aStub.AcceptTerm(aContext, aRequest, aResponse, std::move(aDone));
    });
}

Outcome<v1::ServerReport> DatabaseServerClient::Promote(std::uint64_t aTerm, Duration aTimeout)
{
  return Await<v1::ServerReport>(
    [&](ReportCallback aCallback) { this->Promote(aTerm, aTimeout, std::move(aCallback)); });
}

void DatabaseServerClient::Promote(std::uint64_t aTerm, Duration aTimeout, ReportCallback aCallback)
{
  v1::PromoteRequest request;
  request.set_term(aTerm);
  Start<v1::PromoteRequest, v1::ServerReport>(
    this->channel,
    std::move(request),
    aTimeout,
    std::move(aCallback),
    [](auto& aStub, auto* aContext, auto* aRequest, auto* aResponse, auto aDone) {
      aStub.Promote(aContext, aRequest, aResponse, std::move(aDone));
    });
}

Outcome<v1::ServerReport> DatabaseServerClient::Follow(std::uint64_t aTerm,
                                                       const ServerAddress& aPrimary,
                                                       Duration aTimeout)
{
  return Await<v1::ServerReport>([&](ReportCallback aCallback) {
    this->Follow(aTerm, aPrimary, aTimeout, std::move(aCallback));
  });
}

void DatabaseServerClient::Follow(std::uint64_t aTerm,
                                  const ServerAddress& aPrimary,
                                  Duration aTimeout,
                                  ReportCallback aCallback)
{
  v1::FollowRequest request;
  request.set_term(aTerm);
  request.set_primary_address(aPrimary.Text());
  Start<v1::FollowRequest, v1::ServerReport>(
    this->channel,
    std::move(request),
    aTimeout,
    std::move(aCallback),
    [](auto& aStub, auto* aContext, auto* aRequest, auto* aResponse, auto aDone) {
      aStub.Follow(aContext, aRequest, aResponse, std::move(aDone));
    });
}

Outcome<v1::LookUpRequestResponse> DatabaseServerClient::LookUpRequest(const RequestId& aRequestId,
                                                                       Duration aTimeout)
{
  return Await<v1::LookUpRequestResponse>([&](LookUpCallback aCallback) {
    this->LookUpRequest(aRequestId, aTimeout, std::move(aCallback));
  });
}

void DatabaseServerClient::LookUpRequest(const RequestId& aRequestId,
                                         Duration aTimeout,
                                         LookUpCallback aCallback)
{
  v1::LookUpRequestRequest request;
  request.set_request_id(aRequestId.Text());
  Start<v1::LookUpRequestRequest, v1::LookUpRequestResponse>(
    this->channel,
    std::move(request),
    aTimeout,
    std::move(aCallback),
    [](auto& aStub, auto* aContext, auto* aRequest, auto* aResponse, auto aDone) {
      aStub.LookUpRequest(aContext, aRequest, aResponse, std::move(aDone));
    });
}

} // namespace mustardshift
