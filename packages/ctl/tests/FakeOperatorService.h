#pragma once

#include "operator.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mustardshift::test {

/** Operator service of one VM in the test's own process, on a loopback port. It accepts every
    change unless told otherwise, and answers a repeated operation id as it answered the first.

    Thread safety: the setters may be called while it serves. */
class FakeOperatorService : public operators::v1::Operator::Service
{
public:
  explicit FakeOperatorService(const std::shared_ptr<grpc::ServerCredentials>& aCredentials =
                                 grpc::InsecureServerCredentials());
  ~FakeOperatorService() override;

  std::string Address() const;
  /** Stops serving; the port refuses connections afterwards. */
  void Stop();

  /** The next calls take effect, but their answers are lost. */
  void LoseAnswers(int aCount);
  /** Changes are answered with this result and don't take effect. */
  void AnswerWith(operators::v1::ChangeResult aResult);
  /** Calls are refused with this status. */
  void RefuseWith(grpc::StatusCode aCode);

  /** Operation ids of the calls, in their order; empty ones for calls that have none. */
  std::vector<std::string> Calls() const;
  /** Descriptions of the changes that took effect. */
  std::vector<std::string> Changes() const;

  grpc::Status ApplySchema(grpc::ServerContext* aContext,
                           const operators::v1::ApplySchemaRequest* aRequest,
                           operators::v1::ChangeResponse* aResponse) override;
  grpc::Status ShowSchema(grpc::ServerContext* aContext,
                          const operators::v1::ShowSchemaRequest* aRequest,
                          operators::v1::ShowSchemaResponse* aResponse) override;
  grpc::Status GiveKey(grpc::ServerContext* aContext,
                       const operators::v1::GiveKeyRequest* aRequest,
                       operators::v1::ChangeResponse* aResponse) override;
  grpc::Status WithdrawKey(grpc::ServerContext* aContext,
                           const operators::v1::WithdrawKeyRequest* aRequest,
                           operators::v1::ChangeResponse* aResponse) override;
  grpc::Status SetFailureDomain(grpc::ServerContext* aContext,
                                const operators::v1::SetStateRequest* aRequest,
                                operators::v1::ChangeResponse* aResponse) override;
  grpc::Status SetDatabase(grpc::ServerContext* aContext,
                           const operators::v1::SetStateRequest* aRequest,
                           operators::v1::ChangeResponse* aResponse) override;
  grpc::Status DrainVm(grpc::ServerContext* aContext,
                       const operators::v1::DrainVmRequest* aRequest,
                       operators::v1::ChangeResponse* aResponse) override;
  grpc::Status GetStatus(grpc::ServerContext* aContext,
                         const operators::v1::StatusRequest* aRequest,
                         operators::v1::StatusResponse* aResponse) override;

private:
  /** Applies the settings of the test to one call. */
  grpc::Status Finish(const std::string& aOperationId,
                      const std::string& aChange,
                      operators::v1::ChangeResponse* aResponse);
  /** Status of the next answer. Precondition: the mutex is held. */
  grpc::Status NextStatus();

  mutable std::mutex mutex;
  int answersToLose = 0;
  operators::v1::ChangeResult result = operators::v1::CHANGE_RESULT_ACCEPTED;
  grpc::StatusCode refusal = grpc::StatusCode::OK;
  std::vector<std::string> calls;
  std::vector<std::string> changes;
  /** Operation ids of the changes that took effect; the index plus one is the version. */
  std::vector<std::string> acceptedIds;
  int port = 0;
  std::unique_ptr<grpc::Server> server;
};

} // namespace mustardshift::test
