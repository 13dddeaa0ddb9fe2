#pragma once

#include "adapters/channel/ChannelFactory.h"
#include "adapters/database/DatabaseConnection.h"
#include "adapters/database/DatabaseServerClient.h"
#include "control.grpc.pb.h"
#include "standins/database/DatabaseServer.h"

#include <cppunit/TestAssert.h>
#include <grpcpp/client_context.h>

#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mustardshift::test {

/** For calls that are to be answered. */
constexpr Duration kTimeout = std::chrono::seconds(10);
/** For calls whose answer never comes. */
constexpr Duration kShortTimeout = std::chrono::milliseconds(150);

/** Waits until a condition holds, for at most 10 s. Returns whether it does. */
template<class Condition>
bool Eventually(Condition aCondition)
{
  for (int attempt = 0; attempt < 2000; ++attempt) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return aCondition();
}

/** One database server's stand-in in this process, with its test control. */
struct ServerFixture
{
  explicit ServerFixture(const standin::DatabaseOptions& aOptions = {})
    : server(standin::DatabaseServer::Start(aOptions))
  {
    CPPUNIT_ASSERT(this->server);
    this->control = standin::v1::DatabaseControl::NewStub(MakeChannel(this->server->Address()));
    this->client = std::make_unique<DatabaseServerClient>(this->Address());
  }

  ServerAddress Address() const { return ServerAddress(this->server->Address()); }

  void SetFaults(const standin::v1::DatabaseFaults& aFaults)
  {
    grpc::ClientContext context;
    standin::v1::ControlResponse response;
    CPPUNIT_ASSERT(this->control->SetFaults(&context, aFaults, &response).ok());
  }

  void InjectOnce(const standin::v1::OneTimeFaults& aFaults)
  {
    grpc::ClientContext context;
    standin::v1::ControlResponse response;
    CPPUNIT_ASSERT(this->control->InjectOnce(&context, aFaults, &response).ok());
  }

  void CutConnections()
  {
    grpc::ClientContext context;
    standin::v1::ControlResponse response;
    CPPUNIT_ASSERT(this->control->CutConnections(&context, {}, &response).ok());
  }

  standin::v1::DatabaseCounters Counters()
  {
    grpc::ClientContext context;
    standin::v1::DatabaseCounters response;
    CPPUNIT_ASSERT(this->control->ReadCounters(&context, {}, &response).ok());
    return response;
  }

  /** Number of received records that contain the text. */
  int ReceivedRecordsWith(const std::string& aText)
  {
    grpc::ClientContext context;
    standin::v1::DumpReceivedRequest request;
    standin::v1::DumpReceivedResponse response;
    request.set_containing(aText);
    CPPUNIT_ASSERT(this->control->DumpReceived(&context, request, &response).ok());
    CPPUNIT_ASSERT_EQUAL(response.total(), response.next());
    return response.records_size();
  }

  /** Makes the server the primary of a term. */
  void Lead(std::uint64_t aTerm)
  {
    CPPUNIT_ASSERT(this->client->Promote(aTerm, kTimeout)->accepted());
  }

  std::unique_ptr<standin::DatabaseServer> server;
  std::unique_ptr<standin::v1::DatabaseControl::Stub> control;
  std::unique_ptr<DatabaseServerClient> client;
};

/** Three servers; the first one leads term 2, the others follow it. */
struct GroupFixture
{
  explicit GroupFixture(const standin::DatabaseOptions& aOptions = {})
  {
    for (int i = 0; i < 3; ++i) {
      this->servers.push_back(std::make_unique<ServerFixture>(aOptions));
    }
    this->Lead(0, 2);
  }

  ServerFixture& At(std::size_t aIndex) { return *this->servers.at(aIndex); }

