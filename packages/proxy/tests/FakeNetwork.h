#pragma once

#include "proxy/pool/DatabaseNetwork.h"
#include "proxy/schedule/Scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardshift::proxy::test {

/** How a fake server handles a command. */
enum class CommandBehaviour
{
  Answer,
  /** Breaks the connection without running the command. */
  BreakBeforeRun,
  /** Runs the command, then breaks the connection instead of replying. */
  BreakAfterRun,
  /** Neither runs the command nor replies. */
  NoReply,
};

/** A client's statement that a fake server has run. */
struct ExecutedStatement
{
  std::string requestId;
  ServerId server;
  OrganisationName organisation;
  /** Text of the statement. For a prepared statement: "r:" or "w:" followed by the prepared text, a
      space and the arguments. */
  std::string statement;
  std::map<std::string, std::string> variables;
  bool isInTransaction = false;
  LogPosition position;
};

/** In-memory database server with one log position, terms, transactions and session variables. */
struct FakeServer
{
  ServerId id;
  /** Servers of one group replicate the log of the group's primary. */
  std::string group;
  bool isPrimary = false;
  /** End of what the server has applied. */
  LogPosition position{ 1, 0 };
  /** End of what the server has received, if it has not applied all of it. */
  std::optional<LogPosition> receivedPosition;
  /** Term for which the server receives nothing; 0 if it is not paused. */
  std::uint64_t pausedTerm = 0;
  /** Offset at which the term of `position` began. */
  std::uint64_t termStartOffset = 0;
  /** The server does not reply on any connection. */
  bool isUnresponsive = false;
  std::size_t connectionLimit = 100;
  std::size_t connectionCount = 0;
  /** Instants at which the server's slots become free; empty for a server without a limit. Opening
      a connection and running a statement each occupy one slot. */
  std::vector<Instant> slots;
  Duration statementDuration = std::chrono::milliseconds(5);
  /** Selects how each command from a client or from the proxy is handled. */
  std::function<CommandBehaviour(const ServerCommand&)> behaviour;
  /** If set and it returns a code, the command is refused with this code instead of being run. */
  std::function<std::optional<ErrorCode>(const ServerCommand&)> refusal;

  /** Occupies a slot for aTime, starting when one is free. Returns the end of that time. */
  Instant OccupySlot(Instant aNow, Duration aTime);

  ServerStatus Status() const;

  /** Returns whether the log contains the entry at a position. Entries of an earlier term may have
      been truncated. */
  bool HasLogUpTo(LogPosition aPosition) const
  {
    return aPosition.term == this->position.term
             ? aPosition.offset <= this->position.offset
             : aPosition.term < this->position.term && aPosition.offset <= this->termStartOffset;
  }
};

/** Servers of a test and their network, in virtual time; satisfies DatabaseNetwork. */
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
    /** Simulates that the server breaks the connection. */
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
    std::map<std::string, std::string> variables;
    std::map<std::string, std::string> prepared;
    bool isInTransaction = false;
    bool isReadWriteTransaction = false;
    bool hasWritten = false;
    bool isOpen = true;
    /** What is sent gets no answer. */
    bool isCut = false;
    /** Lets scheduled events detect that the link has been destroyed. */
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
  /** Makes a server the primary of its group's next term and keeps the log of this server. The
      other servers of the group lose log entries that it does not have. */
  void Promote(const std::string& aId);
  /** Makes links lose all that is sent on them, or carry it again. Ignores links that have been
      destroyed. */
  void SetCut(const std::set<Link*>& aLinks, bool aIsCut)
  {
    for (Link* link : this->links) {
      if (aLinks.contains(link)) {
        link->isCut = aIsCut;
      }
    }
  }
  /** Breaks all open connections of a server. */
  void BreakConnections(Instant aNow, const std::string& aId);

  /** Time that a server needs to open a connection. */
  Duration connectDelay = kConnectDelay;
  std::vector<ExecutedStatement> executedStatements;
  std::size_t openedCount = 0;
  Instant now{};

private:
  Scheduler& scheduler;
  std::map<ServerId, FakeServer> servers;
  std::set<Link*> links;
};

} // namespace mustardshift::proxy::test
