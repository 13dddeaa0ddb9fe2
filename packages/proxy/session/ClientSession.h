#pragma once

#include "core/base/Assert.h"
#include "core/base/NameTable.h"
#include "proxy/pool/CommandSequence.h"
#include "proxy/pool/RollBackAndRelease.h"
#include "proxy/session/ActiveStatement.h"
#include "proxy/session/LogStatement.h"
#include "proxy/session/ServerChoice.h"
#include "proxy/session/SessionAccess.h"
#include "proxy/session/SessionContext.h"
#include "proxy/session/SessionState.h"
#include "proxy/session/SetupCommands.h"
#include "proxy/statement/ClientReply.h"
#include "proxy/statement/Statement.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** One client's session: session variables, prepared statements and at most one transaction.
    Statements run on pooled connections; a session holds a connection only while a statement runs
    or a transaction is open at a server.

    Consistency of reads: a read that has to see all commits runs inside a transaction that the
    primary has accepted, because a server that is no longer the primary refuses such a transaction
    but answers plain reads from an outdated log. Other reads state the log position that the
    server's log has to contain.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network>
class ClientSession : public std::enable_shared_from_this<ClientSession<Network>>
{
public:
  using Reply = std::function<void(Instant, ClientReply)>;
  using Connection = PooledConnection<Network>;

  /** @param aDatabase  the database name that the client asked for.
      @param aKeyHash   KeyHash() of the client's key; empty when it presented none. */
  ClientSession(SessionContext<Network>& aContext, std::string aDatabase, std::string aKeyHash)
    : context(aContext)
    , database(std::move(aDatabase))
    , keyHash(std::move(aKeyHash))
  {
  }
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;
  ~ClientSession() = default;

  /** Checks the client's database and key. Returns the reason if the session is refused, otherwise
      nothing. */
  std::optional<ErrorCode> Open(Instant aNow)
  {
    const std::optional<ErrorCode> refusal =
      this->context.isStopping ? ErrorCode::Busy : this->CheckAccess(aNow);
    this->context.log.Write(aNow,
                            "session",
                            refusal ? "refused" : "opened",
                            { { "database", this->database },
                              { "organisation", this->access.organisation.Text() },
                              { "error", refusal ? NameText(*refusal) : "none" },
                              { "configuration", this->VersionText() } });
    return refusal;
  }

  /** Runs a statement and calls aReply once, possibly before this function returns.
      Precondition: no other statement of the session is running; End() was not called. */
  void Execute(Instant aNow, std::string aRequestId, Statement aStatement, Reply aReply)
  {
    MUSTARDSHIFT_ASSERT(!this->activeStatement && !this->hasEnded);
    this->CancelIdleTimer();
    this->activeStatement.emplace();
    this->activeStatement->requestId = std::move(aRequestId);
    this->activeStatement->statement = std::move(aStatement);
    this->activeStatement->reply = std::move(aReply);
    this->activeStatement->startedAt = aNow;
    if (this->context.isStopping && this->RefuseBeforeExit(aNow)) {
      return;
    }
    switch (this->activeStatement->statement.kind) {
      case StatementKind::SetVariable:
      case StatementKind::Prepare:
        if (this->RefuseLargeState(aNow)) {
          return;
        }
        [[fallthrough]];
      case StatementKind::Deallocate:
        this->state.Apply(this->activeStatement->statement);
        this->ReplyDone(aNow);
        return;
      case StatementKind::Begin:
      case StatementKind::BeginReadOnly:
        this->BeginTransaction(aNow);
        return;
      case StatementKind::Rollback:
        this->RollBack(aNow);
        return;
      case StatementKind::Commit:
        this->Commit(aNow);
        return;
      case StatementKind::Read:
      case StatementKind::Write:
      case StatementKind::Execute:
        this->StartStatement(aNow);
        return;
    }
  }

  /** Ends the session after its client has disconnected, and rolls back an open transaction. No
      reply is given any more. A command that is running at a server is not interrupted. */
  void End(Instant aNow)
  {
    if (this->hasEnded) {
      return;
    }
    this->hasEnded = true;
    this->CancelIdleTimer();
    if (this->activeStatement) {
      this->activeStatement->reply = nullptr;
      this->context.pool.Cancel(this->activeStatement->connectionTicket);
      this->context.throttler.Cancel(this->activeStatement->tokenTicket);
      if (this->activeStatement->isRunning) {
        return;
      }
      this->CancelTimers();
      this->activeStatement.reset();
    }
    this->RollBackAtServer(aNow);
  }

  /** Ends the running statement, if there is one, with the answer that it would get at its time
      limit.
      @param aWhy  message of the answer; a literal. */
  void AnswerRunningStatement(Instant aNow, const char* aWhy = kStopping)
  {
    if (this->activeStatement && !this->hasEnded) {
      this->AbandonStatement(aNow, aWhy, aWhy);
    }
  }

