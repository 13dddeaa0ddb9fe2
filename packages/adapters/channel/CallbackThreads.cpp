#include "adapters/channel/CallbackThreads.h"

#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/security/credentials.h>

#include <memory>

namespace mustardshift {

namespace {

/** A channel without a connection that has used the callback threads once, and so holds them. */
struct Holder
{
  Holder()
    : channel(grpc::CreateChannel("invalid:///", grpc::InsecureChannelCredentials()))
    , stub(channel)
  {
    // A buffer without a slice is not a message to gRPC.
    const grpc::Slice empty;
    this->request = grpc::ByteBuffer(&empty, 1);
    this->stub.UnaryCall(&this->context,
                         "/none/None",
                         {},
                         &this->request,
                         &this->response,
                         [](const grpc::Status& /*aStatus*/) {});
  }

  std::shared_ptr<grpc::Channel> channel;
  grpc::GenericStub stub;
  grpc::ClientContext context;
  grpc::ByteBuffer request;
  grpc::ByteBuffer response;
};

} // namespace

void KeepCallbackThreads()
{
  // Never destroyed.
  static const auto* const kHolder = new Holder();
  static_cast<void>(kHolder);
}

} // namespace mustardshift
