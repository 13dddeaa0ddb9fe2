#pragma once

#include "proxy/pool/DatabaseNetwork.h"
#include "support/Section.h"

#include <cppunit/TestAssert.h>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace mustardshift::proxy::test {

/** What each implementation of DatabaseNetwork has to keep. The fixture has a `network`;
    Target(server) for the servers "s1", the primary, and "s2"; BreakConnections(server);
    LoseNextAnswer(server); HoldBackOneCommit(server), after which the server has not applied the
    last commit that it has received; and WaitUntil(condition). */
template<class Fixture>
class DatabaseNetworkContract
{
public:
  explicit DatabaseNetworkContract(Fixture& aFixture)
    : fixture(aFixture)
  {
  }

  void Check()
  {
    using mustardshift::test::Section;
    Section("a statement is answered with rows, signature and position",
            [&] { this->CheckStatements(); });
    Section("a transaction keeps its state between commands", [&] { this->CheckTransactions(); });
    Section("prepared statements run by their name", [&] { this->CheckPrepared(); });
    Section("replicas refuse what only the primary may run", [&] { this->CheckReplica(); });
    Section("a replica tells what it has received, not only what it has applied, and can be paused",
            [&] { this->CheckStatus(); });
    Section("a lost answer is reported as lost, once", [&] { this->CheckLostAnswer(); });
    Section("a primary that is demoted refuses writes", [&] { this->CheckDemotion(); });
    Section("a connection that breaks between commands is reported, and later commands are lost",
            [&] { this->CheckBrokenConnection(); });
  }

private:
  using Link = typename decltype(Fixture::network)::Link;

  std::unique_ptr<Link> Open(const std::string& aServer)
  {
    std::unique_ptr<Link> opened;
    std::optional<ServerReply> reply;
    this->fixture.network.Connect(this->fixture.Target(aServer),
                                  [&](Instant, ServerReply aReply, std::unique_ptr<Link> aLink) {
                                    reply = std::move(aReply);
                                    opened = std::move(aLink);
                                  });
    CPPUNIT_ASSERT(!reply);
    CPPUNIT_ASSERT(this->fixture.WaitUntil([&] { return reply.has_value(); }));
    CPPUNIT_ASSERT(reply->status == ReplyStatus::Done);
    return opened;
  }

  ServerReply Run(Link& aLink, const ServerCommand& aCommand)
  {
    std::optional<ServerReply> reply;
    aLink.Send(aCommand, [&](Instant, ServerReply aReply) {
      CPPUNIT_ASSERT(!reply);
      reply = std::move(aReply);
    });
    CPPUNIT_ASSERT(!reply);
    CPPUNIT_ASSERT(this->fixture.WaitUntil([&] { return reply.has_value(); }));
    return *reply;
  }

  static ServerCommand Own(ServerCommandKind aKind)
  {
    ServerCommand command;
    command.kind = aKind;
    return command;
  }

  static ServerCommand Text(const std::string& aText)
  {
    ServerCommand command;
    command.requestId = "r1";
    command.text = aText;
    return command;
  }

