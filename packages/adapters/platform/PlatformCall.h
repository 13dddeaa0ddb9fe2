#pragma once

#include "adapters/platform/PlatformFailure.h"
#include "core/base/Instant.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/support/status.h>

#include <optional>

namespace mustardshift {

/** Waits until the channel is connected. Returns the failure NotReached when a connection attempt
    failed or the deadline passed; nothing was sent then. Thread safety: may be called from any
    thread. */
std::optional<PlatformFailure> WaitUntilConnected(grpc::Channel& aChannel, gpr_timespec aDeadline);

/** Translates the status of a call that was started on a connected channel. gRPC does not tell
    whether a call that broke had reached the server, so all but an explicit rejection counts as a
    lost answer. Precondition: aStatus is not OK. Thread safety: pure. */
PlatformFailure FailureOf(const grpc::Status& aStatus);

/** Makes one blocking call: connects, sets the deadline, and translates its status.

    @param aMethod  called with the ClientContext and the response; returns the grpc::Status. */
template<class Response, class Method>
PlatformResult<Response> CallPlatform(grpc::Channel& aChannel, Duration aTimeout, Method aMethod);

} // namespace mustardshift

#include "adapters/channel/ChannelFactory.h"

template<class Response, class Method>
mustardshift::PlatformResult<Response> mustardshift::CallPlatform(grpc::Channel& aChannel,
                                                                  Duration aTimeout,
                                                                  Method aMethod)
{
  const gpr_timespec deadline = DeadlineAfter(aTimeout);
  if (auto failure = WaitUntilConnected(aChannel, deadline)) {
    return tl::unexpected<PlatformFailure>(std::move(*failure));
  }
  grpc::ClientContext context;
  context.set_deadline(deadline);
  Response response;
  const grpc::Status status = aMethod(context, response);
  if (!status.ok()) {
    return tl::unexpected<PlatformFailure>(FailureOf(status));
  }
  return response;
}
