#include "Database.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace review {

using boost::asio::ip::tcp;

namespace {

constexpr Milliseconds kHeartbeat(1200);

} // namespace

/** One connection to a server. */
class Server::Session : public std::enable_shared_from_this<Server::Session>
{
public:
  Session(Server& aServer, tcp::socket aSocket)
    : server(aServer)
    , port(PortOf(aSocket))
    , socket(std::make_shared<LineSocket>(std::move(aSocket)))
  {
  }

  void Start()
  {
    this->socket->Start(
      [self = this->shared_from_this()](const std::string& aLine) { self->OnLine(aLine); },
      [self = this->shared_from_this()] { self->server.sessions.erase(self); });
    this->UpdateHeld();
  }

  /** Holds the connection back while the server is dark or cut off from this caller. */
  void UpdateHeld()
  {
    this->socket->SetHeld(this->server.isDark ||
                          (this->server.isCut && this->server.isCut(this->port)));
  }
  void Close() { this->socket->Close(); }

private:
  static unsigned short PortOf(const tcp::socket& aSocket)
  {
    boost::system::error_code error;
    return aSocket.remote_endpoint(error).port();
  }

  void OnLine(const std::string& aLine)
  {
    std::string rest = aLine;
    const std::string word = TakeWord(rest);
    if (word == "START") {
      this->OnStart(rest);
    } else if (word == "QUERY") {
      const std::string request = TakeWord(rest);
      this->OnQuery(request, rest);
    } else {
      this->socket->Close();
    }
  }

  void OnStart(std::string aRest)
  {
    const std::string service = TakeWord(aRest);
    this->tenant = TakeWord(aRest);
    if (service != this->server.database.Service() ||
        (!aRest.empty() && aRest != this->server.id)) {
      this->socket->Send("ERROR MISROUTED " + this->server.id + "\r\n");
      return;
    }
    this->Later(this->server.database.settings.connectTime, [](Session& aSelf) {
      aSelf.socket->Send("READY I " + aSelf.server.Position() + "\r\n");
    });
  }

  void Later(Milliseconds aDelay, std::function<void(Session&)> aTask)
  {
    this->server.database.loop.After(
      aDelay, [self = this->shared_from_this(), task = std::move(aTask)] { task(*self); });
  }

  void Reply(const std::string& aText)
  {
    const char* state = this->hasFailed ? "E " : (this->isOpen ? "T " : "I ");
    this->socket->Send(aText + "\r\nREADY " + state + this->server.Position() + "\r\n");
  }

  void Refuse(const std::string& aCode) { this->Reply("ERROR " + aCode + " " + this->server.id); }

  void OnQuery(const std::string& aRequest, std::string aText)
  {
    if (aText.rfind("AFTER ", 0) == 0) {
      TakeWord(aText);
      if (!this->HasPosition(TakeWord(aText))) {
        this->Refuse("LAGGING");
        return;
      }
    }
    std::string rest = aText;
    const std::string word = TakeWord(rest);
    if (this->hasFailed && word != "ROLLBACK" && word != "COMMIT") {
      this->Refuse("MALFORMED");
    } else if (word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT") {
      this->RunInSlot(aRequest, word, rest);
    } else {
      this->RunUnsigned(word, rest);
    }
  }

  bool HasPosition(const std::string& aPosition) const
  {
    const std::size_t dot = aPosition.find('.');
    const std::uint64_t term = std::stoull(aPosition.substr(0, dot));
    const std::uint64_t number = std::stoull(aPosition.substr(dot + 1));
    return term <= this->server.term && number <= this->server.log.size();
  }