  /** Bytes that the session holds: its variables and prepared statements, the running statement,
      and what the server connection that it uses remembers of them. */
  std::size_t HeldBytes() const
  {
    std::size_t bytes = this->state.Size();
    if (this->activeStatement) {
      bytes += BytesOfStatement(this->activeStatement->statement.text.size() +
                                this->activeStatement->requestId.size());
    }
    if (this->connection != nullptr) {
      bytes +=
        this->BytesOnConnection() + this->connection->preparedNames.size() * kBytesPerPreparedName;
    }
    return bytes;
  }

  /** Bytes that the session will hold, beyond HeldBytes(), while it runs a statement.
      @param aSize  size of the client's message */
  std::size_t BytesToRun(std::size_t aSize) const
  {
    return BytesOfStatement(aSize) + (this->connection == nullptr ? this->BytesOnConnection() : 0);
  }

  bool IsRunning() const { return this->activeStatement.has_value(); }
  bool IsInTransaction() const { return this->transaction != Transaction::None; }
  TransactionState State() const
  {
    switch (this->transaction) {
      case Transaction::None:
        return TransactionState::Idle;
      case Transaction::Failed:
        return TransactionState::Failed;
      case Transaction::Pending:
      case Transaction::Open:
        break;
    }
    return TransactionState::Open;
  }

private:
  enum class Transaction
  {
    None,
    /** Begun by the client, but not yet at a server. */
    Pending,
    /** Open on `connection`. */
    Open,
    Failed,
  };

  static constexpr const char* kStopping = "this VM is stopping";
  /** A name of 67 bytes in a node of a set. */
  static constexpr std::size_t kBytesPerPreparedName = 160;

  /** A statement is kept whole, by its parts, and as the command that is sent. Its request id is
      kept as often, or once less.
      @param aSize  size of its text and its request id, in bytes. */
  static std::size_t BytesOfStatement(std::size_t aSize) { return 3 * aSize; }

  /** The session variables as commands, and as the connection's copy. */
  std::size_t BytesOnConnection() const { return 2 * this->state.VariablesSize(); }

  /** Refuses a statement that would make the session's variables and prepared statements too large.
      Returns whether it did. */
  bool RefuseLargeState(Instant aNow)
  {
    const std::size_t size = this->state.SizeAfter(this->activeStatement->statement);
    const std::size_t bound = this->context.sessionLimits.sessionStateBytes;
    if (size <= bound) {
      return false;
    }
    if (this->context.limitReporter != nullptr) {
      this->context.limitReporter->Report(aNow, LimitKind::SessionState, size, bound);
    }
    this->ReplyError(aNow, ErrorCode::Busy, "the session holds too many values and names");
    return true;
  }
  static constexpr const char* kNotAllowed = "the configuration in force doesn't allow it";

  static std::string NameText(ErrorCode aCode)
  {
    return std::string(NameOf(kErrorCodeNames, aCode));
  }
  std::string VersionText() const
  {
    return std::to_string(this->context.cluster.Configuration().version);
  }

  /** Looks up the route and the organisation in the configuration in force. A transaction that is
      open at a server keeps both until it ends; CheckOrganisation() checks its key. */
  std::optional<ErrorCode> CheckAccess(Instant aNow)
  {
    if (this->transaction == Transaction::Open) {
      const bool hasRoute = this->context.cluster.Configuration().routes.contains(this->database);
      return hasRoute ? std::nullopt : std::optional(ErrorCode::UnknownDatabase);
    }
    auto found = FindSessionAccess(aNow, this->context.cluster, this->database, this->keyHash);
    if (!found) {
      return found.error();
    }
    this->access = std::move(*found);
    return std::nullopt;
  }

  /** Checks that the client's key still belongs to the organisation for which the connection was
      opened. Returns the reason if nothing may be sent on the connection any more. */
  std::optional<ErrorCode> CheckOrganisation(Instant aNow) const
  {
    if (this->access.route.isPublic) {
      return std::nullopt;
    }
    const auto organisation = FindOrganisation(aNow, this->context.cluster, this->keyHash);
    if (!organisation) {
      return organisation.error();
    }
    return *organisation == this->connection->organisation ? std::nullopt
                                                           : std::optional(ErrorCode::Aborted);
  }

  /** Ends the statement, which was not sent, and gives its connection back. */
  void RefuseToSend(Instant aNow, ErrorCode aError)
  {
    if (this->transaction != Transaction::Open) {
      this->ReleaseConnection(aNow, false);
    }
    this->Fail(aNow,
               aError,
               aError == ErrorCode::Aborted ? "the key belongs to another organisation now"
                                            : kNotAllowed);
  }

