#include "ctl/Ctl.h"

#include "adapters/schema/SchemaReader.h"
#include "adapters/settings/YamlMap.h"
#include "ctl/ApiKeyGenerator.h"
#include "ctl/CommandLineParser.h"
#include "ctl/CtlReport.h"
#include "ctl/OperatorClient.h"

#include <ostream>
#include <tl/expected.hpp>

namespace mustardshift {

namespace {

using namespace operators::v1;

ExitCode CodeOf(ChangeResult aResult)
{
  switch (aResult) {
    case CHANGE_RESULT_ACCEPTED:
      return ExitCode::Accepted;
    case CHANGE_RESULT_CONFLICT:
      return ExitCode::Conflict;
    case CHANGE_RESULT_INVALID:
      return ExitCode::Invalid;
    case CHANGE_RESULT_UNAVAILABLE:
      return ExitCode::Unavailable;
    default:
      // A result that this program doesn't know says nothing about the change.
      return ExitCode::Unknown;
  }
}

/** Result of a call that no VM answered. */
template<class Response>
CtlReport ReportWithoutAnswer(const CallResult<Response>& aResult)
{
  CtlReport report;
  report.message = aResult.message.empty() ? "the timeout ended first" : aResult.message;
  report.code = aResult.state == CallState::Refused ? ExitCode::Internal : ExitCode::Unavailable;
  if (aResult.state == CallState::Lost || aResult.earlierAnswerLost) {
    report.code = ExitCode::Unknown;
  }
  return report;
}

/** Result of a change. */
CtlReport ReportChange(const CallResult<ChangeResponse>& aResult)
{
  if (aResult.state != CallState::Answered) {
    return ReportWithoutAnswer(aResult);
  }
  const ChangeResponse& response = aResult.response;
  CtlReport report;
  report.code = CodeOf(response.result());
  report.message = response.message();
  report.version = response.version();
  report.confirmedBy.assign(response.confirmed_by().begin(), response.confirmed_by().end());
  report.unconfirmed.assign(response.unconfirmed().begin(), response.unconfirmed().end());
  report.inForceWithinMilliseconds = response.in_force_within_ms();
  // After a lost answer, a refusal may be caused by this very change: a conflict with the version
  // that it created, or a key that it withdrew before.
  if (aResult.earlierAnswerLost && report.code != ExitCode::Accepted) {
    report.message = "an earlier answer was lost, and the repeated change was refused as " +
                     std::string(ChangeResult_Name(response.result())) +
                     (response.message().empty() ? "" : ": " + response.message());
    report.code = ExitCode::Unknown;
  }
  return report;
}

/** Runs one command. */
class CtlRun
{
public:
  CtlRun(const CommandLine& aLine,
         std::shared_ptr<grpc::ChannelCredentials> aCredentials,
         std::ostream& aOut,
         std::ostream& aError)
    : line(aLine)
    , client(aLine, std::move(aCredentials))
    , out(aOut)
    , error(aError)
  {
  }

  ExitCode Run()
  {
    switch (this->line.command) {
      case CtlCommand::ApplySchema:
        return this->ApplySchema();
      case CtlCommand::ShowSchema:
        return this->Show(&OperatorClient::Stub::ShowSchema, ShowSchemaRequest(), &FormatSchema);
      case CtlCommand::GiveKey:
        return this->GiveKey();
      case CtlCommand::WithdrawKey:
        return this->WithdrawKey();
      case CtlCommand::TakeFailureDomainOut:
        return this->SetState(&OperatorClient::Stub::SetFailureDomain, false);
      case CtlCommand::BringFailureDomainIn:
        return this->SetState(&OperatorClient::Stub::SetFailureDomain, true);
      case CtlCommand::DrainDatabase:
        return this->SetState(&OperatorClient::Stub::SetDatabase, false);
      case CtlCommand::RestoreDatabase:
        return this->SetState(&OperatorClient::Stub::SetDatabase, true);
      case CtlCommand::DrainVm:
        return this->DrainVm();
      case CtlCommand::ShowStatus:
        return this->Show(&OperatorClient::Stub::GetStatus, StatusRequest(), &FormatStatus);
    }
    return ExitCode::Internal;
  }

private:
  template<class Request>
  using ChangeMethod = OperatorClient::Method<Request, ChangeResponse>;

  ExitCode ApplySchema()
  {
    const std::string& path = this->line.operands[0];
    InputErrorCollector errors(path);
    const auto text = ReadTextFile(path, errors);
    if (!text.has_value()) {
      return this->Fail(ExitCode::Invalid, ToString(errors.Take()));
    }
    const auto schema = SchemaReader().ReadText(*text, path);
    if (!schema.has_value()) {
      return this->Fail(ExitCode::Invalid, ToString(schema.error()));
    }
    ApplySchemaRequest request;
    request.set_schema(*text);
    return this->Change(&OperatorClient::Stub::ApplySchema, request);
  }

  ExitCode GiveKey()
  {
    const auto generated = GenerateApiKey();
    if (!generated.has_value()) {
      return this->Fail(ExitCode::Internal, "no random numbers, expected them from OpenSSL");
    }
    GiveKeyRequest request;
    request.set_organisation(this->line.operands[0]);
    request.set_key_name(this->line.operands[1]);
    request.set_key_hash(generated->hash);
    return this->Change(&OperatorClient::Stub::GiveKey, request, generated->key);
  }

