#include "daemon/service/CallerService.h"

#include "adapters/clock/SystemBootClock.h"

#include <algorithm>
#include <string>
#include <utility>

namespace mustardshift {

namespace {

const char* const kKeyMetadata = "mustardshift-key";
constexpr Duration kLongestTimeout = std::chrono::seconds(60);
/** A tenth of the time until the caller's deadline, at most 50 ms, is reserved for the reply, so
    that the verdict reaches the caller in time. */
constexpr int kReplyReserveDivisor = 10;
constexpr Duration kLargestReplyReserve = std::chrono::milliseconds(50);

caller::v1::Verdict ToProtocol(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::Run:
      return caller::v1::VERDICT_RUN;
    case Verdict::NotRun:
      return caller::v1::VERDICT_NOT_RUN;
    case Verdict::MayHaveRun:
      break;
  }
  return caller::v1::VERDICT_MAY_HAVE_RUN;
}

Statement MakeStatement(const std::string& aText,
                        const google::protobuf::RepeatedPtrField<std::string>& aParameters)
{
  return { aText, { aParameters.begin(), aParameters.end() } };
}

} // namespace

CallerService::CallerService(EventLoop& aLoop,
                             RequestProcessor& aProcessor,
                             TransactionTable& aTransactions,
                             Duration aDefaultTimeout)
  : loop(aLoop)
  , processor(aProcessor)
  , transactions(aTransactions)
  , defaultTimeout(aDefaultTimeout)
{
}

CallerRequest CallerService::MakeRequest(const grpc::CallbackServerContext& aContext) const
{
  CallerRequest request;
  const auto& metadata = aContext.client_metadata();
  const auto key = metadata.find(kKeyMetadata);
  if (key != metadata.end()) {
    request.key.assign(key->second.data(), key->second.size());
  }
  Duration remaining = this->defaultTimeout;
  if (aContext.deadline() != std::chrono::system_clock::time_point::max()) {
    remaining =
      std::chrono::duration_cast<Duration>(aContext.deadline() - std::chrono::system_clock::now());
    remaining = std::clamp(remaining, Duration{ 0 }, kLongestTimeout);
    remaining -= std::min(remaining / kReplyReserveDivisor, kLargestReplyReserve);
  }
  request.deadline = SystemBootClock{}.Now() + remaining;
  return request;
}

void CallerService::FillOutcome(const Refusal& aRefusal, caller::v1::Outcome& aOutcome) const
{
  aOutcome.set_verdict(ToProtocol(aRefusal.verdict));
  aOutcome.set_reason(std::string(ToString(aRefusal.reason)));
  aOutcome.set_message(aRefusal.message);
  if (aRefusal.reason == Reason::VmDraining || aRefusal.reason == Reason::FailureDomainDrained) {
    aOutcome.set_alternative_address(this->processor.GetServingState().alternativeAddress);
  }
}

void CallerService::FillResponse(const Outcome<CallerAnswer>& aAnswer,
                                 caller::v1::ExecuteResponse& aResponse) const
{
  if (!aAnswer) {
    this->FillOutcome(aAnswer.error(), *aResponse.mutable_outcome());
    return;
  }
  aResponse.mutable_outcome()->set_verdict(caller::v1::VERDICT_RUN);
  for (const std::string& row : aAnswer->rows) {
    aResponse.add_rows(row);
  }
  aResponse.set_session_token(aAnswer->sessionToken);
  aResponse.set_served_by_replica(aAnswer->servedByReplica);
}

template<class Response>
void CallerService::Post(Response* aResponse,
                         grpc::ServerUnaryReactor* aReactor,
                         EventLoop::Task aTask) const
{
  if (this->loop.TryPost(std::move(aTask))) {
    return;
  }
  aResponse->mutable_outcome()->set_verdict(caller::v1::VERDICT_NOT_RUN);
  aResponse->mutable_outcome()->set_reason(std::string(ToString(Reason::QueueFull)));
  aResponse->mutable_outcome()->set_message("this VM is overloaded");
  aReactor->Finish(grpc::Status::OK);
}

