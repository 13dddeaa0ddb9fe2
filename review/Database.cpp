#include "Database.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr milliseconds kIdleTimeout{ 60'000 };

std::string TakeWord(std::string& aRest)
{
  const std::size_t end = std::min(aRest.find(' '), aRest.size());
  std::string word = aRest.substr(0, end);
  aRest.erase(0, std::min(end + 1, aRest.size()));
  return word;
}

std::string PositionText(std::uint64_t aTerm, std::uint64_t aNumber)
{
  return std::to_string(aTerm) + "." + std::to_string(aNumber);
}

/** Compares two positions TERM.NUMBER. */
bool IsBefore(const std::string& aLeft, const std::string& aRight)
{
  const auto parse = [](const std::string& aText) {
    const std::size_t dot = std::min(aText.find('.'), aText.size() - 1);
    return std::pair(std::stoull(aText.substr(0, dot)), std::stoull(aText.substr(dot + 1)));
  };
  return parse(aLeft) < parse(aRight);
}

} // namespace

Database::Database(Settings aSettings, Platform& aPlatform, Record& aRecord)
  : settings(std::move(aSettings))
  , platform(aPlatform)
  , record(aRecord)
{
}

void Database::AddServer(const std::string& aId, const std::string& aZone)
{
  auto server = std::make_unique<Server>();
  server->id = aId;
  server->zone = aZone;
  server->lag = this->settings.replicaLag;
  if (this->servers.empty()) {
    this->primary = aId;
  }
  this->servers.push_back(std::move(server));
}

void Database::Start()
{
  for (const auto& entry : this->servers) {
    Server* server = entry.get();
    server->listener->Start(
      [this, server](const std::shared_ptr<Socket>& aSocket) { this->Serve(*server, aSocket); });
    this->WriteEntry(*server);
    std::thread([this, server] {
      while (true) {
        std::this_thread::sleep_for(this->settings.heartbeat);
        if (!server->isRunning) {
          std::this_thread::sleep_for(2 * this->settings.heartbeat);
          this->platform.Remove("servers", server->id);
          return;
        }
        this->WriteEntry(*server);
      }
    }).detach();
  }
}

void Database::WriteEntry(Server& aServer)
{
  std::string value;
  {
    const std::lock_guard guard(this->mutex);
    if (!aServer.isRunning) {
      return;
    }
    value = nlohmann::json{
      { "service", this->settings.service },
      { "address", aServer.listener->Address() },
      { "zone", aServer.zone },
      { "version", "v1" },
      { "slots", this->settings.slots },
      { "state", "ready" },
      { "warmup_left_ms", 0 },
      { "db_role", this->IsPrimary(aServer) ? "primary" : "replica" },
      { "seq", ++aServer.sequence },
      { "born", 1'700'000'000'000 }
    }.dump();
  }
  this->platform.Put("servers", aServer.id, value);
}

Database::Server* Database::Find(const std::string& aId) const
{
  for (const auto& server : this->servers) {
    if (server->id == aId) {
      return server.get();
    }
  }
  return nullptr;
}

void Database::Crash(const std::string& aId)
{
  const std::lock_guard guard(this->mutex);
  Server& server = *this->Find(aId);
  server.isRunning = false;
  server.listener->Close();
  for (const auto& connection : server.connections) {
    connection->Shutdown();
  }
  this->changed.notify_all();
  this->record.Write("server " + aId + ": crashes");
}

void Database::SetLag(const std::string& aId, milliseconds aLag)
{
  const std::lock_guard guard(this->mutex);
  this->Find(aId)->lag = aLag;
  this->record.Write("server " + aId + ": applies " + std::to_string(aLag.count()) +
                     " ms after receiving");
}

void Database::SetDeaf(const std::string& aId, bool aIsDeaf)
{
  const std::lock_guard guard(this->mutex);
  this->Find(aId)->isDeaf = aIsDeaf;
  this->record.Write("server " + aId + (aIsDeaf ? ": receives nothing" : ": receives again"));
}

std::string Database::Primary() const
{
  const std::lock_guard guard(this->mutex);
  return this->primary;
}

