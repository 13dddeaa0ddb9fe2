#include "FakeOperatorService.h"

#include <algorithm>

namespace mustardshift::test {

using namespace operators::v1;

FakeOperatorService::FakeOperatorService(
  const std::shared_ptr<grpc::ServerCredentials>& aCredentials)
{
  grpc::ServerBuilder builder;
  // Two services on one port would share the test's calls.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort("127.0.0.1:0", aCredentials, &this->port);
  builder.RegisterService(this);
  this->server = builder.BuildAndStart();
}

FakeOperatorService::~FakeOperatorService()
{
  this->Stop();
}

std::string FakeOperatorService::Address() const
{
  return "127.0.0.1:" + std::to_string(this->port);
}

void FakeOperatorService::Stop()
{
  if (this->server != nullptr) {
    this->server->Shutdown(std::chrono::system_clock::now());
    this->server->Wait();
    this->server.reset();
  }
}

void FakeOperatorService::LoseAnswers(int aCount)
{
  const std::lock_guard lock(this->mutex);
  this->answersToLose = aCount;
}

void FakeOperatorService::AnswerWith(ChangeResult aResult)
{
  const std::lock_guard lock(this->mutex);
  this->result = aResult;
}

void FakeOperatorService::RefuseWith(grpc::StatusCode aCode)
{
  const std::lock_guard lock(this->mutex);
  this->refusal = aCode;
}

std::vector<std::string> FakeOperatorService::Calls() const
{
  const std::lock_guard lock(this->mutex);
  return this->calls;
}

std::vector<std::string> FakeOperatorService::Changes() const
{
  const std::lock_guard lock(this->mutex);
  return this->changes;
}

grpc::Status FakeOperatorService::NextStatus()
{
  if (this->answersToLose > 0) {
    --this->answersToLose;
    return { grpc::StatusCode::UNAVAILABLE, "the connection broke" };
  }
  return grpc::Status::OK;
}

grpc::Status FakeOperatorService::Finish(const std::string& aOperationId,
                                         const std::string& aChange,
                                         ChangeResponse* aResponse)
{
  const std::lock_guard lock(this->mutex);
  this->calls.push_back(aOperationId);
  if (this->refusal != grpc::StatusCode::OK) {
    return { this->refusal, "refused" };
  }
  const auto known = std::find(this->acceptedIds.begin(), this->acceptedIds.end(), aOperationId);
  std::size_t version = static_cast<std::size_t>(known - this->acceptedIds.begin()) + 1;
  aResponse->set_result(CHANGE_RESULT_ACCEPTED);
  if (known == this->acceptedIds.end() || aOperationId.empty()) {
    aResponse->set_result(this->result);
    version = this->acceptedIds.size();
    if (this->result == CHANGE_RESULT_ACCEPTED) {
      this->acceptedIds.push_back(aOperationId);
      this->changes.push_back(aChange);
      version = this->acceptedIds.size();
    }
  }
  aResponse->set_version(version);
  aResponse->set_message("from the VM");
  aResponse->add_confirmed_by("vm-a");
  aResponse->add_unconfirmed("vm-b");
  aResponse->set_in_force_within_ms(5000);
  return this->NextStatus();
}

grpc::Status FakeOperatorService::ApplySchema(grpc::ServerContext* /*aContext*/,
                                              const ApplySchemaRequest* aRequest,
                                              ChangeResponse* aResponse)
{
  return this->Finish(aRequest->operation_id(),
                      "apply " + std::to_string(aRequest->base_version()) + " " +
                        aRequest->schema(),
                      aResponse);
}

grpc::Status FakeOperatorService::ShowSchema(grpc::ServerContext* /*aContext*/,
                                             const ShowSchemaRequest* /*aRequest*/,
                                             ShowSchemaResponse* aResponse)
{
  const std::lock_guard lock(this->mutex);
  this->calls.emplace_back();
  aResponse->set_version(3);
  aResponse->set_schema("organisations: []\n");
  return this->NextStatus();
}

grpc::Status FakeOperatorService::GiveKey(grpc::ServerContext* /*aContext*/,
                                          const GiveKeyRequest* aRequest,
                                          ChangeResponse* aResponse)
{
  return this->Finish(aRequest->operation_id(),
                      "give " + aRequest->organisation() + " " + aRequest->key_name() + " " +
                        aRequest->key_hash(),
                      aResponse);
}

grpc::Status FakeOperatorService::WithdrawKey(grpc::ServerContext* /*aContext*/,
                                              const WithdrawKeyRequest* aRequest,
                                              ChangeResponse* aResponse)
{
  return this->Finish(aRequest->operation_id(),
                      "withdraw " + aRequest->organisation() + " " + aRequest->key_name(),
                      aResponse);
}

grpc::Status FakeOperatorService::SetFailureDomain(grpc::ServerContext* /*aContext*/,
                                                   const SetStateRequest* aRequest,
                                                   ChangeResponse* aResponse)
{
  return this->Finish(aRequest->operation_id(),
                      "failure domain " + aRequest->name() +
                        (aRequest->in_service() ? " in" : " out"),
                      aResponse);
}

grpc::Status FakeOperatorService::SetDatabase(grpc::ServerContext* /*aContext*/,
                                              const SetStateRequest* aRequest,
                                              ChangeResponse* aResponse)
{
  return this->Finish(aRequest->operation_id(),
                      "database " + aRequest->name() + (aRequest->in_service() ? " in" : " out"),
                      aResponse);
}

grpc::Status FakeOperatorService::DrainVm(grpc::ServerContext* /*aContext*/,
                                          const DrainVmRequest* aRequest,
                                          ChangeResponse* aResponse)
{
  return this->Finish("", "drain vm " + aRequest->vm(), aResponse);
}

grpc::Status FakeOperatorService::GetStatus(grpc::ServerContext* /*aContext*/,
                                            const StatusRequest* /*aRequest*/,
                                            StatusResponse* aResponse)
{
  const std::lock_guard lock(this->mutex);
  this->calls.emplace_back();
  aResponse->set_vm("vm-a");
  aResponse->set_configuration_version(3);
  aResponse->set_configuration_trusted(true);
  auto* vm = aResponse->add_vms();
  vm->set_id("vm-b");
  vm->set_failure_domain("fd-2");
  auto* database = aResponse->add_databases();
  database->set_name("bookings");
  database->set_term(4);
  aResponse->add_drained_failure_domains("fd-3");
  return this->NextStatus();
}

} // namespace mustardshift::test
