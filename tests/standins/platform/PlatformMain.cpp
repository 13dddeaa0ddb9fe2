#include "standins/common/ServerProcess.h"
#include "standins/platform/PlatformServer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:7000", "address to listen on, IP:port");
ABSL_FLAG(double, writes_per_second, 500, "capacity of commits and, separately, of object puts");
ABSL_FLAG(double, reads_per_second, 2000, "capacity of reads and scans and, separately, of gets");

int main(int aArgumentCount, char** aArguments)
{
  using namespace mustardshift::standin;
  absl::ParseCommandLine(aArgumentCount, aArguments);
  BlockStopSignals();
  PlatformOptions options;
  options.listen = absl::GetFlag(FLAGS_listen);
  options.writesPerSecond = absl::GetFlag(FLAGS_writes_per_second);
  options.readsPerSecond = absl::GetFlag(FLAGS_reads_per_second);
  const auto server = PlatformServer::Start(options);
  if (!server) {
    std::cerr << "standin_platform: can't listen on " << options.listen << std::endl;
    return 1;
  }
  std::cout << "standin_platform: listening on " << server->Address() << std::endl;
  WaitForStopSignal();
  return 0;
}
