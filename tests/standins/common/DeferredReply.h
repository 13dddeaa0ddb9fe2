#pragma once

#include <grpcpp/support/server_callback.h>
#include <grpcpp/support/status.h>

#include <memory>
#include <mutex>
#include <utility>

namespace mustardshift::standin {

/** A unary call that may be answered later, from any thread, or never. When the caller gives up,
    the call is finished and a later answer is ignored. */
template<class Response>
class DeferredReply
  : public grpc::ServerUnaryReactor
  , public std::enable_shared_from_this<DeferredReply<Response>>
{
public:
  /** @param aResponse  where gRPC expects the response. */
  static std::shared_ptr<DeferredReply> Make(Response* aResponse)
  {
    auto reply = std::shared_ptr<DeferredReply>(new DeferredReply(aResponse));
    reply->self = reply;
    return reply;
  }

  /** Answers the call, unless it has been answered or given up. */
  void Answer(Response aResponse)
  {
    const std::lock_guard lock(this->mutex);
    if (!std::exchange(this->finished, true)) {
      *this->response = std::move(aResponse);
      this->Finish(grpc::Status::OK);
    }
  }

  /** Fails the call, unless it has been answered or given up. */
  void Fail(const grpc::Status& aStatus)
  {
    const std::lock_guard lock(this->mutex);
    if (!std::exchange(this->finished, true)) {
      this->Finish(aStatus);
    }
  }

  void OnCancel() override { this->Fail(grpc::Status::CANCELLED); }

  void OnDone() override
  {
    // May destroy the call.
    const std::shared_ptr<DeferredReply> last = std::move(this->self);
  }

private:
  explicit DeferredReply(Response* aResponse)
    : response(aResponse)
  {
  }

  std::mutex mutex;
  Response* response;
  bool finished = false;
  std::shared_ptr<DeferredReply> self;
};

} // namespace mustardshift::standin