  ExitCode WithdrawKey()
  {
    WithdrawKeyRequest request;
    request.set_organisation(this->line.operands[0]);
    request.set_key_name(this->line.operands[1]);
    return this->Change(&OperatorClient::Stub::WithdrawKey, request);
  }

  ExitCode SetState(ChangeMethod<SetStateRequest> aMethod, bool aInService)
  {
    SetStateRequest request;
    request.set_name(this->line.operands[0]);
    request.set_in_service(aInService);
    return this->Change(aMethod, request);
  }

  ExitCode DrainVm()
  {
    DrainVmRequest request;
    if (!this->line.operands.empty()) {
      request.set_vm(this->line.operands[0]);
    }
    return this->Print(ReportChange(
      this->client.Call(ChangeMethod<DrainVmRequest>(&OperatorClient::Stub::DrainVm), request)));
  }

  /** Sends a change under a new operation id.
      @param aKey  key to print if the change came into force or may have. */
  template<class Request>
  ExitCode Change(ChangeMethod<Request> aMethod, Request& aRequest, const std::string& aKey = "")
  {
    const auto operationId = GenerateOperationId();
    if (!operationId.has_value()) {
      return this->Fail(ExitCode::Internal, "no random numbers, expected them from OpenSSL");
    }
    aRequest.set_base_version(this->line.baseVersion);
    aRequest.set_operation_id(*operationId);
    CtlReport report = ReportChange(this->client.Call(aMethod, aRequest));
    report.operationId = *operationId;
    if (report.code == ExitCode::Accepted || report.code == ExitCode::Unknown) {
      report.key = aKey;
    }
    return this->Print(report);
  }

  template<class Request, class Response>
  ExitCode Show(OperatorClient::Method<Request, Response> aMethod,
                const Request& aRequest,
                std::string (*aFormat)(const Response&, OutputFormat))
  {
    const CallResult<Response> result = this->client.Call(aMethod, aRequest);
    if (result.state == CallState::Answered) {
      this->out << aFormat(result.response, this->line.output);
      return ExitCode::Accepted;
    }
    CtlReport report = ReportWithoutAnswer(result);
    // Reading changes nothing, so it leaves nothing unknown.
    if (report.code == ExitCode::Unknown) {
      report.code = ExitCode::Unavailable;
    }
    return this->Print(report);
  }

  ExitCode Fail(ExitCode aCode, const std::string& aMessage)
  {
    CtlReport report;
    report.code = aCode;
    report.message = aMessage;
    return this->Print(report);
  }

  ExitCode Print(const CtlReport& aReport)
  {
    const bool isResult = aReport.code == ExitCode::Accepted || !aReport.key.empty() ||
                          this->line.output == OutputFormat::Json;
    (isResult ? this->out : this->error) << FormatReport(aReport, this->line.output);
    return aReport.code;
  }

  const CommandLine& line;
  OperatorClient client;
  std::ostream& out;
  std::ostream& error;
};

tl::expected<std::shared_ptr<grpc::ChannelCredentials>, std::string> MakeCredentials(
  const CommandLine& aLine)
{
  if (aLine.ca.empty()) {
    return grpc::InsecureChannelCredentials();
  }
  grpc::SslCredentialsOptions options;
  const auto read = [](const std::string& aPath, std::string& aText) -> std::string {
    if (aPath.empty()) {
      return "";
    }
    InputErrorCollector errors(aPath);
    const auto text = ReadTextFile(aPath, errors);
    if (!text.has_value()) {
      return aPath + ": can't be read, expected a PEM file";
    }
    if (text->find("-----BEGIN ") == std::string::npos) {
      return aPath + ": has no \"-----BEGIN\" line, expected a PEM file";
    }
    aText = *text;
    return "";
  };
  for (const std::string& fault : { read(aLine.ca, options.pem_root_certs),
                                    read(aLine.certificate, options.pem_cert_chain),
                                    read(aLine.key, options.pem_private_key) }) {
    if (!fault.empty()) {
      return tl::unexpected(fault);
    }
  }
  return grpc::SslCredentials(options);
}

} // namespace

ExitCode RunCtl(const std::vector<std::string>& aArguments,
                std::ostream& aOut,
                std::ostream& aError)
{
  const auto line = ParseCtlCommandLine(aArguments);
  if (!line.has_value()) {
    aError << "mustardshiftctl: " << line.error() << "\n"
           << "\"mustardshiftctl --help\" shows commands, flags and exit codes.\n";
    return ExitCode::Invalid;
  }
  if (line->wantsHelp) {
    aOut << CtlUsage();
    return ExitCode::Accepted;
  }
  auto credentials = MakeCredentials(*line);
  if (!credentials.has_value()) {
    aError << "mustardshiftctl: " << credentials.error() << "\n";
    return ExitCode::Invalid;
  }
  return CtlRun(*line, std::move(*credentials), aOut, aError).Run();
}

} // namespace mustardshift