  /** Promotes a server and makes the others follow it. */
  void Lead(std::size_t aIndex, std::uint64_t aTerm)
  {
    this->At(aIndex).Lead(aTerm);
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      if (i != aIndex) {
        this->Follow(i, aTerm, aIndex);
      }
    }
  }

  void Follow(std::size_t aIndex, std::uint64_t aTerm, std::size_t aPrimary)
  {
    const auto report =
      this->At(aIndex).client->Follow(aTerm, this->At(aPrimary).Address(), kTimeout);
    CPPUNIT_ASSERT(report && report->accepted());
  }

  std::vector<std::unique_ptr<ServerFixture>> servers;
};

inline database::v1::Request ExecuteRequest(std::uint64_t aTerm,
                                            const std::string& aStatement,
                                            const std::vector<std::string>& aParameters = {},
                                            const std::string& aRequestId = {},
                                            bool aReadOnly = false)
{
  database::v1::Request request;
  request.set_term(aTerm);
  request.mutable_execute()->set_statement(aStatement);
  request.mutable_execute()->mutable_parameters()->Assign(aParameters.begin(), aParameters.end());
  request.mutable_execute()->set_request_id(aRequestId);
  request.mutable_execute()->set_read_only(aReadOnly);
  return request;
}

inline database::v1::Request BeginRequest(std::uint64_t aTerm)
{
  database::v1::Request request;
  request.set_term(aTerm);
  request.mutable_begin();
  return request;
}

inline database::v1::Request CommitRequest(std::uint64_t aTerm, const std::string& aRequestId = {})
{
  database::v1::Request request;
  request.set_term(aTerm);
  request.mutable_commit()->set_request_id(aRequestId);
  return request;
}

inline database::v1::Request RollbackRequest(std::uint64_t aTerm)
{
  database::v1::Request request;
  request.set_term(aTerm);
  request.mutable_rollback();
  return request;
}

inline database::v1::Request WaitRequest(std::uint64_t aTerm,
                                         const database::v1::Position& aPosition,
                                         std::uint32_t aTimeoutMs)
{
  database::v1::Request request;
  request.set_term(aTerm);
  *request.mutable_wait()->mutable_position() = aPosition;
  request.mutable_wait()->set_timeout_ms(aTimeoutMs);
  return request;
}

/** Sends a request; the future holds what its callback receives. */
inline std::future<Outcome<database::v1::Answer>> Start(DatabaseConnection& aConnection,
                                                        database::v1::Request aRequest,
                                                        Duration aTimeout = kTimeout)
{
  auto promise = std::make_shared<std::promise<Outcome<database::v1::Answer>>>();
  auto future = promise->get_future();
  aConnection.Send(
    std::move(aRequest), aTimeout, [promise](Outcome<database::v1::Answer> aOutcome) {
      promise->set_value(std::move(aOutcome));
    });
  return future;
}

/** Sends a request and waits for the outcome. */
inline Outcome<database::v1::Answer> Call(DatabaseConnection& aConnection,
                                          database::v1::Request aRequest,
                                          Duration aTimeout = kTimeout)
{
  return Start(aConnection, std::move(aRequest), aTimeout).get();
}

/** Sends a request that has to be answered with a status, and returns the answer. */
inline database::v1::Answer Expect(
  DatabaseConnection& aConnection,
  database::v1::Request aRequest,
  database::v1::AnswerStatus aStatus = database::v1::ANSWER_STATUS_OK)
{
  auto outcome = Call(aConnection, std::move(aRequest));
  CPPUNIT_ASSERT_MESSAGE(outcome ? "" : outcome.error().message, outcome.has_value());
  CPPUNIT_ASSERT_EQUAL(database::v1::AnswerStatus_Name(aStatus),
                       database::v1::AnswerStatus_Name(outcome->status()));
  return *outcome;
}

inline std::vector<std::string> RowsOf(const database::v1::Answer& aAnswer)
{
  return { aAnswer.rows().begin(), aAnswer.rows().end() };
}

} // namespace mustardshift::test
