#include "caller.grpc.pb.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <chrono>
#include <fstream>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

ABSL_FLAG(std::string, vm, "127.0.0.1:6000", "caller address of an entry VM");
ABSL_FLAG(std::string, key, "", "the organisation's key; none on public routes");
ABSL_FLAG(std::string, route, "", "route to use");
ABSL_FLAG(std::string, statement, "", "statement to run");
ABSL_FLAG(std::vector<std::string>, parameters, {}, "values of the statement's placeholders");
ABSL_FLAG(std::string, request_id, "", "id of the request; a retry carries the same one");
ABSL_FLAG(bool, read, false, "the statement only reads");
ABSL_FLAG(bool, repeatable, false, "running the statement twice does no harm");
ABSL_FLAG(std::string, session, "", "file that keeps the session token between calls");
ABSL_FLAG(int, timeout_ms, 5000, "deadline in milliseconds");

namespace {

constexpr int kExitNotRun = 3;
constexpr int kExitMayHaveRun = 4;

std::string ReadSession(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

} // namespace

/** Sends one statement to an entry VM and prints the answer. Exit codes: 0 run, 3 not run, 4 may
    have run. */
int main(int aArgumentCount, char** aArguments)
{
  using namespace mustardshift::caller::v1;
  absl::SetProgramUsageMessage("Sends one statement to a mustardshift entry VM.");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  const auto stub = Caller::NewStub(
    grpc::CreateChannel(absl::GetFlag(FLAGS_vm), grpc::InsecureChannelCredentials()));

  ExecuteRequest request;
  request.set_route(absl::GetFlag(FLAGS_route));
  request.set_statement(absl::GetFlag(FLAGS_statement));
  for (const std::string& parameter : absl::GetFlag(FLAGS_parameters)) {
    request.add_parameters(parameter);
  }
  request.set_request_id(absl::GetFlag(FLAGS_request_id));
  request.set_read_only(absl::GetFlag(FLAGS_read));
  request.set_repeatable(absl::GetFlag(FLAGS_repeatable));
  const std::string session = absl::GetFlag(FLAGS_session);
  if (!session.empty()) {
    request.set_session_token(ReadSession(session));
  }

  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() +
                       std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms)));
  if (!absl::GetFlag(FLAGS_key).empty()) {
    context.AddMetadata("mustardshift-key", absl::GetFlag(FLAGS_key));
  }
  ExecuteResponse response;
  const grpc::Status status = stub->Execute(&context, request, &response);
  if (!status.ok()) {
    std::cout << "no answer: " << status.error_message() << std::endl;
    return kExitMayHaveRun;
  }
  if (response.outcome().verdict() != VERDICT_RUN) {
    std::cout << Verdict_Name(response.outcome().verdict()) << " " << response.outcome().reason()
              << ": " << response.outcome().message() << std::endl;
    return response.outcome().verdict() == VERDICT_NOT_RUN ? kExitNotRun : kExitMayHaveRun;
  }
  if (!session.empty()) {
    std::ofstream(session, std::ios::binary) << response.session_token();
  }
  std::cout << "run" << (response.served_by_replica() ? " (replica)" : "") << std::endl;
  for (const std::string& row : response.rows()) {
    std::cout << "  " << row << std::endl;
  }
  return 0;
}
