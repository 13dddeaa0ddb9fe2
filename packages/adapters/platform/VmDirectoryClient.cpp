#include "adapters/platform/VmDirectoryClient.h"

#include "adapters/channel/ChannelFactory.h"
#include "adapters/platform/PlatformCall.h"
#include "platform.grpc.pb.h"

namespace mustardshift {

namespace v1 = platform::v1;

VmDirectoryClient::VmDirectoryClient(const std::string& aAddress, const std::string& aUserAgent)
  : channel(MakeChannel(aAddress, aUserAgent))
{
}

PlatformResult<std::vector<ListedVm>> VmDirectoryClient::List(Duration aTimeout)
{
  const v1::ListRequest request;
  return CallPlatform<v1::ListResponse>(
           *this->channel,
           aTimeout,
           [&](grpc::ClientContext& aContext, v1::ListResponse& aResponse) {
             return v1::VmDirectory::NewStub(this->channel)->List(&aContext, request, &aResponse);
           })
    .map([](const v1::ListResponse& aResponse) {
      std::vector<ListedVm> vms;
      for (const v1::ListedVm& vm : aResponse.vms()) {
        vms.push_back(
          ListedVm{ vm.address(), FailureDomainName(vm.failure_domain()), vm.leaving() });
      }
      return vms;
    });
}

} // namespace mustardshift
