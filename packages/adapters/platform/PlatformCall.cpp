#include "adapters/platform/PlatformCall.h"

namespace mustardshift {

std::optional<PlatformFailure> WaitUntilConnected(grpc::Channel& aChannel, gpr_timespec aDeadline)
{
  for (;;) {
    const grpc_connectivity_state state = aChannel.GetState(true);
    if (state == GRPC_CHANNEL_READY) {
      return std::nullopt;
    }
    if (state == GRPC_CHANNEL_TRANSIENT_FAILURE || state == GRPC_CHANNEL_SHUTDOWN) {
      return PlatformFailure{ PlatformError::NotReached, {}, "no connection to the platform" };
    }
    if (!aChannel.WaitForStateChange(state, aDeadline)) {
      return PlatformFailure{ PlatformError::NotReached,
                              {},
                              "no connection to the platform within the time limit" };
    }
  }
}

PlatformFailure FailureOf(const grpc::Status& aStatus)
{
  switch (aStatus.error_code()) {
    case grpc::StatusCode::INVALID_ARGUMENT:
    case grpc::StatusCode::UNIMPLEMENTED:
      return { PlatformError::Rejected, {}, aStatus.error_message() };
    default:
      return { PlatformError::AnswerLost, {}, aStatus.error_message() };
  }
}

} // namespace mustardshift
