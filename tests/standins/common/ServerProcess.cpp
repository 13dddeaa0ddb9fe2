#include "standins/common/ServerProcess.h"

#include "adapters/channel/CallbackThreads.h"

#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

#include <csignal>

namespace mustardshift::standin {

namespace {

sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

} // namespace

std::unique_ptr<grpc::Server> StartServer(const std::string& aListen,
                                          const std::vector<grpc::Service*>& aServices,
                                          int& aPort)
{
  KeepCallbackThreads();
  grpc::ServerBuilder builder;
  builder.AddListeningPort(aListen, grpc::InsecureServerCredentials(), &aPort);
  // Two servers on one address would share its connections instead of the second one failing.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  for (grpc::Service* service : aServices) {
    builder.RegisterService(service);
  }
  auto server = builder.BuildAndStart();
  return aPort == 0 ? nullptr : std::move(server);
}

void BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal()
{
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

} // namespace mustardshift::standin
