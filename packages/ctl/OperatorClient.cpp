#include "ctl/OperatorClient.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace mustardshift {

namespace {

/** Longest wait for one connection, so that a VM that drops packets leaves time for the next. */
constexpr std::chrono::seconds kConnectTimeout{ 2 };
constexpr Duration kLongestPause = std::chrono::seconds(1);

std::chrono::system_clock::time_point ToSystemTime(std::chrono::steady_clock::duration aFromNow)
{
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(aFromNow);
}

} // namespace

OperatorClient::OperatorClient(const CommandLine& aLine,
                               std::shared_ptr<grpc::ChannelCredentials> aCredentials)
  : vms(aLine.vms)
  , timeout(aLine.timeout)
  , credentials(std::move(aCredentials))
{
  MUSTARDSHIFT_ASSERT(!this->vms.empty());
}

OperatorClient::Connection& OperatorClient::ConnectionOf(const std::string& aAddress)
{
  Connection& connection = this->connections[aAddress];
  if (connection.channel == nullptr) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    // Operators' machines may have a proxy for other traffic; VMs are reached directly.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    connection.channel = grpc::CreateCustomChannel(aAddress, this->credentials, arguments);
    connection.stub = operators::v1::Operator::NewStub(connection.channel);
  }
  return connection;
}

OperatorClient::Stub* OperatorClient::StubOf(const std::string& aAddress)
{
  return this->ConnectionOf(aAddress).stub.get();
}

bool OperatorClient::Connect(const std::string& aAddress, SteadyTime aEnd)
{
  grpc::Channel& channel = *this->ConnectionOf(aAddress).channel;
  const auto now = std::chrono::steady_clock::now();
  const auto share = (aEnd - now) / static_cast<std::int64_t>(this->vms.size());
  const auto deadline =
    ToSystemTime(std::min<std::chrono::steady_clock::duration>(kConnectTimeout, share));
  grpc_connectivity_state state = channel.GetState(true);
  while (state != GRPC_CHANNEL_READY) {
    if (state == GRPC_CHANNEL_TRANSIENT_FAILURE || state == GRPC_CHANNEL_SHUTDOWN) {
      return false;
    }
    if (!channel.WaitForStateChange(state, deadline)) {
      return false;
    }
    state = channel.GetState(true);
  }
  return true;
}

std::chrono::system_clock::time_point OperatorClient::AttemptDeadline(SteadyTime aEnd)
{
  const auto remaining = aEnd - std::chrono::steady_clock::now();
  const auto attempt = std::max<std::chrono::steady_clock::duration>(
    remaining / 2, std::min<std::chrono::steady_clock::duration>(remaining, kLongestPause));
  return ToSystemTime(attempt);
}

void OperatorClient::Pause(Duration& aPause, SteadyTime aEnd)
{
  const auto now = std::chrono::steady_clock::now();
  if (now >= aEnd) {
    return;
  }
  std::this_thread::sleep_for(std::min<std::chrono::steady_clock::duration>(aPause, aEnd - now));
  aPause = std::min(aPause * 2, kLongestPause);
}

bool OperatorClient::IsRefusal(const grpc::Status& aStatus)
{
  switch (aStatus.error_code()) {
    case grpc::StatusCode::UNIMPLEMENTED:
    case grpc::StatusCode::UNAUTHENTICATED:
    case grpc::StatusCode::PERMISSION_DENIED:
    case grpc::StatusCode::INVALID_ARGUMENT:
      return true;
    default:
      return false;
  }
}

std::string OperatorClient::Describe(const grpc::Status& aStatus)
{
  return "gRPC status " + std::to_string(aStatus.error_code()) + " (" + aStatus.error_message() +
         ")";
}

} // namespace mustardshift
