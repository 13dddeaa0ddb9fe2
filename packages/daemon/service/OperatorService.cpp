#include "daemon/service/OperatorService.h"

#include "adapters/schema/SchemaReader.h"
#include "adapters/schema/SchemaWriter.h"
#include "daemon/Daemon.h"
#include "daemon/request/RandomHexadecimal.h"

#include <thread>
#include <utility>

namespace mustardshift {

namespace {

/** Maximum time that a response is delayed until the other VMs confirm a change. */
constexpr Duration kConfirmationTimeout = std::chrono::seconds(3);
constexpr Duration kConfirmationPollInterval = std::chrono::milliseconds(50);
constexpr std::size_t kSecretBytes = 32;

operators::v1::ChangeResult ToProtocol(AcceptStatus aStatus)
{
  switch (aStatus) {
    case AcceptStatus::Accepted:
      return operators::v1::CHANGE_RESULT_ACCEPTED;
    case AcceptStatus::Conflict:
      return operators::v1::CHANGE_RESULT_CONFLICT;
    case AcceptStatus::Invalid:
      return operators::v1::CHANGE_RESULT_INVALID;
    case AcceptStatus::Unavailable:
      return operators::v1::CHANGE_RESULT_UNAVAILABLE;
    case AcceptStatus::Unknown:
      break;
  }
  return operators::v1::CHANGE_RESULT_UNKNOWN;
}

std::string JoinErrors(const InputErrors& aErrors)
{
  std::string text;
  for (const InputError& error : aErrors) {
    text += (text.empty() ? "" : "\n") + error.ToString();
  }
  return text;
}

} // namespace

void OperatorService::SubmitChange(const ConfigurationAction& aAction,
                                   std::uint64_t aBaseVersion,
                                   const std::string& aOperationId,
                                   operators::v1::ChangeResponse& aResponse)
{
  AcceptResult result;
  result.message = "this VM is stopping";
  this->daemon.platformLoop.PostAndWait([&](Instant /*aNow*/) {
    result = this->daemon.configuration.SubmitChange(aAction, aBaseVersion, aOperationId);
  });
  aResponse.set_result(ToProtocol(result.status));
  aResponse.set_message(result.message);
  aResponse.set_version(result.version);
  if (result.status == AcceptStatus::Accepted) {
    this->AwaitConfirmations(result.version, aResponse);
  }
}

void OperatorService::AwaitConfirmations(std::uint64_t aVersion,
                                         operators::v1::ChangeResponse& aResponse)
{
  for (Duration waited{ 0 }; waited <= kConfirmationTimeout; waited += kConfirmationPollInterval) {
    aResponse.clear_confirmed_by();
    aResponse.clear_unconfirmed();
    this->daemon.requestLoop.PostAndWait([&](Instant aNow) {
      aResponse.add_confirmed_by(this->daemon.settings.vm.Text());
      if (waited.count() % std::chrono::microseconds(std::chrono::milliseconds(500)).count() == 0) {
        this->daemon.peers.Ping(aNow);
      }
      for (const auto& [vm, row] : this->daemon.registeredVms) {
        if (vm == this->daemon.settings.vm) {
          continue;
        }
        if (this->daemon.peers.ConfigurationVersionOf(vm) >= aVersion) {
          aResponse.add_confirmed_by(vm.Text());
        } else {
          aResponse.add_unconfirmed(vm.Text());
        }
      }
    });
    if (aResponse.unconfirmed().empty()) {
      return;
    }
    std::this_thread::sleep_for(kConfirmationPollInterval);
  }
  const auto bound =
    std::chrono::duration_cast<std::chrono::milliseconds>(kConfigurationTrustBound);
  aResponse.set_in_force_within_ms(static_cast<std::uint32_t>(bound.count()));
}

grpc::Status OperatorService::ApplySchema(grpc::ServerContext* /*aContext*/,
                                          const operators::v1::ApplySchemaRequest* aRequest,
                                          operators::v1::ChangeResponse* aResponse)
{
  auto schema = SchemaReader{}.ReadText(aRequest->schema(), "schema");
  if (!schema) {
    aResponse->set_result(operators::v1::CHANGE_RESULT_INVALID);
    aResponse->set_message(JoinErrors(schema.error()));
    return grpc::Status::OK;
  }
  this->SubmitChange(ReplaceSchema{ std::move(schema->organisations),
                                    std::move(schema->routes),
                                    std::move(schema->databases),
                                    RandomHexadecimal(kSecretBytes) },
                     aRequest->base_version(),
                     aRequest->operation_id(),
                     *aResponse);
  return grpc::Status::OK;
}

grpc::Status OperatorService::ShowSchema(grpc::ServerContext* /*aContext*/,
                                         const operators::v1::ShowSchemaRequest* /*aRequest*/,
                                         operators::v1::ShowSchemaResponse* aResponse)
{
  this->daemon.platformLoop.PostAndWait([&](Instant /*aNow*/) {
    const Configuration& present = *this->daemon.configuration.Current();
    aResponse->set_version(present.version);
    aResponse->set_schema(SchemaWriter{}.WriteText(present));
  });
  return grpc::Status::OK;
}

grpc::Status OperatorService::GiveKey(grpc::ServerContext* /*aContext*/,
                                      const operators::v1::GiveKeyRequest* aRequest,
                                      operators::v1::ChangeResponse* aResponse)
{
  mustardshift::GiveKey action;
  action.organisation = OrganisationName(aRequest->organisation());
  action.key = { aRequest->key_name(), aRequest->key_hash() };
  this->SubmitChange(action, aRequest->base_version(), aRequest->operation_id(), *aResponse);
  return grpc::Status::OK;
}

grpc::Status OperatorService::WithdrawKey(grpc::ServerContext* /*aContext*/,
                                          const operators::v1::WithdrawKeyRequest* aRequest,
                                          operators::v1::ChangeResponse* aResponse)
{
  this->SubmitChange(
    mustardshift::WithdrawKey{ OrganisationName(aRequest->organisation()), aRequest->key_name() },
    aRequest->base_version(),
    aRequest->operation_id(),
    *aResponse);
  return grpc::Status::OK;
}

grpc::Status OperatorService::SetFailureDomain(grpc::ServerContext* /*aContext*/,
                                               const operators::v1::SetStateRequest* aRequest,
                                               operators::v1::ChangeResponse* aResponse)
{
  this->SubmitChange(
    SetFailureDomainState{ FailureDomainName(aRequest->name()), aRequest->in_service() },
    aRequest->base_version(),
    aRequest->operation_id(),
    *aResponse);
  return grpc::Status::OK;
}

grpc::Status OperatorService::SetDatabase(grpc::ServerContext* /*aContext*/,
                                          const operators::v1::SetStateRequest* aRequest,
                                          operators::v1::ChangeResponse* aResponse)
{
  this->SubmitChange(SetDatabaseState{ DatabaseName(aRequest->name()), aRequest->in_service() },
                     aRequest->base_version(),
                     aRequest->operation_id(),
                     *aResponse);
  return grpc::Status::OK;
}

grpc::Status OperatorService::DrainVm(grpc::ServerContext* /*aContext*/,
                                      const operators::v1::DrainVmRequest* aRequest,
                                      operators::v1::ChangeResponse* aResponse)
{
  if (!aRequest->vm().empty() && aRequest->vm() != this->daemon.settings.vm.Text()) {
    std::string address;
    this->daemon.requestLoop.PostAndWait([&](Instant /*aNow*/) {
      const auto found = this->daemon.registeredVms.find(VmId(aRequest->vm()));
      if (found != this->daemon.registeredVms.end()) {
        address = found->second.operatorAddress;
      }
    });
    aResponse->set_result(operators::v1::CHANGE_RESULT_INVALID);
    aResponse->set_message(address.empty() ? "no VM of this name is registered"
                                           : "ask that VM itself, at " + address);
    return grpc::Status::OK;
  }
  this->daemon.BeginDrain();
  aResponse->set_result(operators::v1::CHANGE_RESULT_ACCEPTED);
  aResponse->set_message("this VM takes no new work");
  return grpc::Status::OK;
}

grpc::Status OperatorService::GetStatus(grpc::ServerContext* /*aContext*/,
                                        const operators::v1::StatusRequest* /*aRequest*/,
                                        operators::v1::StatusResponse* aResponse)
{
  this->daemon.requestLoop.PostAndWait([&](Instant aNow) {
    const Daemon& d = this->daemon;
    aResponse->set_vm(d.settings.vm.Text());
    aResponse->set_configuration_version(d.trust.Version());
    aResponse->set_configuration_trusted(d.trust.IsTrusted(aNow));
    aResponse->set_platform_reachable(d.trust.Report(aNow).reachesPlatform);
    if (d.heldShards) {
      aResponse->set_held_quota_shards(
        static_cast<std::uint32_t>(d.heldShards->HeldShards(aNow).size()));
    }
    const std::vector<VmId> reachable = d.peers.ReachablePeers(aNow);
    const std::vector<VmId> serving = d.peers.ServingPeers(aNow);
    for (const auto& [vm, row] : d.registeredVms) {
      operators::v1::VmStatus* status = aResponse->add_vms();
      const bool isSelf = vm == d.settings.vm;
      const bool isReachable =
        isSelf || std::find(reachable.begin(), reachable.end(), vm) != reachable.end();
      const bool isServing = std::find(serving.begin(), serving.end(), vm) != serving.end();
      status->set_id(vm.Text());
      status->set_address(row.callerAddress);
      status->set_failure_domain(row.failureDomain.Text());
      status->set_reachable(isReachable);
      status->set_configuration_version(isSelf ? d.trust.Version()
                                               : d.peers.ConfigurationVersionOf(vm));
      status->set_draining(isSelf ? d.isDraining.load() : isReachable && !isServing);
    }
    for (const auto& [name, dispatcher] : d.processor.Dispatchers()) {
      operators::v1::DatabaseStatus* status = aResponse->add_databases();
      status->set_name(name.Text());
      status->set_term(dispatcher->Primary().term);
      status->set_primary(dispatcher->Primary().server.Text());
      status->set_in_service(dispatcher->IsInService());
    }
    for (const FailureDomainName& drained : d.processor.GetConfiguration().drainedFailureDomains) {
      aResponse->add_drained_failure_domains(drained.Text());
    }
  });
  return grpc::Status::OK;
}

} // namespace mustardshift
