#pragma once

#include "core/configuration/ConfigurationChange.h"
#include "operator.grpc.pb.h"

#include <cstdint>
#include <string>

namespace mustardshift {

class Daemon;

/** The gRPC service for operators. Calls block gRPC's threads until the platform responds.

    Thread safety: gRPC calls the methods on its own threads. */
class OperatorService : public operators::v1::Operator::Service
{
public:
  explicit OperatorService(Daemon& aDaemon)
    : daemon(aDaemon)
  {
  }

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
  void SubmitChange(const ConfigurationAction& aAction,
                    std::uint64_t aBaseVersion,
                    const std::string& aOperationId,
                    operators::v1::ChangeResponse& aResponse);
  void AwaitConfirmations(std::uint64_t aVersion, operators::v1::ChangeResponse& aResponse);

  Daemon& daemon;
};

} // namespace mustardshift