grpc::ServerUnaryReactor* CallerService::Execute(grpc::CallbackServerContext* aContext,
                                                 const caller::v1::ExecuteRequest* aRequest,
                                                 caller::v1::ExecuteResponse* aResponse)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  CallerRequest request = this->MakeRequest(*aContext);
  request.route = RouteName(aRequest->route());
  request.sessionToken = aRequest->session_token();
  request.requestId = RequestId(aRequest->request_id());
  request.statement = MakeStatement(aRequest->statement(), aRequest->parameters());
  request.isReadOnly = aRequest->read_only();
  request.isRepeatable = aRequest->repeatable();
  this->Post(aResponse, reactor, [this, request, aResponse, reactor](Instant aNow) {
    this->processor.Execute(
      aNow, request, [this, aResponse, reactor](const Outcome<CallerAnswer>& aAnswer) {
        this->FillResponse(aAnswer, *aResponse);
        reactor->Finish(grpc::Status::OK);
      });
  });
  return reactor;
}

grpc::ServerUnaryReactor* CallerService::Begin(grpc::CallbackServerContext* aContext,
                                               const caller::v1::BeginRequest* aRequest,
                                               caller::v1::BeginResponse* aResponse)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  CallerRequest request = this->MakeRequest(*aContext);
  request.route = RouteName(aRequest->route());
  request.sessionToken = aRequest->session_token();
  request.requestId = RequestId(aRequest->request_id());
  this->Post(aResponse, reactor, [this, request, aResponse, reactor](Instant aNow) {
    this->transactions.Begin(
      aNow, request, [this, aResponse, reactor](const Outcome<TransactionId>& aId) {
        if (aId) {
          aResponse->mutable_outcome()->set_verdict(caller::v1::VERDICT_RUN);
          aResponse->set_transaction_id(aId->Text());
        } else {
          this->FillOutcome(aId.error(), *aResponse->mutable_outcome());
        }
        reactor->Finish(grpc::Status::OK);
      });
  });
  return reactor;
}

grpc::ServerUnaryReactor* CallerService::ExecuteInTransaction(
  grpc::CallbackServerContext* aContext,
  const caller::v1::TransactionStatementRequest* aRequest,
  caller::v1::ExecuteResponse* aResponse)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  CallerRequest request = this->MakeRequest(*aContext);
  request.statement = MakeStatement(aRequest->statement(), aRequest->parameters());
  const TransactionId id(aRequest->transaction_id());
  this->Post(aResponse, reactor, [this, request, id, aResponse, reactor](Instant aNow) {
    this->transactions.Execute(
      aNow, id, request, [this, aResponse, reactor](const Outcome<CallerAnswer>& aAnswer) {
        this->FillResponse(aAnswer, *aResponse);
        reactor->Finish(grpc::Status::OK);
      });
  });
  return reactor;
}

grpc::ServerUnaryReactor* CallerService::Commit(grpc::CallbackServerContext* aContext,
                                                const caller::v1::EndTransactionRequest* aRequest,
                                                caller::v1::ExecuteResponse* aResponse)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  CallerRequest request = this->MakeRequest(*aContext);
  request.requestId = RequestId(aRequest->request_id());
  const TransactionId id(aRequest->transaction_id());
  this->Post(aResponse, reactor, [this, request, id, aResponse, reactor](Instant aNow) {
    this->transactions.Commit(
      aNow, id, request, [this, aResponse, reactor](const Outcome<CallerAnswer>& aAnswer) {
        this->FillResponse(aAnswer, *aResponse);
        reactor->Finish(grpc::Status::OK);
      });
  });
  return reactor;
}

grpc::ServerUnaryReactor* CallerService::Rollback(grpc::CallbackServerContext* aContext,
                                                  const caller::v1::EndTransactionRequest* aRequest,
                                                  caller::v1::ExecuteResponse* aResponse)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  const CallerRequest request = this->MakeRequest(*aContext);
  const TransactionId id(aRequest->transaction_id());
  this->Post(aResponse, reactor, [this, request, id, aResponse, reactor](Instant aNow) {
    this->transactions.Rollback(
      aNow, id, request, [this, aResponse, reactor](const Outcome<CallerAnswer>& aAnswer) {
        this->FillResponse(aAnswer, *aResponse);
        reactor->Finish(grpc::Status::OK);
      });
  });
  return reactor;
}

} // namespace mustardshift