  /** Refuses the statement because the process exits soon. An open transaction is rolled back, so
      that the client can repeat it at another VM. Returns false, and does nothing, if the statement
      needs no server because the transaction is over. */
  bool RefuseBeforeExit(Instant aNow)
  {
    switch (this->transaction) {
      case Transaction::None:
        this->ReplyError(aNow, ErrorCode::Busy, kStopping);
        return true;
      case Transaction::Failed:
        return false;
      case Transaction::Pending:
      case Transaction::Open:
        break;
    }
    if (this->activeStatement->statement.kind == StatementKind::Rollback) {
      return false;
    }
    this->FailTransaction(aNow, ErrorCode::Aborted, kStopping);
    return true;
  }

  void BeginTransaction(Instant aNow)
  {
    if (this->transaction != Transaction::None) {
      this->ReplyError(aNow, ErrorCode::Malformed, "a transaction is open");
      return;
    }
    this->transaction = Transaction::Pending;
    this->isReadOnly = this->activeStatement->statement.kind == StatementKind::BeginReadOnly;
    this->hasWritten = false;
    this->ReplyDone(aNow);
  }

  void RollBack(Instant aNow)
  {
    if (this->transaction == Transaction::None) {
      this->ReplyError(aNow, ErrorCode::Malformed, "no transaction is open");
      return;
    }
    this->RollBackAtServer(aNow);
    this->transaction = Transaction::None;
    this->ReplyDone(aNow);
  }

  void Commit(Instant aNow)
  {
    if (this->transaction == Transaction::None) {
      this->ReplyError(aNow, ErrorCode::Malformed, "no transaction is open");
      return;
    }
    if (this->transaction == Transaction::Failed) {
      this->transaction = Transaction::None;
      this->ReplyError(aNow, ErrorCode::Aborted, "the transaction had failed and is rolled back");
      return;
    }
    this->StartStatement(aNow);
  }

  bool IsCommit() const { return this->activeStatement->statement.kind == StatementKind::Commit; }

  const PreparedStatement* FindPrepared() const
  {
    return this->state.Find(this->activeStatement->statement);
  }
  bool IsWrite() const { return this->state.IsWrite(this->activeStatement->statement); }

  /** Whether the statement can commit changes, so that a lost answer leaves its outcome unknown. */
  bool MayCommit() const
  {
    return this->IsCommit() || (this->IsWrite() && this->transaction == Transaction::None);
  }

  void StartStatement(Instant aNow)
  {
    if (this->transaction == Transaction::Failed) {
      this->ReplyError(aNow, ErrorCode::Malformed, "the transaction has failed");
      return;
    }
    if (this->activeStatement->statement.kind == StatementKind::Execute &&
        this->FindPrepared() == nullptr) {
      this->ReplyError(aNow, ErrorCode::UnknownStatement, "no such prepared statement");
      return;
    }
    if (this->transaction != Transaction::Open && !this->access.organisation.IsEmpty()) {
      // Counted whether or not the statement is served, so that the organisation's rate is divided
      // by the demand of its clients.
      this->context.buckets.CountDemand(aNow, this->access.organisation);
    }
    if (const std::optional<ErrorCode> refusal = this->CheckAccess(aNow)) {
      this->Fail(aNow, *refusal, kNotAllowed);
      return;
    }
    this->activeStatement->deadline = aNow + this->access.route.statementTimeout;
    this->activeStatement->deadlineTimer = this->context.scheduler.Schedule(
      this->activeStatement->deadline, [self = this->weak_from_this()](Instant aThen) {
        if (const auto session = self.lock()) {
          session->OnDeadline(aThen);
        }
      });
    if (this->transaction == Transaction::Open) {
      if (this->connection->isBroken) {
        // This statement was not sent, so the transaction is certainly rolled back, even if the
        // statement is a commit.
        this->DiscardConnection(aNow);
        this->FailTransaction(aNow, ErrorCode::Aborted, "the server connection was lost");
        return;
      }
      this->activeStatement->path = StatementPath::Pinned;
      this->RunStatement(aNow);
      return;
    }
    this->AcquireToken(aNow);
  }

  void AcquireToken(Instant aNow)
  {
    if (this->access.route.isPublic) {
      this->Dispatch(aNow);
      return;
    }
    if (this->ChooseCandidates(aNow).empty()) {
      // Refuses the statement before it takes a rate token, so that other statements can use the
      // token.
      this->Fail(aNow, ErrorCode::Busy, kNoServerAvailable);
      return;
    }
    const auto ticket = this->context.throttler.Admit(
      aNow,
      this->access.organisation,
      [self = this->shared_from_this()](Instant aThen, bool aIsAdmitted) {
        if (!self->activeStatement || self->hasEnded) {
          return;
        }
        self->activeStatement->tokenTicket = 0;
        if (aIsAdmitted) {
          self->activeStatement->hasToken = true;
          self->Dispatch(aThen);
        } else {
          self->context.log.Write(
            aThen,
            "rate",
            "refused",
            { { "id", self->activeStatement->requestId },
              { "organisation", self->access.organisation.Text() },
              { "figures", self->context.buckets.Describe(aThen, self->access.organisation) } });
          self->Fail(aThen, ErrorCode::Busy, "the organisation is over its rate");
        }
      });
    if (this->activeStatement && ticket != 0) {
      this->activeStatement->tokenTicket = ticket;
    }
  }

