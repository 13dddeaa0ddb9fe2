#pragma once

#include "adapters/platform/PlatformFailure.h"
#include "core/base/Instant.h"

#include <memory>
#include <optional>
#include <string>

namespace grpc {
class Channel;
} // namespace grpc

namespace mustardshift {

/** Client of the platform's object store. Each call blocks its thread for at most its timeout.

    Thread safety: all methods may be called from any thread, except from gRPC callbacks. */
class ObjectStoreClient
{
public:
  /** @param aAddress    "IP:port" of the platform.
      @param aUserAgent  identifies the calling process to the platform; may be empty. */
  explicit ObjectStoreClient(const std::string& aAddress, const std::string& aUserAgent = {});

  /** Stores an object, in place of one of the same name. Errors: NotReached and Rejected (not run),
      AnswerLost (may have run; repeating it is harmless). */
  PlatformResult<void> Put(const std::string& aName,
                           const std::string& aContent,
                           Duration aTimeout);

  /** Returns the object's content, or nothing when there is no such object. */
  PlatformResult<std::optional<std::string>> Get(const std::string& aName, Duration aTimeout);

private:
  std::shared_ptr<grpc::Channel> channel;
};

} // namespace mustardshift
