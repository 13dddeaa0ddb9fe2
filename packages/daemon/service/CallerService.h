#pragma once

#include "caller.grpc.pb.h"
#include "core/base/Instant.h"
#include "daemon/loop/EventLoop.h"
#include "daemon/request/CallerReply.h"
#include "daemon/request/CallerRequest.h"
#include "daemon/request/RequestProcessor.h"
#include "daemon/request/TransactionTable.h"

namespace mustardshift {

/** The gRPC service for callers. It passes each call to the request loop.

    Thread safety: gRPC calls the methods on its own threads. */
class CallerService : public caller::v1::Caller::CallbackService
{
public:
  /** @param aDefaultTimeout  time limit of calls without a deadline. */
  CallerService(EventLoop& aLoop,
                RequestProcessor& aProcessor,
                TransactionTable& aTransactions,
                Duration aDefaultTimeout);

  grpc::ServerUnaryReactor* Execute(grpc::CallbackServerContext* aContext,
                                    const caller::v1::ExecuteRequest* aRequest,
                                    caller::v1::ExecuteResponse* aResponse) override;
  grpc::ServerUnaryReactor* Begin(grpc::CallbackServerContext* aContext,
                                  const caller::v1::BeginRequest* aRequest,
                                  caller::v1::BeginResponse* aResponse) override;
  grpc::ServerUnaryReactor* ExecuteInTransaction(
    grpc::CallbackServerContext* aContext,
    const caller::v1::TransactionStatementRequest* aRequest,
    caller::v1::ExecuteResponse* aResponse) override;
  grpc::ServerUnaryReactor* Commit(grpc::CallbackServerContext* aContext,
                                   const caller::v1::EndTransactionRequest* aRequest,
                                   caller::v1::ExecuteResponse* aResponse) override;
  grpc::ServerUnaryReactor* Rollback(grpc::CallbackServerContext* aContext,
                                     const caller::v1::EndTransactionRequest* aRequest,
                                     caller::v1::ExecuteResponse* aResponse) override;

private:
  CallerRequest MakeRequest(const grpc::CallbackServerContext& aContext) const;
  void FillOutcome(const Refusal& aRefusal, caller::v1::Outcome& aOutcome) const;
  void FillResponse(const Outcome<CallerAnswer>& aAnswer,
                    caller::v1::ExecuteResponse& aResponse) const;

  /** Posts a task to the request loop, or refuses the call if the loop is full or stopped. */
  template<class Response>
  void Post(Response* aResponse, grpc::ServerUnaryReactor* aReactor, EventLoop::Task aTask) const;

  EventLoop& loop;
  RequestProcessor& processor;
  TransactionTable& transactions;
  Duration defaultTimeout;
};

} // namespace mustardshift
