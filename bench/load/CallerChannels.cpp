#include "load/CallerChannels.h"

#include "adapters/channel/ChannelFactory.h"

#include <grpcpp/create_channel.h>

namespace mustardshift::bench {

std::shared_ptr<grpc::Channel> MakeOwnChannel(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  return grpc::CreateCustomChannel(
    "ipv4:" + aAddress, grpc::InsecureChannelCredentials(), arguments);
}

CallerChannels::CallerChannels(const std::vector<std::string>& aTargets,
                               std::size_t aChannelsPerTarget)
  : channelsPerTarget(aChannelsPerTarget)
{
  for (const std::string& target : aTargets) {
    for (std::size_t index = 0; index < aChannelsPerTarget; ++index) {
      this->stubs.push_back(caller::v1::Caller::NewStub(MakeOwnChannel(target)));
    }
  }
}

void PrepareCall(grpc::ClientContext& aContext,
                 const std::string& aKey,
                 std::chrono::microseconds aTimeout)
{
  if (!aKey.empty()) {
    aContext.AddMetadata("mustardshift-key", aKey);
  }
  aContext.set_deadline(DeadlineAfter(aTimeout));
}

} // namespace mustardshift::bench