  void CheckStatements()
  {
    const auto link = this->Open("s1");
    const ServerReply written = this->Run(*link, Text("WRITE slot-1 uwase"));
    CPPUNIT_ASSERT(written.status == ReplyStatus::Done);
    CPPUNIT_ASSERT_EQUAL(std::string("signed-r1"), written.signature);
    CPPUNIT_ASSERT(written.position && written.position->offset > 0);
    const ServerReply read = this->Run(*link, Text("READ slot-1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), read.rows.size());
    ServerCommand late = Text("READ slot-1");
    late.minimumPosition = LogPosition{ written.position->term, written.position->offset + 100 };
    const ServerReply refused = this->Run(*link, late);
    CPPUNIT_ASSERT(refused.status == ReplyStatus::Refused);
    CPPUNIT_ASSERT(refused.error == ErrorCode::Lagging);
  }

  void CheckTransactions()
  {
    const auto link = this->Open("s1");
    CPPUNIT_ASSERT(this->Run(*link, Own(ServerCommandKind::Begin)).state == TransactionState::Open);
    CPPUNIT_ASSERT(this->Run(*link, Text("WRITE slot-2 keza")).state == TransactionState::Open);
    const ServerReply committed = this->Run(*link, Text("COMMIT"));
    CPPUNIT_ASSERT(committed.state == TransactionState::Idle);
    CPPUNIT_ASSERT(!committed.signature.empty());
    this->Run(*link, Own(ServerCommandKind::Begin));
    CPPUNIT_ASSERT(this->Run(*link, Own(ServerCommandKind::Rollback)).state ==
                   TransactionState::Idle);
  }

  void CheckPrepared()
  {
    const auto link = this->Open("s1");
    ServerCommand prepare = Own(ServerCommandKind::Prepare);
    prepare.name = "w_shape";
    prepare.body = "shape";
    prepare.access = AccessKind::Write;
    ServerCommand execute = Own(ServerCommandKind::Execute);
    execute.requestId = "r2";
    execute.name = "w_shape";
    execute.body = "slot-3 mutesi";
    CPPUNIT_ASSERT(this->Run(*link, execute).error == ErrorCode::UnknownStatement);
    CPPUNIT_ASSERT(this->Run(*link, prepare).status == ReplyStatus::Done);
    CPPUNIT_ASSERT_EQUAL(std::string("signed-r2"), this->Run(*link, execute).signature);
    this->Run(*link, Own(ServerCommandKind::Reset));
    CPPUNIT_ASSERT(this->Run(*link, execute).error == ErrorCode::UnknownStatement);
  }

  void CheckStatus()
  {
    this->fixture.HoldBackOneCommit("s2");
    const auto link = this->Open("s2");
    const ServerReply status = this->Run(*link, Own(ServerCommandKind::Status));
    CPPUNIT_ASSERT(status.status == ReplyStatus::Done);
    CPPUNIT_ASSERT(status.position && status.serverStatus);
    CPPUNIT_ASSERT_EQUAL(status.position->term, status.serverStatus->receivedPosition.term);
    CPPUNIT_ASSERT_EQUAL(status.position->offset + 1, status.serverStatus->receivedPosition.offset);
    CPPUNIT_ASSERT(!this->Run(*link, Text("READ slot-1")).serverStatus);
    ServerCommand pause = Own(ServerCommandKind::Pause);
    pause.term = status.serverStatus->newestTerm;
    CPPUNIT_ASSERT(this->Run(*link, pause).status == ReplyStatus::Refused);
    ++pause.term;
    const ServerReply paused = this->Run(*link, pause);
    CPPUNIT_ASSERT(paused.status == ReplyStatus::Done);
    CPPUNIT_ASSERT_EQUAL(pause.term, paused.serverStatus->newestTerm);
    const ServerReply resumed = this->Run(*link, Own(ServerCommandKind::Resume));
    CPPUNIT_ASSERT_EQUAL(status.serverStatus->newestTerm, resumed.serverStatus->newestTerm);
  }

  void CheckDemotion()
  {
    const auto link = this->Open("s1");
    ServerCommand demote = Own(ServerCommandKind::Demote);
    demote.term = this->Run(*link, Own(ServerCommandKind::Status)).serverStatus->newestTerm;
    CPPUNIT_ASSERT(this->Run(*link, demote).serverStatus);
    CPPUNIT_ASSERT(this->Run(*link, Text("WRITE slot-1 uwase")).status == ReplyStatus::Done);
    ++demote.term;
    CPPUNIT_ASSERT(this->Run(*link, demote).serverStatus);
    CPPUNIT_ASSERT(this->Run(*link, Text("WRITE slot-1 uwase")).error == ErrorCode::ReadOnly);
  }

  void CheckReplica()
  {
    const auto link = this->Open("s2");
    CPPUNIT_ASSERT(this->Run(*link, Text("WRITE slot-1 uwase")).error == ErrorCode::ReadOnly);
    CPPUNIT_ASSERT(this->Run(*link, Own(ServerCommandKind::Begin)).error == ErrorCode::ReadOnly);
    CPPUNIT_ASSERT(this->Run(*link, Own(ServerCommandKind::BeginReadOnly)).status ==
                   ReplyStatus::Done);
    CPPUNIT_ASSERT(this->Run(*link, Text("READ slot-1")).status == ReplyStatus::Done);
  }

  void CheckLostAnswer()
  {
    const auto link = this->Open("s1");
    this->fixture.LoseNextAnswer("s1");
    CPPUNIT_ASSERT(this->Run(*link, Text("WRITE slot-4 uwase")).status == ReplyStatus::Lost);
  }

  void CheckBrokenConnection()
  {
    const auto link = this->Open("s1");
    bool isLost = false;
    link->OnLost([&](Instant) { isLost = true; });
    this->fixture.BreakConnections("s1");
    CPPUNIT_ASSERT(this->fixture.WaitUntil([&] { return isLost; }));
    CPPUNIT_ASSERT(this->Run(*link, Text("READ slot-1")).status == ReplyStatus::Lost);
  }

  Fixture& fixture;
};

} // namespace mustardshift::proxy::test