unsigned Database::Term() const
{
  const std::lock_guard guard(this->mutex);
  return static_cast<unsigned>(this->term);
}

std::set<std::string> Database::RequestIdsInLog(const std::string& aId) const
{
  const std::lock_guard guard(this->mutex);
  std::set<std::string> ids;
  for (const Commit& commit : this->Find(aId)->log) {
    ids.insert(commit.requestIds.begin(), commit.requestIds.end());
  }
  return ids;
}

std::string Database::DescribePositions() const
{
  const std::lock_guard guard(this->mutex);
  std::string text;
  for (const auto& server : this->servers) {
    ApplyDue(*server);
    text += server->id + (server->isRunning ? "" : " (down)") + " received " +
            std::to_string(server->log.size()) + ", applied " + std::to_string(server->applied) +
            "; ";
  }
  return text;
}

std::vector<StatementRun> Database::Runs() const
{
  const std::lock_guard guard(this->mutex);
  return this->runs;
}

bool Database::HasReceived(const std::string& aRequestId) const
{
  const std::lock_guard guard(this->mutex);
  return this->receivedIds.contains(aRequestId);
}

void Database::ApplyDue(Server& aServer)
{
  while (!aServer.applyTimes.empty() && aServer.applyTimes.front() <= Clock::now()) {
    aServer.applyTimes.pop_front();
    ++aServer.applied;
  }
}

std::string Database::PositionOf(Server& aServer) const
{
  ApplyDue(aServer);
  const std::uint64_t number = aServer.applied == 0 ? 0 : aServer.log[aServer.applied - 1].number;
  return PositionText(aServer.term, number);
}

std::string Database::ReadyLine(Server& aServer, const Session& aSession) const
{
  return std::string("READY ") + aSession.state + " " + this->PositionOf(aServer) + "\r\n";
}

void Database::Serve(Server& aServer, const std::shared_ptr<Socket>& aSocket)
{
  Session session;
  if (!this->OpenSession(aServer, *aSocket, session)) {
    return;
  }
  {
    const std::lock_guard guard(this->mutex);
    aServer.connections.insert(aSocket);
  }
  while (true) {
    auto line = aSocket->ReadLine(kIdleTimeout);
    if (!line || TakeWord(*line) != "QUERY") {
      break;
    }
    const std::string requestId = TakeWord(*line);
    const Outcome outcome = this->RunQuery(aServer, session, requestId, *line);
    if (outcome.isLost || !aSocket->Send(outcome.lines)) {
      break;
    }
  }
  const std::lock_guard guard(this->mutex);
  aServer.connections.erase(aSocket);
  aSocket->Shutdown();
}

bool Database::OpenSession(Server& aServer, Socket& aSocket, Session& aSession)
{
  auto line = aSocket.ReadLine(kIdleTimeout);
  if (!line || TakeWord(*line) != "START") {
    return false;
  }
  std::this_thread::sleep_for(this->settings.connectTime);
  const std::string service = TakeWord(*line);
  aSession.tenant = TakeWord(*line);
  std::string answer;
  {
    const std::lock_guard guard(this->mutex);
    const bool isHere = service == this->settings.service && (line->empty() || *line == aServer.id);
    answer = !aServer.isRunning ? std::string()
             : isHere           ? this->ReadyLine(aServer, aSession)
                                : "ERROR MISROUTED " + aServer.id + "\r\n";
  }
  return aSocket.Send(answer) && answer.starts_with("READY");
}

Database::Outcome Database::RunQuery(Server& aServer,
                                     Session& aSession,
                                     const std::string& aRequestId,
                                     std::string aText)
{
  {
    const std::lock_guard guard(this->mutex);
    if (!aServer.isRunning) {
      return { "", true };
    }
    if (aRequestId != "-") {
      this->receivedIds.insert(aRequestId);
    }
    if (aText.starts_with("AFTER ")) {
      TakeWord(aText);
      if (IsBefore(this->PositionOf(aServer), TakeWord(aText))) {
        return { "ERROR LAGGING " + aServer.id + "\r\n" + this->ReadyLine(aServer, aSession) };
      }
    }
  }
  std::string rest = aText;
  const std::string word = TakeWord(rest);
  const bool isSigned = word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT";
  return isSigned ? this->RunSigned(aServer, aSession, aRequestId, aText)
                  : this->RunUnsigned(aServer, aSession, aText);
}

