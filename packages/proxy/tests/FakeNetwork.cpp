#include "proxy/tests/FakeNetwork.h"

#include <algorithm>
#include <utility>

namespace mustardshift::proxy::test {

namespace {

ServerReply Refuse(ErrorCode aError, TransactionState aState, LogPosition aPosition)
{
  ServerReply reply;
  reply.status = ReplyStatus::Refused;
  reply.error = aError;
  reply.state = aState;
  reply.position = aPosition;
  return reply;
}

bool IsWriteText(const std::string& aText)
{
  return aText.starts_with("WRITE") || aText.starts_with("w:");
}

} // namespace

Instant FakeServer::OccupySlot(Instant aNow, Duration aTime)
{
  if (this->slots.empty()) {
    return aNow + aTime;
  }
  Instant& slot = *std::min_element(this->slots.begin(), this->slots.end());
  slot = std::max(slot, aNow) + aTime;
  return slot;
}

ServerStatus FakeServer::Status() const
{
  return { std::max(this->position.term, this->pausedTerm),
           this->receivedPosition.value_or(this->position),
           this->position.term,
           this->pausedTerm,
           this->isPrimary };
}

FakeNetwork::Link::Link(FakeNetwork& aNetwork, FakeServer& aServer, OrganisationName aOrganisation)
  : network(aNetwork)
  , server(aServer)
  , organisation(std::move(aOrganisation))
{
  this->network.links.insert(this);
  ++this->server.connectionCount;
}

FakeNetwork::Link::~Link()
{
  *this->exists = false;
  this->Close();
  this->network.links.erase(this);
}

void FakeNetwork::Link::Close()
{
  if (std::exchange(this->isOpen, false)) {
    --this->server.connectionCount;
  }
  this->handler = nullptr;
  this->onLost = nullptr;
}

void FakeNetwork::Link::Break(Instant aNow)
{
  const ReplyHandler replyHandler = std::exchange(this->handler, nullptr);
  const auto lostHandler = std::exchange(this->onLost, nullptr);
  this->Close();
  if (replyHandler) {
    replyHandler(aNow, ServerReply{});
  } else if (lostHandler) {
    lostHandler(aNow);
  }
}

void FakeNetwork::Link::Send(const ServerCommand& aCommand, ReplyHandler aHandler)
{
  this->handler = std::move(aHandler);
  if (!this->isOpen) {
    this->Answer(ServerReply{});
    return;
  }
  const bool isLost = this->isCut || this->server.isUnresponsive;
  const CommandBehaviour behaviour = isLost                   ? CommandBehaviour::NoReply
                                     : this->server.behaviour ? this->server.behaviour(aCommand)
                                                              : CommandBehaviour::Answer;
  switch (behaviour) {
    case CommandBehaviour::NoReply:
      return;
    case CommandBehaviour::BreakBeforeRun:
      this->Answer(ServerReply{});
      return;
    case CommandBehaviour::BreakAfterRun:
      this->Run(aCommand);
      this->Answer(ServerReply{});
      return;
    case CommandBehaviour::Answer:
      break;
  }
  const bool needsSlot =
    aCommand.kind == ServerCommandKind::Forward || aCommand.kind == ServerCommandKind::Execute;
  const Duration time =
    needsSlot && !this->server.slots.empty()
      ? this->server.OccupySlot(this->network.now, this->server.statementDuration) -
          this->network.now
      : Duration(0);
  this->Answer(this->Run(aCommand), time + kReplyDelay);
}

void FakeNetwork::Link::Answer(ServerReply aReply, Duration aTime)
{
  this->network.scheduler.Schedule(
    this->network.now + aTime,
    [this, linkExists = this->exists, reply = std::move(aReply)](Instant aNow) {
      if (!*linkExists || !this->handler) {
        return;
      }
      if (reply.status == ReplyStatus::Lost) {
        this->Break(aNow);
        return;
      }
      const ReplyHandler replyHandler = std::exchange(this->handler, nullptr);
      replyHandler(aNow, reply);
    });
}

ServerReply FakeNetwork::Link::Run(const ServerCommand& aCommand)
{
  const auto state = [&] {
    return this->isInTransaction ? TransactionState::Open : TransactionState::Idle;
  };
  if (this->server.refusal) {
    if (const auto error = this->server.refusal(aCommand)) {
      return Refuse(*error, state(), this->server.position);
    }
  }
  if (aCommand.minimumPosition && !this->server.HasLogUpTo(*aCommand.minimumPosition)) {
    return Refuse(ErrorCode::Lagging, state(), this->server.position);
  }
  ServerReply reply;
  reply.status = ReplyStatus::Done;
  switch (aCommand.kind) {
    case ServerCommandKind::SetVariable:
      this->variables[aCommand.name] = aCommand.body;
      break;
    case ServerCommandKind::Prepare:
      this->prepared[aCommand.name] =
        (aCommand.access == AccessKind::Write ? "w:" : "r:") + aCommand.body;
      break;
    case ServerCommandKind::Reset:
      this->variables.clear();
      this->prepared.clear();
      break;
    case ServerCommandKind::Begin:
    case ServerCommandKind::BeginReadOnly:
      if (aCommand.kind == ServerCommandKind::Begin && !this->server.isPrimary) {
        return Refuse(ErrorCode::ReadOnly, state(), this->server.position);
      }
      this->isInTransaction = true;
      this->isReadWriteTransaction = aCommand.kind == ServerCommandKind::Begin;
      this->hasWritten = false;
      break;
    case ServerCommandKind::Rollback:
      this->isInTransaction = false;
      break;
    case ServerCommandKind::Pause:
      if (aCommand.term <= std::max(this->server.position.term, this->server.pausedTerm)) {
        return Refuse(ErrorCode::Failed, state(), this->server.position);
      }
      this->server.pausedTerm = aCommand.term;
      reply.serverStatus = this->server.Status();
      break;
    case ServerCommandKind::Resume:
      this->server.pausedTerm = 0;
      reply.serverStatus = this->server.Status();
      break;
    case ServerCommandKind::Demote:
      this->server.isPrimary =
        this->server.isPrimary && aCommand.term <= this->server.position.term;
      reply.serverStatus = this->server.Status();
      break;
    case ServerCommandKind::Status:
      reply.serverStatus = this->server.Status();
      break;
    case ServerCommandKind::Forward:
    case ServerCommandKind::Execute:
      reply = this->RunStatement(aCommand);
      break;
  }
  reply.state = state();
  reply.position = this->server.position;
  return reply;
}

ServerReply FakeNetwork::Link::RunStatement(const ServerCommand& aCommand)
{
  std::string text = aCommand.text;
  if (aCommand.kind == ServerCommandKind::Execute) {
    const auto found = this->prepared.find(aCommand.name);
    if (found == this->prepared.end()) {
      return Refuse(ErrorCode::UnknownStatement, TransactionState::Idle, this->server.position);
    }
    text = found->second + " " + aCommand.body;
  }
  const bool isWrite = IsWriteText(text);
  const bool requiresPrimary = isWrite || (this->isInTransaction && this->isReadWriteTransaction);
  if (requiresPrimary && !this->server.isPrimary) {
    return Refuse(ErrorCode::ReadOnly, TransactionState::Failed, this->server.position);
  }
  const bool isCommit = text == "COMMIT";
  if ((isWrite && !this->isInTransaction) || (isCommit && this->hasWritten)) {
    ++this->server.position.offset;
  }
  this->hasWritten = this->hasWritten || isWrite;
  this->network.executedStatements.push_back({ aCommand.requestId,
                                               this->server.id,
                                               this->organisation,
                                               text,
                                               this->variables,
                                               this->isInTransaction,
                                               this->server.position });
  if (isCommit) {
    this->isInTransaction = false;
    this->hasWritten = false;
  }
  ServerReply reply;
  reply.status = ReplyStatus::Done;
  reply.signature = "signed-" + aCommand.requestId;
  if (!isWrite && !isCommit) {
    reply.rows.push_back("row of " + text);
  }
  return reply;
}

void FakeNetwork::Connect(const ConnectTarget& aTarget,
                          std::function<void(Instant, ServerReply, std::unique_ptr<Link>)> aHandler)
{
  ++this->openedCount;
  FakeServer& server = this->servers.at(aTarget.server);
  const Instant end = server.isUnresponsive ? this->now + Duration(std::chrono::milliseconds(500))
                                            : server.OccupySlot(this->now, this->connectDelay);
  this->scheduler.Schedule(
    end, [this, &server, target = aTarget, handler = std::move(aHandler)](Instant aNow) {
      ServerReply reply;
      if (server.isUnresponsive) {
        handler(aNow, reply, nullptr);
        return;
      }
      if (server.connectionCount >= server.connectionLimit) {
        handler(aNow,
                Refuse(ErrorCode::TooManyConnections, TransactionState::Idle, server.position),
                nullptr);
        return;
      }
      reply.status = ReplyStatus::Done;
      reply.position = server.position;
      handler(aNow, reply, std::make_unique<Link>(*this, server, target.organisation));
    });
}

FakeServer& FakeNetwork::Add(const std::string& aId, bool aIsPrimary, const std::string& aGroup)
{
  FakeServer& server = this->servers[ServerId(aId)];
  server.id = ServerId(aId);
  server.group = aGroup;
  server.isPrimary = aIsPrimary;
  return server;
}

void FakeNetwork::Promote(const std::string& aId)
{
  FakeServer& promoted = this->Server(aId);
  std::uint64_t term = 0;
  for (auto& [id, server] : this->servers) {
    if (server.group == promoted.group) {
      server.isPrimary = false;
      term = std::max(term, server.position.term);
    }
  }
  promoted.isPrimary = true;
  for (auto& [id, server] : this->servers) {
    if (server.group != promoted.group) {
      continue;
    }
    server.pausedTerm = 0;
    server.termStartOffset = promoted.position.offset;
    server.position = { term + 1, std::min(server.position.offset, promoted.position.offset) };
  }
}

void FakeNetwork::BreakConnections(Instant aNow, const std::string& aId)
{
  const std::set<Link*> openLinks = this->links;
  for (Link* link : openLinks) {
    if (this->links.contains(link) && link->server.id == ServerId(aId)) {
      link->Break(aNow);
    }
  }
}

} // namespace mustardshift::proxy::test