  /** Makes a task that clears the retry timer and calls a method, unless the statement has ended by
      then. */
  Scheduler::Task MakeRetryTask(void (ClientSession::*aMethod)(Instant))
  {
    return [self = this->weak_from_this(), aMethod](Instant aThen) {
      const auto session = self.lock();
      if (session != nullptr && session->activeStatement && !session->hasEnded) {
        session->activeStatement->retryTimer.reset();
        (session.get()->*aMethod)(aThen);
      }
    };
  }

  /** Chooses the servers that may run the statement, and asks the pool for a connection. */
  void Dispatch(Instant aNow)
  {
    if (++this->activeStatement->attempts > this->context.sessionLimits.maxAttempts) {
      this->Fail(aNow, ErrorCode::Busy, "all attempts failed");
      return;
    }
    std::vector<ConnectionCandidate> candidates = this->ChooseCandidates(aNow);
    if (candidates.empty()) {
      this->Fail(aNow, ErrorCode::Busy, kNoServerAvailable);
      return;
    }
    const auto maxConnectionWait = std::chrono::duration_cast<Duration>(
      this->access.route.statementTimeout * this->context.sessionLimits.connectionWaitFraction);
    ConnectionRequest<Network> request;
    request.organisation = this->access.organisation;
    request.candidates = std::move(candidates);
    request.deadline = std::min(this->activeStatement->deadline,
                                this->activeStatement->startedAt + maxConnectionWait);
    request.priority = this->access.route.priority;
    request.handler = [self = this->shared_from_this()](Instant aThen, Connection* aConnection) {
      self->OnConnection(aThen, aConnection);
    };
    this->activeStatement->connectionTicket = 0;
    const auto ticket = this->context.pool.Acquire(aNow, std::move(request));
    if (this->activeStatement && ticket != 0) {
      this->activeStatement->connectionTicket = ticket;
    }
  }

  /** Chooses the servers that may run the statement; none when no server can run it now. */
  std::vector<ConnectionCandidate> ChooseCandidates(Instant aNow)
  {
    const bool startsReadWriteTransaction =
      this->transaction == Transaction::Pending && !this->isReadOnly;
    ServerChoice choice =
      this->context.chooser.Choose(aNow,
                                   { this->access.route,
                                     this->access.organisation,
                                     this->IsWrite() || startsReadWriteTransaction,
                                     this->lastCommitPosition,
                                     this->activeStatement->excludedServers });
    this->activeStatement->path = choice.path;
    this->activeStatement->minimumPosition = choice.minimumPosition;
    return std::move(choice.candidates);
  }

  void OnConnection(Instant aNow, Connection* aConnection)
  {
    if (!this->activeStatement || this->hasEnded) {
      if (aConnection != nullptr) {
        this->context.pool.Release(aNow, aConnection);
      }
      return;
    }
    this->activeStatement->connectionTicket = 0;
    this->activeStatement->connectionWait = aNow - this->activeStatement->startedAt;
    if (aConnection == nullptr) {
      this->Fail(aNow, ErrorCode::Busy, "no connection became free in time");
      return;
    }
    this->connection = aConnection;
    this->RunStatement(aNow);
  }

  void AddBeginCommand(std::vector<ServerCommand>& aCommands) const
  {
    const bool isPending = this->transaction == Transaction::Pending;
    if (!isPending && this->activeStatement->path != StatementPath::CheckedPrimary) {
      return;
    }
    ServerCommand begin;
    begin.kind = this->activeStatement->path == StatementPath::AtPosition
                   ? ServerCommandKind::BeginReadOnly
                   : ServerCommandKind::Begin;
    begin.minimumPosition = this->activeStatement->minimumPosition;
    aCommands.push_back(std::move(begin));
  }

  ServerCommand MakeCommand() const
  {
    ServerCommand command;
    command.requestId = this->activeStatement->requestId;
    if (this->activeStatement->statement.kind == StatementKind::Execute) {
      command.kind = ServerCommandKind::Execute;
      command.name = this->FindPrepared()->serverSideName;
      command.body = this->activeStatement->statement.body;
    } else {
      command.kind = ServerCommandKind::Forward;
      command.text = this->activeStatement->statement.text;
    }
    if (this->activeStatement->path == StatementPath::AtPosition &&
        this->transaction == Transaction::None) {
      command.minimumPosition = this->activeStatement->minimumPosition;
    }
    return command;
  }

