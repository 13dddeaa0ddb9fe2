#pragma once

#include "caller.grpc.pb.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace mustardshift::bench {

/** Connections to the daemons' caller interface. Thread safety: may be used from any thread. */
class CallerChannels
{
public:
  CallerChannels(const std::vector<std::string>& aTargets, std::size_t aChannelsPerTarget);

  std::size_t TargetCount() const { return this->stubs.size() / this->channelsPerTarget; }
  caller::v1::Caller::Stub& Stub(std::size_t aTarget, std::size_t aChannel) const
  {
    return *this->stubs[aTarget * this->channelsPerTarget + aChannel % this->channelsPerTarget];
  }

private:
  std::size_t channelsPerTarget;
  std::vector<std::unique_ptr<caller::v1::Caller::Stub>> stubs;
};

/** Makes a connection that no other channel shares. Thread safety: may be called from any thread.
 */
std::shared_ptr<grpc::Channel> MakeOwnChannel(const std::string& aAddress);

/** Sets a call's deadline and, unless it is empty, the caller's key. */
void PrepareCall(grpc::ClientContext& aContext,
                 const std::string& aKey,
                 std::chrono::microseconds aTimeout);

} // namespace mustardshift::bench
