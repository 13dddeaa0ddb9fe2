#pragma once

#include "core/base/Instant.h"
#include "ctl/CallResult.h"
#include "ctl/CommandLine.h"
#include "operator.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace mustardshift {

/** Calls the operator service of the first VM that can be reached. When an answer is lost, the same
    request, with the same operation id, is sent again until the timeout: to the same VM while it
    can be reached, and otherwise to the next.

    Thread safety: none; one thread at a time. */
class OperatorClient
{
public:
  using Stub = operators::v1::Operator::Stub;
  template<class Request, class Response>
  using Method = grpc::Status (Stub::*)(grpc::ClientContext*, const Request&, Response*);

  /** @param aLine         names VMs and the timeout, which starts with each call.
      @param aCredentials  of all channels. */
  OperatorClient(const CommandLine& aLine, std::shared_ptr<grpc::ChannelCredentials> aCredentials);

  /** Makes one call. Precondition: at least one VM. */
  template<class Request, class Response>
  CallResult<Response> Call(Method<Request, Response> aMethod, const Request& aRequest)
  {
    CallResult<Response> result;
    const auto end = std::chrono::steady_clock::now() + this->timeout;
    std::size_t vm = 0;
    std::size_t notReached = 0;
    Duration pause = kFirstPause;
    while (std::chrono::steady_clock::now() < end) {
      const std::string& address = this->vms[vm];
      if (!this->Connect(address, end)) {
        if (!result.earlierAnswerLost) {
          result.message += (result.message.empty() ? "" : ", ") + address + " was not reached";
        }
        vm = (vm + 1) % this->vms.size();
        if (++notReached < this->vms.size()) {
          continue;
        }
        if (!result.earlierAnswerLost) {
          return result;
        }
        notReached = 0;
        Pause(pause, end);
        continue;
      }
      notReached = 0;
      result.vm = address;
      grpc::ClientContext context;
      context.set_deadline(AttemptDeadline(end));
      const grpc::Status status =
        ((*this->StubOf(address)).*aMethod)(&context, aRequest, &result.response);
      if (status.ok()) {
        result.state = CallState::Answered;
        result.message.clear();
        return result;
      }
      result.message = address + ": " + Describe(status);
      if (IsRefusal(status)) {
        result.state = CallState::Refused;
        return result;
      }
      result.state = CallState::Lost;
      result.earlierAnswerLost = true;
      Pause(pause, end);
    }
    return result;
  }

private:
  using SteadyTime = std::chrono::steady_clock::time_point;

  static constexpr Duration kFirstPause = std::chrono::milliseconds(20);

  bool Connect(const std::string& aAddress, SteadyTime aEnd);
  Stub* StubOf(const std::string& aAddress);
  /** Half of the remaining time, so that a hanging answer leaves time for another attempt. */
  static std::chrono::system_clock::time_point AttemptDeadline(SteadyTime aEnd);
  /** Sleeps, and doubles the next pause up to one second. */
  static void Pause(Duration& aPause, SteadyTime aEnd);
  /** Tells whether a status shows that the call has not run. */
  static bool IsRefusal(const grpc::Status& aStatus);
  static std::string Describe(const grpc::Status& aStatus);

  struct Connection
  {
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<Stub> stub;
  };

  Connection& ConnectionOf(const std::string& aAddress);

  std::vector<std::string> vms;
  Duration timeout;
  std::shared_ptr<grpc::ChannelCredentials> credentials;
  std::map<std::string, Connection> connections;
};

} // namespace mustardshift