  /** Sends the statement on the connection, after the commands that it needs there. All statements
      of clients are sent here. */
  void RunStatement(Instant aNow)
  {
    if (const std::optional<ErrorCode> refusal = this->CheckOrganisation(aNow)) {
      this->RefuseToSend(aNow, *refusal);
      return;
    }
    std::vector<ServerCommand> commands;
    if (!this->IsCommit()) {
      const bool isExecute = this->activeStatement->statement.kind == StatementKind::Execute;
      commands = MakeSetupCommands(this->connection->variables,
                                   this->connection->preparedNames,
                                   this->state.Variables(),
                                   isExecute ? this->FindPrepared() : nullptr);
    }
    if (this->activeStatement->path != StatementPath::Pinned) {
      this->AddBeginCommand(commands);
    }
    commands.push_back(this->MakeCommand());
    this->activeStatement->isRunning = true;
    this->activeStatement->server = this->connection->server;
    this->activeStatement->hasToken = false;
    this->StartUnresponsiveServerTimer(aNow);
    CommandSequence<Network>::Run(
      aNow,
      *this->connection,
      this->context.health,
      std::move(commands),
      [self = this->shared_from_this()](Instant aThen, CommandSequenceResult aResult) {
        self->OnCommandSequenceEnd(aThen, std::move(aResult));
      });
  }

  /** Retries a read before its deadline when its server has stopped responding. A server that has
      answered other statements meanwhile is only slow, and the read stays there. */
  void StartUnresponsiveServerTimer(Instant aNow)
  {
    if (this->MayCommit() || this->activeStatement->path == StatementPath::Pinned) {
      return;
    }
    this->activeStatement->unresponsiveServerTimer = this->context.scheduler.Schedule(
      aNow + this->context.sessionLimits.unresponsiveServerTimeout,
      [self = this->weak_from_this(), sentAt = aNow](Instant aThen) {
        const auto session = self.lock();
        if (session == nullptr || !session->activeStatement ||
            !session->activeStatement->isRunning || session->hasEnded ||
            session->context.health.HasRepliedSince(session->connection->server, sentAt)) {
          return;
        }
        session->activeStatement->unresponsiveServerTimer.reset();
        session->context.health.RecordAttemptFailure(session->connection->server, sentAt);
        session->CloseStatementConnection(aThen);
        session->Retry(aThen, "the server did not respond", true);
      });
  }

  /** Closes the statement's connection. The server rolls back a transaction that is open on it. */
  void CloseStatementConnection(Instant aNow)
  {
    Connection* lostConnection = std::exchange(this->connection, nullptr);
    this->activeStatement->isRunning = false;
    this->ExcludeReplica(lostConnection->server);
    this->context.pool.Discard(aNow, lostConnection);
  }

  /** Makes the next attempt of a read use another replica. The primary has no substitute and is
      asked again, on another connection. */
  void ExcludeReplica(const ServerId& aServer)
  {
    if (this->activeStatement->path == StatementPath::AtPosition) {
      this->activeStatement->excludedServers.insert(aServer);
    }
  }

  void OnCommandSequenceEnd(Instant aNow, CommandSequenceResult aResult)
  {
    this->activeStatement->isRunning = false;
    this->CancelTimer(this->activeStatement->unresponsiveServerTimer);
    if (aResult.beginPosition) {
      this->context.positions.Observe(
        this->access.route.group, aResult.beginSentAt, *aResult.beginPosition);
    }
    if (aResult.reply.position) {
      this->context.replicaPositions.Record(
        this->connection->server, *aResult.reply.position, aNow);
    }
    if (this->hasEnded) {
      this->FinishAfterEnd(aNow, aResult);
      return;
    }
    if (aResult.reply.status == ReplyStatus::Refused &&
        aResult.reply.error == ErrorCode::ReadOnly) {
      this->context.cluster.MarkNotPrimary(this->connection->server, aNow);
    }
    if (!aResult.isLast) {
      this->OnSetupFailed(aNow, aResult);
      return;
    }
    switch (aResult.reply.status) {
      case ReplyStatus::Done:
        this->OnDone(aNow, aResult);
        return;
      case ReplyStatus::Refused:
        this->OnRefused(aNow, aResult);
        return;
      case ReplyStatus::Lost:
        this->OnLost(aNow, aResult.reply.isTooLarge);
        return;
    }
  }