  void RunUnsigned(const std::string& aWord, std::string aRest)
  {
    if (aWord == "BEGIN") {
      if (aRest.empty() && !this->server.isPrimary) {
        this->Refuse("READONLY");
        return;
      }
      this->isOpen = true;
      this->isPlain = aRest.empty();
      this->termOfTransaction = this->server.term;
    } else if (aWord == "ROLLBACK") {
      this->EndTransaction();
    } else if (aWord == "PREPARE") {
      const std::string name = TakeWord(aRest);
      this->prepared[name] = TakeWord(aRest) == "WRITE";
    } else if (aWord == "RESET") {
      this->prepared.clear();
    } else if (aWord == "STATUS") {
      this->Reply("ROW " + this->server.StatusRow() + "\r\nDONE -");
      return;
    } else if (aWord == "PAUSE" || aWord == "RESUME" || aWord == "DEMOTE") {
      this->RunOrder(aWord, aRest.empty() ? 0 : std::stoull(aRest));
      return;
    } else if (aWord != "SET") {
      this->Refuse("MALFORMED");
      return;
    }
    this->Reply("DONE -");
  }

  void RunOrder(const std::string& aWord, std::uint64_t aTerm)
  {
    Server& owner = this->server;
    const auto delay = owner.lateOrder ? owner.lateOrder(aWord) : std::nullopt;
    if (delay) {
      owner.database.onEvent(owner.id + ": " + aWord + " gets no answer, carried out after " +
                             std::to_string(delay->count()) + " ms");
      owner.database.loop.After(*delay, [&owner, aWord, aTerm] {
        owner.database.onEvent(owner.id + ": the late " + aWord + " is carried out");
        owner.CarryOut(aWord, aTerm);
      });
      return;
    }
    if (!owner.CarryOut(aWord, aTerm)) {
      this->Refuse("FAILED");
      return;
    }
    owner.database.onEvent(owner.id + ": " + aWord + " done, log " + owner.Position());
    this->Reply("ROW " + owner.StatusRow() + "\r\nDONE -");
  }

  void RunInSlot(const std::string& aRequest, const std::string& aWord, const std::string& aRest)
  {
    constexpr unsigned kQueue = 24;
    if (this->server.busySlots >= this->server.database.settings.slots + kQueue) {
      this->Refuse("BUSY");
      return;
    }
    ++this->server.busySlots;
    this->Later(this->server.database.settings.workTime, [aRequest, aWord, aRest](Session& aSelf) {
      --aSelf.server.busySlots;
      aSelf.Run(aRequest, aWord, aRest);
    });
  }

  void Run(const std::string& aRequest, const std::string& aWord, std::string aRest)
  {
    if (this->server.isDark) {
      // What the machine does while it is cut off is answered after the cut.
      this->Later(Milliseconds(20),
                  [aRequest, aWord, aRest](Session& aSelf) { aSelf.Run(aRequest, aWord, aRest); });
      return;
    }
    bool isWrite = aWord == "WRITE";
    if (aWord == "EXECUTE") {
      const auto name = this->prepared.find(TakeWord(aRest));
      if (name == this->prepared.end()) {
        this->Refuse("NOSTMT");
        return;
      }
      isWrite = name->second;
    }
    const bool hasLostLead =
      this->isOpen && this->isPlain &&
      (!this->server.isPrimary || this->server.term != this->termOfTransaction);
    const bool isEmptyCommit = aWord == "COMMIT" && this->writes.empty();
    if ((hasLostLead && !isEmptyCommit) || (isWrite && !this->server.isPrimary)) {
      this->hasFailed = this->isOpen;
      this->Refuse("READONLY");
      return;
    }
    if (aWord == "COMMIT") {
      auto committed = std::exchange(this->writes, {});
      this->EndTransaction();
      this->Commit(aRequest, std::move(committed));
    } else if (!isWrite) {
      const std::string item = TakeWord(aRest);
      const auto found = this->server.items.find(item);
      this->ReplySigned(
        aRequest, "ROW " + (found == this->server.items.end() ? "-" : found->second) + "\r\n");
    } else if (this->isOpen) {
      this->writes.emplace_back(aRequest, aRest);
      this->ReplySigned(aRequest, "");
    } else {
      this->Commit(aRequest, { { aRequest, aRest } });
    }
  }

