#include "standins/common/ServerProcess.h"
#include "standins/database/DatabaseServer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:7100", "address to listen on, IP:port");
ABSL_FLAG(std::vector<std::string>, peers, {}, "addresses of the group's other servers");
ABSL_FLAG(double, lag_ms, 0, "time until a replica holds a log entry that arrived");
ABSL_FLAG(int, slots, 3, "statements executed at a time");
ABSL_FLAG(int, connection_limit, 20, "connections accepted at a time");
ABSL_FLAG(double, connection_cost_ms, 10, "time to open a connection");
ABSL_FLAG(double, statement_ms, 0.2, "time for which a statement holds its slot");
ABSL_FLAG(std::string, state_file, "", "file that keeps the log across a kill and restart");
ABSL_FLAG(std::string,
          initial_primary,
          "",
          "address of the server that leads term 1; this one if it equals --listen");

namespace {

mustardshift::Duration Milliseconds(double aValue)
{
  return std::chrono::duration_cast<mustardshift::Duration>(
    std::chrono::duration<double, std::milli>(aValue));
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  using namespace mustardshift::standin;
  absl::ParseCommandLine(aArgumentCount, aArguments);
  BlockStopSignals();
  DatabaseOptions options;
  options.listen = absl::GetFlag(FLAGS_listen);
  options.peers = absl::GetFlag(FLAGS_peers);
  options.initialPrimary = absl::GetFlag(FLAGS_initial_primary);
  options.lag = Milliseconds(absl::GetFlag(FLAGS_lag_ms));
  options.slots = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_slots));
  options.connectionLimit = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_connection_limit));
  options.connectionCost = Milliseconds(absl::GetFlag(FLAGS_connection_cost_ms));
  options.statementTime = Milliseconds(absl::GetFlag(FLAGS_statement_ms));
  options.stateFile = absl::GetFlag(FLAGS_state_file);
  const auto server = DatabaseServer::Start(options);
  if (!server) {
    std::cerr << "standin_database: can't listen on " << options.listen << std::endl;
    return 1;
  }
  std::cout << "standin_database: listening on " << server->Address() << std::endl;
  WaitForStopSignal();
  return 0;
}