  void FinishAfterEnd(Instant aNow, const CommandSequenceResult& aResult)
  {
    this->CancelTimers();
    this->activeStatement.reset();
    if (aResult.reply.status == ReplyStatus::Lost) {
      this->context.pool.Discard(aNow, std::exchange(this->connection, nullptr));
      return;
    }
    this->ReleaseConnection(aNow, aResult.reply.state != TransactionState::Idle);
  }

  /** Handles the failure of a command that precedes the statement. The statement itself has not
      run. */
  void OnSetupFailed(Instant aNow, const CommandSequenceResult& aResult)
  {
    if (this->activeStatement->path == StatementPath::Pinned) {
      this->DiscardConnection(aNow);
      this->FailTransaction(aNow, ErrorCode::Aborted, "the server connection failed");
      return;
    }
    const bool isBegin = aResult.command == ServerCommandKind::Begin ||
                         aResult.command == ServerCommandKind::BeginReadOnly;
    if (aResult.reply.status == ReplyStatus::Refused && isBegin) {
      const ServerId server = this->connection->server;
      this->ReleaseConnection(aNow, aResult.reply.state != TransactionState::Idle);
      this->RetryRefused(aNow, server, aResult.reply.error);
      return;
    }
    this->CloseStatementConnection(aNow);
    this->Retry(aNow, "a setup command failed", false);
  }

  void OnDone(Instant aNow, CommandSequenceResult& aResult)
  {
    ServerReply& reply = aResult.reply;
    const bool isWrite = this->IsWrite();
    const bool isCommit = this->IsCommit();
    if (this->transaction == Transaction::Pending) {
      this->transaction = Transaction::Open;
    }
    const bool isInTransaction = this->transaction == Transaction::Open;
    if (isInTransaction && isWrite) {
      this->hasWritten = true;
    }
    const bool hasCommittedWrite = isCommit ? this->hasWritten : isWrite && !isInTransaction;
    if (hasCommittedWrite && reply.position) {
      this->context.positions.Observe(this->access.route.group, aResult.sentAt, *reply.position);
      this->lastCommitPosition = this->lastCommitPosition
                                   ? std::max(*this->lastCommitPosition, *reply.position)
                                   : reply.position;
    }
    if (isCommit) {
      this->transaction = Transaction::None;
    }
    const bool isOnReplica = this->activeStatement->path == StatementPath::AtPosition;
    // A read on StatementPath::CheckedPrimary leaves its transaction open at the server, so it is
    // rolled back before the release.
    if (this->transaction != Transaction::Open) {
      this->ReleaseConnection(aNow, reply.state != TransactionState::Idle);
    }
    ClientReply answer;
    answer.rows = std::move(reply.rows);
    answer.signature = std::move(reply.signature);
    answer.position = reply.position;
    this->FinishStatement(aNow, std::move(answer), isOnReplica);
  }

  void OnRefused(Instant aNow, const CommandSequenceResult& aResult)
  {
    const ServerReply& reply = aResult.reply;
    const ServerId server = this->connection->server;
    if (reply.error == ErrorCode::UnknownStatement) {
      this->connection->preparedNames.clear();
    }
    const bool hasNotRun = VerdictOf(reply.error) == Verdict::NotRun;
    if (this->transaction == Transaction::Open) {
      this->OnRefusedInTransaction(aNow, reply, hasNotRun);
      return;
    }
    const bool isRead = !this->MayCommit();
    this->ReleaseConnection(aNow, reply.state != TransactionState::Idle);
    if (hasNotRun) {
      this->RetryRefused(aNow, server, reply.error);
      return;
    }
    if (isRead) {
      this->ExcludeReplica(server);
      this->Retry(aNow, "the server failed to run the read", true);
      return;
    }
    this->Fail(aNow, reply.error, "the server failed the statement");
  }

  void OnRefusedInTransaction(Instant aNow, const ServerReply& aReply, bool aHasNotRun)
  {
    const bool isTransient =
      aReply.error == ErrorCode::Busy || aReply.error == ErrorCode::UnknownStatement;
    if (aHasNotRun && isTransient && aReply.state == TransactionState::Open &&
        ++this->activeStatement->attempts <= this->context.sessionLimits.maxAttempts &&
        aNow + this->context.sessionLimits.busyRetryDelay < this->activeStatement->deadline) {
      this->activeStatement->retryTimer =
        this->context.scheduler.Schedule(aNow + this->context.sessionLimits.busyRetryDelay,
                                         this->MakeRetryTask(&ClientSession::RunStatement));
      return;
    }
    if (this->IsCommit() && !aHasNotRun) {
      this->ReleaseConnection(aNow, aReply.state != TransactionState::Idle);
      this->transaction = Transaction::None;
      this->ReplyError(aNow, aReply.error, "the server failed the commit");
      return;
    }
    this->ReleaseConnection(aNow, aReply.state != TransactionState::Idle);
    this->FailTransaction(
      aNow, aHasNotRun ? ErrorCode::Aborted : aReply.error, "the server refused the statement");
  }

