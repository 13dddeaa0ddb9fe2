#pragma once

#include "../../6/standins/LineSocket.h"
#include "../../6/standins/Loop.h"
#include "../../6/standins/Platform.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

/** One commit in the log of a server. */
struct LogEntry
{
  std::uint64_t term = 0;
  /** Ids of the requests that wrote, and what they wrote. */
  std::vector<std::pair<std::string, std::string>> writes;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

class Database;

/** Stand-in of one database server, as PROTOCOL.md describes it. */
class Server
{
public:
  Server(Database& aDatabase, std::string aId, std::string aZone, const std::string& aIp);

  const std::string& Id() const { return this->id; }
  bool IsPrimary() const { return this->isPrimary; }
  const std::vector<LogEntry>& Log() const { return this->log; }

  /** Cuts the server off, silently, or lets it take part again. */
  void SetDark(bool aIsDark);

  /** Announces that the server is about to leave. It goes on receiving and answering. */
  void Drain();
  /** Ends the server and starts it again under its id at once; it then holds and knows nothing of
      before. */
  void Restart();
  /** Ends the server: its entry is removed, its connections are closed and no new ones accepted. */
  void Leave();

  /** Makes a replica receive nothing, or receive again. */
  void SetDeaf(bool aIsDeaf);

  /** Cuts the server off from some callers, or ends the cut. aIsCut tells by the caller's port
     whether a connection is cut; null ends the cut. */
  void SetCut(std::function<bool(unsigned short)> aIsCut);

  /** Called before the server carries out an order (PAUSE, RESUME, DEMOTE). If it returns a delay,
      the order gets no answer and is carried out after that delay. */
  std::function<std::optional<Milliseconds>(const std::string&)> lateOrder;

private:
  friend class Database;
  class Session;

  void Accept();
  void CloseSessions();
  void WriteEntry();
  /** Removes the entry of a server that has not written it for three heartbeats. */
  void ExpireEntry();
  std::string Position() const;
  std::string StatusRow() const;
  /** Carries out PAUSE, RESUME or DEMOTE. Returns false if it is refused. */
  bool CarryOut(const std::string& aWord, std::uint64_t aTerm);

  Database& database;
  std::string id;
  std::string zone;
  boost::asio::ip::tcp::acceptor acceptor;
  std::string address;
  std::set<std::shared_ptr<Session>> sessions;
  std::vector<LogEntry> log;
  std::map<std::string, std::string> items;
  std::uint64_t term = 1;
  std::uint64_t pausedTerm = 0;
  unsigned busySlots = 0;
  std::uint64_t sequence = 0;
  bool isPrimary = false;
  bool isDark = false;
  bool isDeaf = false;
  bool isDraining = false;
  /** Unix millisecond of its start. */
  std::int64_t born = 1'790'000'000'000;
  bool hasLeft = false;
  bool isListed = false;
  /** When it last wrote its entry in the store. */
  long wroteEntryAt = 0;
  std::function<bool(unsigned short)> isCut;
};

/** Stand-in of a service: one primary and its replicas. Replicas receive each commit over the
    network; where syncReplicas is 1, a commit is acknowledged once one replica has received it. */
class Database
{
public:
  struct Settings
  {
    std::string service;
    unsigned slots = 3;
    unsigned syncReplicas = 0;
    Milliseconds workTime{ 6 };
    Milliseconds connectTime{ 12 };
    Milliseconds replicationDelay{ 1 };
    Milliseconds promoteTime{ 600 };
  };
  using Event = std::function<void(const std::string&)>;

  Database(Loop& aLoop, Platform& aPlatform, Settings aSettings, Event aOnEvent);

  /** Adds a server; the first one is the primary. A replica receives the log from then on. */
  Server& Add(const std::string& aId, const std::string& aZone, const std::string& aIp);
  /** Adds the successor of a server that has left, with that server's log. */
  Server& AddSuccessor(const std::string& aId,
                       const std::string& aZone,
                       const std::string& aIp,
                       const Server& aFormer);
  Server* Find(const std::string& aId);
  Server* Primary();
  const std::string& Service() const { return this->settings.service; }

  /** Number of statements of clients that the servers have answered with their signature. */
  std::size_t Runs() const { return this->runs; }

  /** Makes a server the primary of the next term, after the time that a promotion takes. */
  void Promote(const std::string& aId);

  /** Called just before a promotion takes effect. */
  std::function<void(const Server&)> onPromoted;

private:
  friend class Server;

  void Lead(Server& aServer);
  void Append(Server& aPrimary, LogEntry aEntry, std::function<void()> aOnAcknowledged);
  void Replicate(Server& aPrimary);
  void Receive(Server& aPrimary, Server& aReplica, std::size_t aCount);
  void Acknowledge();
  void Heartbeat();

  struct Pending
  {
    std::size_t count = 0;
    std::function<void()> onAcknowledged;
  };

  Loop& loop;
  Platform& platform;
  Settings settings;
  Event onEvent;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Pending> pending;
  std::size_t runs = 0;
};

} // namespace review