  void Commit(const std::string& aRequest, std::vector<std::pair<std::string, std::string>> aWrites)
  {
    if (aWrites.empty()) {
      this->ReplySigned(aRequest, "");
      return;
    }
    this->server.database.Append(
      this->server,
      { this->server.term, std::move(aWrites) },
      [self = this->shared_from_this(), aRequest] { self->ReplySigned(aRequest, ""); });
  }

  void ReplySigned(const std::string& aRequest, const std::string& aRows)
  {
    ++this->server.database.runs;
    this->Reply(aRows + "DONE " + this->server.id + "." + aRequest);
  }

  void EndTransaction()
  {
    this->isOpen = false;
    this->hasFailed = false;
    this->writes.clear();
  }

  Server& server;
  unsigned short port;
  std::shared_ptr<LineSocket> socket;
  std::string tenant;
  std::map<std::string, bool> prepared;
  std::vector<std::pair<std::string, std::string>> writes;
  std::uint64_t termOfTransaction = 0;
  bool isOpen = false;
  bool isPlain = false;
  bool hasFailed = false;
};

Server::Server(Database& aDatabase, std::string aId, std::string aZone, const std::string& aIp)
  : database(aDatabase)
  , id(std::move(aId))
  , zone(std::move(aZone))
  , acceptor(aDatabase.loop.Io(), tcp::endpoint(boost::asio::ip::make_address(aIp), 0))
  , address(aIp + ":" + std::to_string(this->acceptor.local_endpoint().port()))
{
  this->Accept();
}

void Server::Accept()
{
  this->acceptor.async_accept([this](const boost::system::error_code& aError, tcp::socket aSocket) {
    if (this->hasLeft) {
      return;
    }
    if (!aError) {
      auto session = std::make_shared<Session>(*this, std::move(aSocket));
      this->sessions.insert(session);
      session->Start();
    }
    this->Accept();
  });
}

void Server::SetDark(bool aIsDark)
{
  this->isDark = aIsDark;
  this->database.onEvent(this->id + (aIsDark ? " goes dark" : " is back"));
  const auto present = this->sessions;
  for (const auto& session : present) {
    session->UpdateHeld();
  }
  if (!aIsDark) {
    this->WriteEntry();
    if (Server* present = this->database.Primary()) {
      this->database.Replicate(*present);
    }
  }
}

void Server::Drain()
{
  this->isDraining = true;
  this->database.onEvent(this->id + " is draining");
  this->WriteEntry();
}

void Server::Leave()
{
  this->hasLeft = true;
  this->isListed = false;
  this->database.onEvent(this->id + " has left");
  this->database.platform.Remove("servers", this->id);
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->CloseSessions();
}

void Server::CloseSessions()
{
  const auto present = this->sessions;
  for (const auto& session : present) {
    session->Close();
  }
}

void Server::Restart()
{
  this->CloseSessions();
  this->log.clear();
  this->items.clear();
  this->term = 0;
  this->pausedTerm = 0;
  this->sequence = 0;
  this->born += this->database.loop.Now();
  this->database.onEvent(this->id + " starts again and holds nothing");
  this->WriteEntry();
  if (Server* primary = this->database.Primary()) {
    this->database.Replicate(*primary);
  }
}

void Server::SetDeaf(bool aIsDeaf)
{
  this->isDeaf = aIsDeaf;
  this->database.onEvent(this->id + (aIsDeaf ? " receives nothing" : " receives again"));
  if (Server* primary = this->database.Primary(); primary != nullptr && !aIsDeaf) {
    this->database.Replicate(*primary);
  }
}

void Server::ExpireEntry()
{
  const long silence = this->database.loop.Now() - this->wroteEntryAt;
  if (this->isListed && silence >= 3 * kHeartbeat.count()) {
    this->isListed = false;
    this->database.onEvent("the entry of " + this->id + " is removed");
    this->database.platform.Remove("servers", this->id);
  }
}

void Server::SetCut(std::function<bool(unsigned short)> aIsCut)
{
  this->isCut = std::move(aIsCut);
  this->database.onEvent(
    this->id + (this->isCut ? " is cut off from some callers" : " is reached by all again"));
  const auto present = this->sessions;
  for (const auto& session : present) {
    session->UpdateHeld();
  }
}

