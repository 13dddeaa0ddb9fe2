#pragma once

#include "adapters/channel/ChannelFactory.h"
#include "adapters/platform/TableClient.h"
#include "control.grpc.pb.h"
#include "standins/platform/PlatformServer.h"

#include <cppunit/TestAssert.h>
#include <grpcpp/client_context.h>

#include <memory>

namespace mustardshift::test {

/** A platform stand-in in this process, with its test control. */
struct PlatformFixture
{
  explicit PlatformFixture(const standin::PlatformOptions& aOptions = {})
    : server(standin::PlatformServer::Start(aOptions))
  {
    CPPUNIT_ASSERT(this->server);
    this->control = standin::v1::PlatformControl::NewStub(MakeChannel(this->server->Address()));
  }

  void SetOutage(standin::v1::OutageMode aMode, const std::string& aUserAgent = {})
  {
    grpc::ClientContext context;
    standin::v1::SetOutageRequest request;
    standin::v1::ControlResponse response;
    request.set_mode(aMode);
    if (!aUserAgent.empty()) {
      request.add_user_agents(aUserAgent);
    }
    CPPUNIT_ASSERT(this->control->SetOutage(&context, request, &response).ok());
  }

  void DropCommitAnswers(std::uint32_t aCount)
  {
    grpc::ClientContext context;
    standin::v1::DropCommitAnswersRequest request;
    standin::v1::ControlResponse response;
    request.set_count(aCount);
    CPPUNIT_ASSERT(this->control->DropCommitAnswers(&context, request, &response).ok());
  }

  void SetDelay(std::uint32_t aMilliseconds)
  {
    grpc::ClientContext context;
    standin::v1::SetDelayRequest request;
    standin::v1::ControlResponse response;
    request.set_delay_ms(aMilliseconds);
    CPPUNIT_ASSERT(this->control->SetDelay(&context, request, &response).ok());
  }

  void SetVms(const standin::v1::SetVmsRequest& aRequest)
  {
    grpc::ClientContext context;
    standin::v1::ControlResponse response;
    CPPUNIT_ASSERT(this->control->SetVms(&context, aRequest, &response).ok());
  }

  standin::v1::PlatformCounters Counters()
  {
    grpc::ClientContext context;
    standin::v1::PlatformCounters response;
    CPPUNIT_ASSERT(this->control->ReadCounters(&context, {}, &response).ok());
    return response;
  }

  std::unique_ptr<standin::PlatformServer> server;
  std::unique_ptr<standin::v1::PlatformControl::Stub> control;
};

} // namespace mustardshift::test
