#include "adapters/channel/ChannelFactory.h"

#include "adapters/channel/CallbackThreads.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

namespace mustardshift {

std::shared_ptr<grpc::Channel> MakeChannel(const std::string& aAddress,
                                           const std::string& aUserAgent)
{
  KeepCallbackThreads();
  grpc::ChannelArguments arguments;
  // gRPC waits up to 120 s between attempts by default, longer than a failover may take.
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
  // This is also the time limit of one connection attempt, 20 s by default.
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 500);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  // A statement must never be sent twice without the caller's knowledge.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  if (!aUserAgent.empty()) {
    arguments.SetUserAgentPrefix(aUserAgent);
  }
  const std::string scheme = aAddress.starts_with("[") ? "ipv6:" : "ipv4:";
  return grpc::CreateCustomChannel(
    scheme + aAddress, grpc::InsecureChannelCredentials(), arguments);
}

gpr_timespec DeadlineAfter(Duration aTimeout)
{
  return gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC),
                      gpr_time_from_micros(aTimeout.count(), GPR_TIMESPAN));
}

} // namespace mustardshift
