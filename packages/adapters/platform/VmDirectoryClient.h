#pragma once

#include "adapters/platform/ListedVm.h"
#include "adapters/platform/PlatformFailure.h"
#include "core/base/Instant.h"

#include <memory>
#include <string>
#include <vector>

namespace grpc {
class Channel;
} // namespace grpc

namespace mustardshift {

/** Client of the platform's list of VMs. Each call blocks its thread for at most its timeout.

    Thread safety: all methods may be called from any thread, except from gRPC callbacks. */
class VmDirectoryClient
{
public:
  /** @param aAddress    "IP:port" of the platform.
      @param aUserAgent  identifies the calling process to the platform; may be empty. */
  explicit VmDirectoryClient(const std::string& aAddress, const std::string& aUserAgent = {});

  PlatformResult<std::vector<ListedVm>> List(Duration aTimeout);

private:
  std::shared_ptr<grpc::Channel> channel;
};

} // namespace mustardshift
