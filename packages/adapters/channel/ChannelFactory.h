#pragma once

#include "core/base/Instant.h"

#include <grpcpp/channel.h>

#include <memory>
#include <string>

namespace mustardshift {

/** Makes a gRPC channel to a plain TCP address.

    @param aAddress    "IP:port"; names are not resolved.
    @param aUserAgent  identifies the calling process to the server; may be empty.

    The channel reconnects at most 500 ms after a failure, uses no HTTP proxy and never repeats a
    call by itself. Channels with equal arguments share one TCP connection.

    Thread safety: may be called from any thread. */
std::shared_ptr<grpc::Channel> MakeChannel(const std::string& aAddress,
                                           const std::string& aUserAgent = {});

/** Returns the gRPC deadline that lies aTimeout ahead on the monotonic clock, so that a step of the
    wall clock doesn't move it. Thread safety: may be called from any thread. */
gpr_timespec DeadlineAfter(Duration aTimeout);

} // namespace mustardshift
