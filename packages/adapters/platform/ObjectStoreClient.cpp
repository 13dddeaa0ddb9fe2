#include "adapters/platform/ObjectStoreClient.h"

#include "adapters/channel/ChannelFactory.h"
#include "adapters/platform/PlatformCall.h"
#include "platform.grpc.pb.h"

namespace mustardshift {

namespace v1 = platform::v1;

ObjectStoreClient::ObjectStoreClient(const std::string& aAddress, const std::string& aUserAgent)
  : channel(MakeChannel(aAddress, aUserAgent))
{
}

PlatformResult<void> ObjectStoreClient::Put(const std::string& aName,
                                            const std::string& aContent,
                                            Duration aTimeout)
{
  v1::PutRequest request;
  request.set_name(aName);
  request.set_content(aContent);
  return CallPlatform<v1::PutResponse>(
           *this->channel,
           aTimeout,
           [&](grpc::ClientContext& aContext, v1::PutResponse& aResponse) {
             return v1::ObjectStore::NewStub(this->channel)->Put(&aContext, request, &aResponse);
           })
    .map([](const v1::PutResponse&) {});
}

PlatformResult<std::optional<std::string>> ObjectStoreClient::Get(const std::string& aName,
                                                                  Duration aTimeout)
{
  v1::GetRequest request;
  request.set_name(aName);
  return CallPlatform<v1::GetResponse>(
           *this->channel,
           aTimeout,
           [&](grpc::ClientContext& aContext, v1::GetResponse& aResponse) {
             return v1::ObjectStore::NewStub(this->channel)->Get(&aContext, request, &aResponse);
           })
    .map([](const v1::GetResponse& aResponse) {
      return aResponse.found() ? std::optional<std::string>(aResponse.content()) : std::nullopt;
    });
}

} // namespace mustardshift