Database::Outcome Database::RunUnsigned(Server& aServer,
                                        Session& aSession,
                                        const std::string& aText)
{
  const std::lock_guard guard(this->mutex);
  std::string rest = aText;
  const std::string word = TakeWord(rest);
  std::string lines;
  if (word == "BEGIN" && rest.empty() && !this->IsPrimary(aServer)) {
    return { "ERROR READONLY " + aServer.id + "\r\n" + this->ReadyLine(aServer, aSession) };
  }
  if (word == "BEGIN") {
    aSession.state = 'T';
    aSession.isReadOnly = rest == "READ";
  } else if (word == "ROLLBACK") {
    aSession.state = 'I';
    aSession.writes.clear();
    aSession.writeIds.clear();
  } else if (word == "PREPARE") {
    const std::string name = TakeWord(rest);
    aSession.prepared[name] = TakeWord(rest) == "WRITE";
  } else if (word == "RESET") {
    aSession.prepared.clear();
  } else if (word == "STATUS") {
    ApplyDue(aServer);
    const std::uint64_t received = aServer.log.empty() ? 0 : aServer.log.back().number;
    lines = std::string("ROW ") + (this->IsPrimary(aServer) ? "primary " : "replica ") +
            std::to_string(aServer.term) + " " + PositionText(aServer.term, received) + " 0 " +
            std::to_string(aServer.lag.count()) + " " + std::to_string(aServer.busySlots) + " " +
            std::to_string(aServer.connections.size()) + "\r\n";
    this->record.Write("server " + aServer.id + ": STATUS -> " + lines.substr(0, lines.size() - 2) +
                       "; " + "READY " + this->PositionOf(aServer));
  } else if (word != "SET") {
    return { "ERROR MALFORMED " + aServer.id + "\r\n" + this->ReadyLine(aServer, aSession) };
  }
  return { lines + "DONE -\r\n" + this->ReadyLine(aServer, aSession) };
}

Database::Outcome Database::RunSigned(Server& aServer,
                                      Session& aSession,
                                      const std::string& aRequestId,
                                      const std::string& aText)
{
  std::unique_lock lock(this->mutex);
  this->changed.wait(
    lock, [&] { return !aServer.isRunning || aServer.busySlots < this->settings.slots; });
  std::string rest = aText;
  const std::string word = TakeWord(rest);
  bool isWrite = word == "WRITE";
  if (word == "EXECUTE") {
    const auto prepared = aSession.prepared.find(TakeWord(rest));
    if (prepared == aSession.prepared.end()) {
      return { "ERROR NOSTMT " + aServer.id + "\r\n" + this->ReadyLine(aServer, aSession) };
    }
    isWrite = prepared->second;
  }
  const auto startedAt = Clock::now();
  ++aServer.busySlots;
  lock.unlock();
  std::this_thread::sleep_for(this->settings.statementTime);
  lock.lock();
  --aServer.busySlots;
  this->changed.notify_all();
  if (!aServer.isRunning) {
    return { "", true };
  }
  const bool isPlain = aSession.state == 'T' && !aSession.isReadOnly;
  if (!this->IsPrimary(aServer) && (isWrite || (isPlain && word != "COMMIT"))) {
    aSession.state = aSession.state == 'T' ? 'E' : 'I';
    return { "ERROR READONLY " + aServer.id + "\r\n" + this->ReadyLine(aServer, aSession) };
  }
  this->runs.push_back({ aRequestId, aServer.id, aSession.tenant, aText, startedAt, Clock::now() });
  this->record.Write("server " + aServer.id + ": ran for tenant " + aSession.tenant + ": " +
                     aRequestId + " " + aText);
  std::string rows;
  if (isWrite) {
    const std::string item = TakeWord(rest);
    aSession.writes[item] = rest;
    aSession.writeIds.push_back(aRequestId);
  } else if (word != "COMMIT") {
    rows = "ROW " + this->Read(aServer, aSession, TakeWord(rest)) + "\r\n";
  }
  const bool isCommit = word == "COMMIT" || (isWrite && aSession.state == 'I');
  if (isCommit && !this->CommitWrites(lock, aServer, aSession)) {
    return { "", true };
  }
  return { rows + "DONE signed-" + aRequestId + "\r\n" + this->ReadyLine(aServer, aSession) };
}