void Server::WriteEntry()
{
  if (this->isDark || this->hasLeft) {
    return;
  }
  this->isListed = true;
  this->wroteEntryAt = this->database.loop.Now();
  this->database.platform.Put(
    "servers",
    this->id,
    nlohmann::json{ { "service", this->database.Service() },
                    { "address", this->address },
                    { "zone", this->zone },
                    { "version", "v1" },
                    { "slots", this->database.settings.slots },
                    { "state", this->isDraining ? "draining" : "ready" },
                    { "warmup_left_ms", 0 },
                    { "db_role", this->isPrimary ? "primary" : "replica" },
                    { "seq", ++this->sequence },
                    { "born", this->born } }
      .dump());
}

std::string Server::Position() const
{
  return std::to_string(this->term) + "." + std::to_string(this->log.size());
}

std::string Server::StatusRow() const
{
  return std::string(this->isPrimary ? "primary " : "replica ") + std::to_string(this->term) + " " +
         this->Position() + " " + std::to_string(this->pausedTerm) + " 0 " +
         std::to_string(this->busySlots) + " " + std::to_string(this->sessions.size());
}

bool Server::CarryOut(const std::string& aWord, std::uint64_t aTerm)
{
  if (aWord == "PAUSE") {
    if (aTerm <= std::max(this->term, this->pausedTerm)) {
      return false;
    }
    this->pausedTerm = aTerm;
  } else if (aWord == "RESUME") {
    this->pausedTerm = 0;
    if (Server* primary = this->database.Primary()) {
      this->database.Replicate(*primary);
    }
  } else if (this->isPrimary && aTerm > this->term) {
    this->isPrimary = false;
    this->WriteEntry();
  }
  return true;
}

Database::Database(Loop& aLoop, Platform& aPlatform, Settings aSettings, Event aOnEvent)
  : loop(aLoop)
  , platform(aPlatform)
  , settings(std::move(aSettings))
  , onEvent(std::move(aOnEvent))
{
  this->Heartbeat();
}

Server& Database::Add(const std::string& aId, const std::string& aZone, const std::string& aIp)
{
  this->servers.push_back(std::make_unique<Server>(*this, aId, aZone, aIp));
  Server& added = *this->servers.back();
  added.isPrimary = this->servers.size() == 1;
  if (Server* primary = this->Primary(); primary != &added && primary != nullptr) {
    added.term = primary->term;
    this->Replicate(*primary);
  }
  added.WriteEntry();
  return added;
}

Server& Database::AddSuccessor(const std::string& aId,
                               const std::string& aZone,
                               const std::string& aIp,
                               const Server& aFormer)
{
  this->servers.push_back(std::make_unique<Server>(*this, aId, aZone, aIp));
  Server& added = *this->servers.back();
  added.term = aFormer.term;
  added.log = aFormer.log;
  added.items = aFormer.items;
  this->onEvent(aId + " starts with the log of " + aFormer.id + ", " + added.Position());
  if (Server* primary = this->Primary()) {
    if (primary->term > added.term) {
      // As at a promotion: what the new primary lacks is rolled back.
      added.log = primary->log;
      added.items = primary->items;
    }
    added.term = primary->term;
    this->Replicate(*primary);
  }
  added.WriteEntry();
  return added;
}

Server* Database::Find(const std::string& aId)
{
  const auto found = std::find_if(this->servers.begin(),
                                  this->servers.end(),
                                  [&](const auto& aServer) { return aServer->id == aId; });
  return found == this->servers.end() ? nullptr : found->get();
}

Server* Database::Primary()
{
  const auto found = std::find_if(this->servers.begin(),
                                  this->servers.end(),
                                  [](const auto& aServer) { return aServer->isPrimary; });
  return found == this->servers.end() ? nullptr : found->get();
}

