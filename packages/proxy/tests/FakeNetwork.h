#pragma once

#include "proxy/pool/DatabaseNetwork.h"
#include "proxy/schedule/Scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mustardshift::proxy::test {

/** What a fake server does with a command. */
enum class CommandBehaviour
{
  Answer,
  /** Breaks the connection and runs nothing. */
  BreakBeforeRun,
  /** Runs the command and breaks the connection instead of answering. */
  BreakAfterRun,
  /** Neither runs nor answers. */
  NoReply,
};

/** A client's statement that ran at a fake server. */
struct ExecutedStatement
{
  std::string requestId;
  ServerId server;
  OrganisationName organisation;
  /** Statement as it ran: the text, or "shape arguments" of a prepared one. */
  std::string statement;
  std::map<std::string, std::string> values;
  bool isInTransaction = false;
  LogPosition position;
};

/** A database server in memory: one log position, terms, transactions, session values. */
struct FakeServer
{
  ServerId id;
  /** Servers of one group copy their primary's log. */
  std::string group;
  bool isPrimary = false;
  LogPosition position{ 1, 0 };
  /** Offset at which the term of `position` began. */
  std::uint64_t termStartOffset = 0;
  /** Connections get no answer at all. */
  bool isUnresponsive = false;
  std::size_t connectionLimit = 100;
  std::size_t connections = 0;
  /** Instants at which the server's slots become free; empty for a server without a limit. A new
      connection and each statement occupy one. */
  std::vector<Instant> slots;
  Duration statementDuration = std::chrono::milliseconds(5);
  /** Decides about each command of a client or of the proxy. */
  std::function<CommandBehaviour(const ServerCommand&)> behaviour;
  /** Refuses with this code instead of running, when set. */
  std::function<std::optional<ErrorCode>(const ServerCommand&)> refusal;

  /** Occupies a slot for a while, as soon as one is free; returns when that ends. */
  Instant OccupySlot(Instant aNow, Duration aTime);

  /** Whether the log has the entry at a position; one of an ended term may have been cut off. */
  bool HasLogUpTo(LogPosition aPosition) const
  {
    return aPosition.term == this->position.term
             ? aPosition.offset <= this->position.offset
             : aPosition.term < this->position.term && aPosition.offset <= this->termStartOffset;
  }
};

/** The servers of a test and their network, in virtual time; satisfies DatabaseNetwork. */
class FakeNetwork
{
public:
  static constexpr Duration kReplyDelay = std::chrono::milliseconds(2);
  static constexpr Duration kConnectDelay = std::chrono::milliseconds(12);

  /** An open connection; satisfies DatabaseLink. */
  class Link
  {
  public:
    Link(FakeNetwork& aNetwork, FakeServer& aServer, OrganisationName aOrganisation);
    ~Link();
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    void Send(const ServerCommand& aCommand, ReplyHandler aHandler);
    void OnLost(std::function<void(Instant)> aHandler) { this->onLost = std::move(aHandler); }
    void Close();
    /** The server breaks the connection. */
    void Break(Instant aNow);

  private:
    friend class FakeNetwork;
    ServerReply Run(const ServerCommand& aCommand);
    ServerReply RunStatement(const ServerCommand& aCommand);
    void Answer(ServerReply aReply, Duration aTime = kReplyDelay);

    FakeNetwork& network;
    FakeServer& server;
    OrganisationName organisation;
    ReplyHandler handler;
    std::function<void(Instant)> onLost;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
    bool isInTransaction = false;
    bool isReadWriteTransaction = false;
    bool hasWritten = false;
    bool isOpen = true;
    /** Tells late events whether the link still exists. */
    std::shared_ptr<bool> exists = std::make_shared<bool>(true);
  };

  explicit FakeNetwork(Scheduler& aScheduler)
    : scheduler(aScheduler)
  {
  }

  /** See DatabaseNetwork. */
  void Connect(const ConnectTarget& aTarget,
               std::function<void(Instant, ServerReply, std::unique_ptr<Link>)> aHandler);

  FakeServer& Add(const std::string& aId, bool aIsPrimary, const std::string& aGroup = "fittings");
  FakeServer& Server(const std::string& aId) { return this->servers.at(ServerId(aId)); }
  const std::map<ServerId, FakeServer>& Servers() const { return this->servers; }
  /** Makes a server the primary of its group's next term, with the log that it has. The others lose
      what is ahead of it. */
  void Promote(const std::string& aId);
  /** Breaks all open connections of a server. */
  void BreakConnections(Instant aNow, const std::string& aId);

  /** How long a server takes for a new connection. */
  Duration connectDelay = kConnectDelay;
  std::vector<ExecutedStatement> executed;
  std::size_t opened = 0;
  Instant now{};

private:
  Scheduler& scheduler;
  std::map<ServerId, FakeServer> servers;
  std::set<Link*> links;
};

} // namespace mustardshift::proxy::test
