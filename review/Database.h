#pragma once

#include "Platform.h"
#include "Record.h"
#include "Socket.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

/** A commit that wrote, in the log of one service. */
struct Commit
{
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  /** Ids of the statements that wrote. */
  std::vector<std::string> requestIds;
  std::map<std::string, std::string> items;
};

/** A statement that a server ran. */
struct StatementRun
{
  std::string requestId;
  std::string server;
  /** Caller named in the START message of the connection. */
  std::string tenant;
  std::string text;
  Clock::time_point startedAt;
  Clock::time_point endedAt;
};

/** One service: a primary and its replicas, as PROTOCOL.md describes them. All servers share this
    object and its mutex.

    Thread safety: all methods may be called by any thread. */
class Database
{
public:
  struct Settings
  {
    std::string service;
    unsigned slots = 3;
    /** Commits are acknowledged once this many replicas (0 or 1) have received them. */
    unsigned syncReplicas = 0;
    milliseconds connectTime{ 12 };
    milliseconds statementTime{ 6 };
    milliseconds replicaLag{ 20 };
    milliseconds promoteTime{ 600 };
    milliseconds heartbeat{ 1200 };
  };

  Database(Settings aSettings, Platform& aPlatform, Record& aRecord);
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  /** Adds a server; the first one is the primary. Call before Start(). */
  void AddServer(const std::string& aId, const std::string& aZone);
  /** Starts the servers and their heartbeats. */
  void Start();

  /** Closes the server's listener and connections. Its entry goes after three heartbeats. */
  void Crash(const std::string& aId);
  /** Sets the time after which the replica applies what it has received. */
  void SetLag(const std::string& aId, milliseconds aLag);
  /** Sets whether the replica receives nothing. */
  void SetDeaf(const std::string& aId, bool aIsDeaf);
  /** Starts a promotion; returns whether the server runs. */
  bool Promote(const std::string& aId);

  std::string Primary() const;
  unsigned Term() const;
  /** Ids of the statements whose commits are in the log of a server. */
  std::set<std::string> RequestIdsInLog(const std::string& aId) const;
  /** "received R, applied A" of each server that runs, for the record. */
  std::string DescribePositions() const;
  std::vector<StatementRun> Runs() const;
  /** Whether a statement with this id has reached a server. */
  bool HasReceived(const std::string& aRequestId) const;

private:
  struct Server
  {
    std::string id;
    std::string zone;
    std::unique_ptr<Listener> listener = std::make_unique<Listener>();
    bool isRunning = true;
    bool isDeaf = false;
    milliseconds lag{ 0 };
    std::uint64_t term = 1;
    std::uint64_t sequence = 0;
    unsigned busySlots = 0;
    std::vector<Commit> log;
    std::size_t applied = 0;
    /** Times at which the commits after `applied` are applied. */
    std::deque<Clock::time_point> applyTimes;
    std::set<std::shared_ptr<Socket>> connections;
  };
  struct Session
  {
    std::string tenant;
    char state = 'I';
    bool isReadOnly = false;
    /** Whether each prepared statement writes. */
    std::map<std::string, bool> prepared;
    std::map<std::string, std::string> writes;
    std::vector<std::string> writeIds;
  };
  struct Outcome
  {
    std::string lines;
    bool isLost = false;
  };

  void Serve(Server& aServer, const std::shared_ptr<Socket>& aSocket);
  bool OpenSession(Server& aServer, Socket& aSocket, Session& aSession);
  Outcome RunQuery(Server& aServer,
                   Session& aSession,
                   const std::string& aRequestId,
                   std::string aText);
  Outcome RunSigned(Server& aServer,
                    Session& aSession,
                    const std::string& aRequestId,
                    const std::string& aText);
  Outcome RunUnsigned(Server& aServer, Session& aSession, const std::string& aText);
  std::string Read(Server& aServer, const Session& aSession, const std::string& aItem);
  bool CommitWrites(std::unique_lock<std::mutex>& aLock, Server& aServer, Session& aSession);
  void Replicate(Server& aPrimary, const Commit& aCommit);
  void FinishPromotion(Server& aServer);
  static void ApplyDue(Server& aServer);
  std::string PositionOf(Server& aServer) const;
  std::string ReadyLine(Server& aServer, const Session& aSession) const;
  bool IsPrimary(const Server& aServer) const { return this->primary == aServer.id; }
  void WriteEntry(Server& aServer);
  Server* Find(const std::string& aId) const;

  Settings settings;
  Platform& platform;
  Record& record;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::unique_ptr<Server>> servers;
  std::string primary;
  std::uint64_t term = 1;
  std::vector<StatementRun> runs;
  std::set<std::string> receivedIds;
};

} // namespace review