void Database::Promote(const std::string& aId)
{
  this->loop.After(this->settings.promoteTime, [this, aId] {
    Server* server = this->Find(aId);
    if (server != nullptr && !server->isPrimary && !server->isDark && !server->hasLeft) {
      this->Lead(*server);
    }
  });
}

void Database::Lead(Server& aServer)
{
  this->onEvent(aServer.id + " leads the next term with log " + aServer.Position());
  if (this->onPromoted) {
    this->onPromoted(aServer);
  }
  std::uint64_t newest = 0;
  for (const auto& server : this->servers) {
    newest = std::max(newest, server->term);
  }
  // Commits that were not acknowledged are neither confirmed nor refused.
  this->pending.clear();
  for (const auto& server : this->servers) {
    if (server->hasLeft) {
      continue;
    }
    server->isPrimary = server.get() == &aServer;
    server->term = newest + 1;
    server->pausedTerm = 0;
    if (server.get() != &aServer) {
      server->log = aServer.log;
      server->items = aServer.items;
    }
    server->WriteEntry();
  }
}

void Database::Append(Server& aPrimary, LogEntry aEntry, std::function<void()> aOnAcknowledged)
{
  for (const auto& [request, text] : aEntry.writes) {
    std::string data = text;
    const std::string item = TakeWord(data);
    aPrimary.items[item] = data;
  }
  std::string requests;
  for (const auto& [request, text] : aEntry.writes) {
    requests += " " + request;
  }
  aPrimary.log.push_back(std::move(aEntry));
  this->onEvent(aPrimary.id + " runs" + requests + " as " + aPrimary.Position());
  this->pending.push_back({ aPrimary.log.size(), std::move(aOnAcknowledged) });
  this->Replicate(aPrimary);
  this->Acknowledge();
}

void Database::Replicate(Server& aPrimary)
{
  for (const auto& server : this->servers) {
    if (server.get() != &aPrimary) {
      this->loop.After(this->settings.replicationDelay,
                       [this, &aPrimary, &replica = *server, count = aPrimary.log.size()] {
                         this->Receive(aPrimary, replica, count);
                       });
    }
  }
}

void Database::Receive(Server& aPrimary, Server& aReplica, std::size_t aCount)
{
  const bool mayReceive = aPrimary.isPrimary && !aPrimary.isDark && !aReplica.isDark &&
                          !aReplica.isDeaf && !aReplica.hasLeft && aReplica.pausedTerm == 0;
  if (!mayReceive || aCount > aPrimary.log.size()) {
    return;
  }
  while (aReplica.log.size() < aCount) {
    const LogEntry& entry = aPrimary.log[aReplica.log.size()];
    for (const auto& [request, text] : entry.writes) {
      std::string data = text;
      const std::string item = TakeWord(data);
      aReplica.items[item] = data;
    }
    aReplica.log.push_back(entry);
  }
  this->Acknowledge();
}

void Database::Acknowledge()
{
  const Server* primary = this->Primary();
  if (primary == nullptr || primary->isDark) {
    return;
  }
  std::size_t received = this->settings.syncReplicas == 0 ? primary->log.size() : 0;
  for (const auto& server : this->servers) {
    if (server.get() != primary && !server->hasLeft) {
      received = std::max(received, server->log.size());
    }
  }
  std::vector<Pending> done;
  const auto firstOpen =
    std::stable_partition(this->pending.begin(), this->pending.end(), [&](const Pending& aPending) {
      return aPending.count <= received;
    });
  done.assign(std::make_move_iterator(this->pending.begin()), std::make_move_iterator(firstOpen));
  this->pending.erase(this->pending.begin(), firstOpen);
  for (const Pending& commit : done) {
    commit.onAcknowledged();
  }
}

void Database::Heartbeat()
{
  constexpr Milliseconds kStep(100);
  for (const auto& server : this->servers) {
    if (this->loop.Now() - server->wroteEntryAt >= kHeartbeat.count()) {
      server->WriteEntry();
    }
    server->ExpireEntry();
  }
  this->loop.After(kStep, [this] { this->Heartbeat(); });
}

} // namespace review