  void OnLost(Instant aNow, bool aIsTooLarge)
  {
    const bool mayHaveCommitted = this->MayCommit();
    this->CloseStatementConnection(aNow);
    if (mayHaveCommitted) {
      this->FailInDoubt(aNow);
      return;
    }
    if (aIsTooLarge) {
      // Another server would send the same rows.
      this->Fail(aNow, ErrorCode::Failed, "the result is larger than this VM can hold");
      return;
    }
    if (this->transaction == Transaction::Open) {
      this->FailTransaction(aNow, ErrorCode::Aborted, "the server connection was lost");
      return;
    }
    this->Retry(aNow, "the answer was lost", true);
  }

  /** Retries a statement that a server refused to run because of the server's state. */
  void RetryRefused(Instant aNow, const ServerId& aServer, ErrorCode aError)
  {
    switch (aError) {
      case ErrorCode::ReadOnly:
        this->Retry(aNow, "the server is not the primary", false);
        return;
      case ErrorCode::Lagging:
        this->activeStatement->excludedServers.insert(aServer);
        this->Retry(aNow, "the replica lags behind", false);
        return;
      case ErrorCode::Busy:
        // Retried immediately if another server can run it, otherwise on the same server after a
        // delay.
        if (this->activeStatement->path == StatementPath::AtPosition) {
          this->activeStatement->excludedServers.insert(aServer);
          this->Retry(aNow, "the server is busy", false);
          return;
        }
        this->RetryAfterDelay(aNow);
        return;
      default:
        this->Retry(aNow, "refused", false);
        return;
    }
  }

  void RetryAfterDelay(Instant aNow)
  {
    const Instant next = aNow + this->context.sessionLimits.busyRetryDelay;
    if (next >= this->activeStatement->deadline) {
      this->Fail(aNow, ErrorCode::Busy, "the server is overloaded");
      return;
    }
    this->activeStatement->retryTimer =
      this->context.scheduler.Schedule(next, this->MakeRetryTask(&ClientSession::Dispatch));
  }

  void Retry(Instant aNow, const char* aWhy, bool aMayHaveRun)
  {
    this->context.log.Write(aNow,
                            "statement",
                            "retry",
                            { { "id", this->activeStatement->requestId },
                              { "why", aWhy },
                              { "may_have_run", aMayHaveRun ? "yes" : "no" },
                              { "tries", std::to_string(this->activeStatement->attempts) } });
    this->Dispatch(aNow);
  }

  void OnDeadline(Instant aNow)
  {
    if (!this->activeStatement) {
      return;
    }
    this->activeStatement->deadlineTimer.reset();
    if (this->activeStatement->isRunning) {
      this->context.health.RecordAttemptFailure(this->connection->server,
                                                aNow - this->access.route.statementTimeout);
    }
    this->AbandonStatement(aNow,
                           "the time limit passed before a server ran the statement",
                           "the server gave no answer in time");
  }

  /** Ends the statement without waiting any longer for a server.
      @param aWhyNotRun  message if no server was asked to run the statement.
      @param aWhyNoAnswer  message if a server may have run it, but nothing is kept. */
  void AbandonStatement(Instant aNow, const char* aWhyNotRun, const char* aWhyNoAnswer)
  {
    if (!this->activeStatement->isRunning) {
      this->context.pool.Cancel(this->activeStatement->connectionTicket);
      this->context.throttler.Cancel(this->activeStatement->tokenTicket);
      if (!this->hasEnded) {
        this->Fail(aNow, ErrorCode::Busy, aWhyNotRun);
      }
      return;
    }
    const bool mayHaveCommitted = this->MayCommit();
    this->CloseStatementConnection(aNow);
    if (this->hasEnded) {
      this->CancelTimers();
      this->activeStatement.reset();
      return;
    }
    if (mayHaveCommitted) {
      this->FailInDoubt(aNow);
      return;
    }
    this->Fail(aNow, ErrorCode::Aborted, aWhyNoAnswer);
  }

  /** Ends a commit or a write whose outcome is unknown. */
  void FailInDoubt(Instant aNow)
  {
    this->transaction = Transaction::None;
    this->ReplyError(aNow, ErrorCode::InDoubt, "the answer was lost; it may have been kept");
  }

  static constexpr const char* kNoServerAvailable = "no server can run the statement now";

  /** Ends a statement with an error and rolls back an open transaction. The rate token is refunded
      if no server was asked to run the statement. A commit or a write whose answer was lost ends
      with FailInDoubt() instead. */
  void Fail(Instant aNow, ErrorCode aError, const char* aWhy)
  {
    if (this->activeStatement->hasToken) {
      this->context.buckets.Refund(aNow, this->access.organisation);
    }
    if (this->transaction != Transaction::None) {
      this->FailTransaction(aNow, aError, aWhy);
      return;
    }
    this->ReplyError(aNow, aError, aWhy);
  }