std::string Database::Read(Server& aServer, const Session& aSession, const std::string& aItem)
{
  const auto own = aSession.writes.find(aItem);
  if (own != aSession.writes.end()) {
    return own->second;
  }
  ApplyDue(aServer);
  for (std::size_t index = aServer.applied; index > 0; --index) {
    const auto& items = aServer.log[index - 1].items;
    const auto found = items.find(aItem);
    if (found != items.end()) {
      return found->second;
    }
  }
  return "empty";
}

bool Database::CommitWrites(std::unique_lock<std::mutex>& aLock, Server& aServer, Session& aSession)
{
  aSession.state = 'I';
  if (aSession.writes.empty()) {
    return true;
  }
  const std::uint64_t number = aServer.log.empty() ? 1 : aServer.log.back().number + 1;
  const Commit commit{ aServer.term, number, aSession.writeIds, aSession.writes };
  aSession.writes.clear();
  aSession.writeIds.clear();
  aServer.log.push_back(commit);
  ++aServer.applied;
  this->Replicate(aServer, commit);
  // The commit is acknowledged once enough replicas have received it.
  this->changed.wait(aLock, [&] {
    const auto received = std::count_if(
      this->servers.begin(), this->servers.end(), [&](const std::unique_ptr<Server>& aOther) {
        return aOther.get() != &aServer && !aOther->log.empty() &&
               aOther->log.back().number >= number;
      });
    return !aServer.isRunning || received >= static_cast<long>(this->settings.syncReplicas);
  });
  return aServer.isRunning;
}

void Database::Replicate(Server& aPrimary, const Commit& aCommit)
{
  for (const auto& server : this->servers) {
    if (server.get() == &aPrimary || !server->isRunning || server->isDeaf) {
      continue;
    }
    // Includes what the replica missed while it received nothing.
    for (std::size_t index = server->log.size(); index < aPrimary.log.size(); ++index) {
      server->log.push_back(aPrimary.log[index]);
      server->applyTimes.push_back(Clock::now() + server->lag);
    }
    server->term = aCommit.term;
  }
  this->changed.notify_all();
}

bool Database::Promote(const std::string& aId)
{
  const std::lock_guard guard(this->mutex);
  Server* server = this->Find(aId);
  if (server == nullptr || !server->isRunning) {
    return false;
  }
  if (!this->IsPrimary(*server)) {
    std::thread([this, server] {
      std::this_thread::sleep_for(this->settings.promoteTime);
      this->FinishPromotion(*server);
    }).detach();
  }
  return true;
}

void Database::FinishPromotion(Server& aServer)
{
  {
    const std::lock_guard guard(this->mutex);
    if (!aServer.isRunning || this->IsPrimary(aServer)) {
      return;
    }
    this->primary = aServer.id;
    aServer.term = ++this->term;
    aServer.isDeaf = false;
    aServer.applied = aServer.log.size();
    aServer.applyTimes.clear();
    for (const auto& other : this->servers) {
      if (other.get() == &aServer) {
        continue;
      }
      other->isDeaf = false;
      other->log = aServer.log;
      other->term = aServer.term;
      other->applied = other->log.size();
      other->applyTimes.clear();
    }
    this->changed.notify_all();
    this->record.Write("server " + aServer.id + ": leads term " + std::to_string(aServer.term) +
                       " with " + std::to_string(aServer.log.size()) + " commits");
  }
  for (const auto& server : this->servers) {
    this->WriteEntry(*server);
  }
}

} // namespace review
