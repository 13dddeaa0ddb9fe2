#include "load/ReadComparison.h"

#include "database.grpc.pb.h"
#include "load/CallerChannels.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>

#include <functional>
#include <thread>

namespace mustardshift::bench {

namespace {

using Clock = std::chrono::steady_clock;
constexpr std::size_t kWarmUp = 50;

} // namespace

ReadComparisonResult CompareReads(const std::string& aDatabaseAddress,
                                  const std::string& aDaemonAddress,
                                  const std::string& aKey,
                                  const std::string& aRoute,
                                  std::size_t aCount,
                                  Duration aDistance)
{
  ReadComparisonResult result;
  const auto databaseStub = database::v1::DatabaseServer::NewStub(MakeOwnChannel(aDatabaseAddress));
  const CallerChannels daemon({ aDaemonAddress }, 1);
  grpc::ClientContext streamContext;
  PrepareCall(streamContext, {}, std::chrono::minutes(2));
  const auto stream = databaseStub->Connect(&streamContext);

  std::uint64_t lastId = 0;
  const auto readDirectly = [&] {
    database::v1::Request request;
    request.set_id(++lastId);
    request.set_term(1);
    request.mutable_execute()->set_statement("GET comparison");
    request.mutable_execute()->set_read_only(true);
    database::v1::Answer answer;
    return stream->Write(request) && stream->Read(&answer) && answer.id() == request.id() &&
           answer.status() == database::v1::ANSWER_STATUS_OK;
  };
  const auto readThroughDaemon = [&] {
    grpc::ClientContext context;
    PrepareCall(context, aKey, std::chrono::seconds(5));
    caller::v1::ExecuteRequest request;
    request.set_route(aRoute);
    request.set_request_id("comparison-" + std::to_string(++lastId));
    request.set_statement("GET comparison");
    request.set_read_only(true);
    request.set_repeatable(true);
    caller::v1::ExecuteResponse response;
    const grpc::Status status = daemon.Stub(0, 0).Execute(&context, request, &response);
    if (status.ok() && response.outcome().verdict() == caller::v1::VERDICT_RUN) {
      return true;
    }
    if (result.firstRefusal.empty()) {
      result.firstRefusal = status.ok()
                              ? response.outcome().reason() + ": " + response.outcome().message()
                              : status.error_message();
    }
    return false;
  };
  const auto measure = [&](const std::function<bool()>& aRead, LatencyHistogram& aHistogram) {
    const auto start = Clock::now();
    std::this_thread::sleep_for(aDistance);
    if (!aRead()) {
      ++result.failures;
      return;
    }
    aHistogram.Add(std::chrono::duration_cast<Duration>(Clock::now() - start));
  };
  LatencyHistogram ignored;
  for (std::size_t count = 0; count < aCount + kWarmUp; ++count) {
    const bool isCounted = count >= kWarmUp;
    measure(readDirectly, isCounted ? result.direct : ignored);
    measure(readThroughDaemon, isCounted ? result.proxied : ignored);
  }
  streamContext.TryCancel();
  return result;
}

} // namespace mustardshift::bench