  /** Rolls the transaction back and ends the statement with an error. The client has to end the
      transaction, unless the statement is its commit. */
  void FailTransaction(Instant aNow, ErrorCode aError, const char* aWhy)
  {
    const bool isCommit = this->IsCommit();
    this->RollBackAtServer(aNow);
    this->transaction = isCommit ? Transaction::None : Transaction::Failed;
    this->ReplyError(aNow, aError, aWhy);
  }

  /** Rolls back the transaction if it is open at a server. */
  void RollBackAtServer(Instant aNow)
  {
    if (this->connection != nullptr) {
      this->ReleaseConnection(aNow, true);
    }
  }

  void DiscardConnection(Instant aNow)
  {
    if (this->connection != nullptr) {
      this->context.pool.Discard(aNow, std::exchange(this->connection, nullptr));
    }
  }

  /** Returns the connection to the pool, after a rollback when a transaction is open on it. */
  void ReleaseConnection(Instant aNow, bool aHasTransaction)
  {
    Connection* releasedConnection = std::exchange(this->connection, nullptr);
    if (releasedConnection->isBroken) {
      this->context.pool.Discard(aNow, releasedConnection);
      return;
    }
    if (!aHasTransaction) {
      this->context.pool.Release(aNow, releasedConnection);
      return;
    }
    RollBackAndRelease(
      aNow, this->context.pool, this->context.health, this->context.scheduler, *releasedConnection);
  }

  void ReplyDone(Instant aNow) { this->FinishStatement(aNow, ClientReply{}, false); }

  void ReplyError(Instant aNow, ErrorCode aError, const char* aWhy)
  {
    ClientReply answer;
    answer.error = aError;
    answer.message = aWhy;
    this->FinishStatement(aNow, std::move(answer), false);
  }

  void FinishStatement(Instant aNow, ClientReply aReply, bool aIsOnReplica)
  {
    this->CancelTimers();
    const Reply reply = std::move(this->activeStatement->reply);
    const bool isAnsweredByProxy = !aReply.error && aReply.signature.empty();
    if (!isAnsweredByProxy) {
      // A statement that the proxy answers itself needs no server. Its lines would use up the log's
      // limit and displace more important lines.
      LogStatement(aNow,
                   this->context.log,
                   this->context.cluster,
                   this->database,
                   this->access,
                   *this->activeStatement,
                   aReply);
    }
    this->context.onStatementEnd({ this->access.organisation,
                                   this->access.route.consistency,
                                   this->activeStatement->statement.kind,
                                   aReply.error,
                                   aNow - this->activeStatement->startedAt,
                                   aIsOnReplica });
    this->activeStatement.reset();
    aReply.state = this->State();
    if (this->transaction == Transaction::Open) {
      this->StartIdleTimer(aNow);
    }
    if (reply) {
      reply(aNow, std::move(aReply));
    }
  }

  void StartIdleTimer(Instant aNow)
  {
    this->idleTimer = this->context.scheduler.Schedule(
      aNow + this->context.cluster.Configuration().transactionIdleTimeout,
      [self = this->weak_from_this()](Instant aThen) {
        const auto session = self.lock();
        if (session == nullptr || session->activeStatement || session->hasEnded) {
          return;
        }
        session->idleTimer.reset();
        session->context.log.Write(
          aThen, "transaction", "rolled-back-idle", { { "database", session->database } });
        session->RollBackAtServer(aThen);
        session->transaction = Transaction::Failed;
      });
  }

  void CancelIdleTimer() { this->CancelTimer(this->idleTimer); }

  void CancelTimer(std::optional<Scheduler::TaskId>& aTimer)
  {
    if (aTimer) {
      this->context.scheduler.Cancel(*aTimer);
      aTimer.reset();
    }
  }

  void CancelTimers()
  {
    this->CancelTimer(this->activeStatement->deadlineTimer);
    this->CancelTimer(this->activeStatement->retryTimer);
    this->CancelTimer(this->activeStatement->unresponsiveServerTimer);
  }

  SessionContext<Network>& context;
  std::string database;
  std::string keyHash;
  SessionAccess access;
  SessionState state;
  Transaction transaction = Transaction::None;
  bool isReadOnly = false;
  bool hasWritten = false;
  /** Position of the session's latest commit. */
  std::optional<LogPosition> lastCommitPosition;
  /** Set while a statement runs and while a transaction is open at a server. */
  Connection* connection = nullptr;
  std::optional<ActiveStatement<Network>> activeStatement;
  std::optional<Scheduler::TaskId> idleTimer;
  bool hasEnded = false;
};

} // namespace mustardshift::proxy
