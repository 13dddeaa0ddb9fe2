#include "daemon/request/TransactionTable.h"

#include "core/base/VerdictTable.h"
#include "daemon/request/DatabaseFrames.h"
#include "daemon/request/LostAnswerResolver.h"
#include "daemon/request/RandomHexadecimal.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(20);
constexpr std::size_t kIdBytes = 16;

TransactionId MakeTransactionId()
{
  return TransactionId(RandomHexadecimal(kIdBytes));
}

} // namespace

struct TransactionTable::Transaction
{
  TransactionId id;
  CallerRequest begin;
  AuthenticatedRequest context;
  std::shared_ptr<ConnectionLease> lease;
  std::uint64_t term = 0;
  EventLoop::TimerId timer;
  /** True while a statement, the commit or the rollback is running. */
  bool isBusy = false;
  bool isEnding = false;
};

TransactionTable::TransactionTable(EventLoop& aLoop,
                                   RequestProcessor& aProcessor,
                                   Duration aTimeout)
  : loop(aLoop)
  , processor(aProcessor)
  , timeout(aTimeout)
{
}

void TransactionTable::Begin(Instant aNow, CallerRequest aRequest, BeginCallback aReply)
{
  aReply = this->processor.CountWhileRunning<TransactionId>(std::move(aReply));
  Outcome<AuthenticatedRequest> context =
    this->processor.Authenticate(aNow, aRequest, WorkKind::New);
  if (!context) {
    aReply(tl::unexpected<Refusal>(context.error()));
    return;
  }
  const auto transaction = std::make_shared<Transaction>();
  transaction->id = MakeTransactionId();
  transaction->begin = std::move(aRequest);
  transaction->context = std::move(*context);
  this->processor.Admit(
    aNow,
    transaction->context,
    [this, transaction, reply = std::move(aReply)](Instant aLater, const Outcome<void>& aAdmitted) {
      if (!aAdmitted) {
        reply(tl::unexpected<Refusal>(aAdmitted.error()));
        return;
      }
      this->OpenOnConnection(aLater, transaction, reply);
    });
}

void TransactionTable::OpenOnConnection(Instant aNow,
                                        const TransactionPointer& aTransaction,
                                        const BeginCallback& aReply)
{
  QueuedOperation operation;
  operation.organisation = aTransaction->context.organisation;
  operation.deadline = aTransaction->begin.deadline;
  operation.run = [this, aTransaction, aReply](Instant aLater,
                                               const std::shared_ptr<ConnectionLease>& aLease) {
    aTransaction->lease = aLease;
    this->SendBegin(aLater, aTransaction, aReply);
  };
  operation.refuse = [aReply](Instant /*aLater*/, const Refusal& aRefusal) {
    aReply(tl::unexpected<Refusal>(aRefusal));
  };
  aTransaction->context.dispatcher->EnqueueAtPrimary(aNow, std::move(operation));
}

void TransactionTable::SendBegin(Instant aNow,
                                 const TransactionPointer& aTransaction,
                                 const BeginCallback& aReply)
{
  aTransaction->term = aTransaction->context.dispatcher->Primary().term;
  database::v1::Request frame;
  frame.set_term(aTransaction->term);
  frame.mutable_begin();
  aTransaction->lease->Send(
    std::move(frame),
    aTransaction->begin.deadline - aNow,
    [this, aTransaction, aReply](Instant aLater, const Outcome<database::v1::Answer>& aAnswer) {
      if (aAnswer && aAnswer->status() == database::v1::ANSWER_STATUS_OK) {
        this->Register(aLater, aTransaction, aReply);
        return;
      }
      // A connection on which a transaction may be open must not return to the pool.
      aTransaction->lease->Discard();
      aTransaction->lease.reset();
      if (aLater + kRetryDelay >= aTransaction->begin.deadline) {
        aReply(RefuseNotRun(Reason::ConnectionFailed, "the primary did not open a transaction"));
        return;
      }
      this->loop.Schedule(aLater + kRetryDelay, [this, aTransaction, aReply](Instant aRetry) {
        this->OpenOnConnection(aRetry, aTransaction, aReply);
      });
    });
}

void TransactionTable::Register(Instant aNow,
                                const TransactionPointer& aTransaction,
                                const BeginCallback& aReply)
{
  this->transactions.emplace(aTransaction->id, aTransaction);
  aTransaction->timer =
    this->loop.Schedule(aNow + this->timeout, [this, aTransaction](Instant /*aLater*/) {
      this->OnTimeout(aTransaction);
    });
  aReply(aTransaction->id);
}

Outcome<TransactionTable::TransactionPointer>
TransactionTable::Find(Instant aNow, const TransactionId& aId, const CallerRequest& aRequest) const
{
  const auto found = this->transactions.find(aId);
  if (found == this->transactions.end()) {
    return RefuseNotRun(Reason::TransactionUnknown,
                        "this VM has no such transaction; it may have timed out");
  }
  const TransactionPointer& transaction = found->second;
  // The key is checked at each statement, so that withdrawing a key also stops open transactions.
  CallerRequest check = aRequest;
  check.route = transaction->begin.route;
  check.requestId = transaction->begin.requestId;
  check.sessionToken = transaction->begin.sessionToken;
  const Outcome<AuthenticatedRequest> context =
    this->processor.Authenticate(aNow, check, WorkKind::Continued);
  if (!context) {
    return tl::unexpected<Refusal>(context.error());
  }
  if (transaction->isBusy) {
    return RefuseNotRun(Reason::RequestMalformed,
                        "the transaction's previous statement has not been answered");
  }
  return transaction;
}

void TransactionTable::Execute(Instant aNow,
                               const TransactionId& aId,
                               const CallerRequest& aRequest,
                               ReplyCallback aReply)
{
  aReply = this->processor.CountWhileRunning<CallerAnswer>(std::move(aReply));
  const Outcome<TransactionPointer> transaction = this->Find(aNow, aId, aRequest);
  if (!transaction) {
    aReply(tl::unexpected<Refusal>(transaction.error()));
    return;
  }
  (*transaction)->isBusy = true;
  this->processor.Admit(
    aNow,
    (*transaction)->context,
    [this, open = *transaction, request = aRequest, reply = std::move(aReply)](
      Instant aLater, const Outcome<void>& aAdmitted) {
      if (!aAdmitted || !open->lease) {
        open->isBusy = false;
        reply(aAdmitted ? RefuseNotRun(Reason::TransactionTimedOut, "the transaction timed out")
                        : tl::unexpected<Refusal>(aAdmitted.error()));
        return;
      }
      open->lease->Send(MakeExecuteFrame(open->term, request.statement, RequestId(), false),
                        request.deadline - aLater,
                        [this, open, deadline = request.deadline, reply](
                          Instant aAnswered, const Outcome<database::v1::Answer>& aAnswer) {
                          this->OnStatementAnswer(aAnswered, open, deadline, aAnswer, reply);
                        });
    });
}

void TransactionTable::OnStatementAnswer(Instant aNow,
                                         const TransactionPointer& aTransaction,
                                         Instant aDeadline,
                                         const Outcome<database::v1::Answer>& aAnswer,
                                         const ReplyCallback& aReply)
{
  aTransaction->isBusy = false;
  if (!aAnswer) {
    this->Remove(aTransaction, true);
    aReply(RefuseNotRun(Reason::ConnectionFailed,
                        "the transaction's connection was lost; it is rolled back"));
    return;
  }
  switch (aAnswer->status()) {
    case database::v1::ANSWER_STATUS_OK:
      break;
    case database::v1::ANSWER_STATUS_INVALID:
      aReply(RefuseNotRun(Reason::StatementInvalid, "the database refused the statement"));
      return;
    case database::v1::ANSWER_STATUS_CONFLICT:
      this->Remove(aTransaction, true);
      aReply(RefuseNotRun(Reason::TransactionConflict, "a concurrent transaction won"));
      return;
    default:
      this->Remove(aTransaction, true);
      aReply(RefuseNotRun(Reason::WrongTerm, "the primary was replaced; it is rolled back"));
      return;
  }
  const StatementResult result = ToStatementResult(*aAnswer);
  if (result.rows.empty()) {
    aReply(CallerAnswer{ {}, this->processor.EncodeToken(aTransaction->context.token), false });
    return;
  }
  // The rows may contain other clients' writes that a majority does not hold yet.
  aTransaction->isBusy = true;
  aTransaction->context.dispatcher->ConfirmMajority(
    aNow,
    result.position,
    std::nullopt,
    aDeadline,
    [this, aTransaction, result, aReply](Instant /*aLater*/, const Outcome<void>& aConfirmed) {
      aTransaction->isBusy = false;
      if (!aConfirmed) {
        this->Remove(aTransaction, true);
        aReply(RefuseNotRun(aConfirmed.error().reason,
                            "the data read is not on a majority; the transaction is rolled back"));
        return;
      }
      // The session has observed this state, even if the transaction is rolled back later.
      SessionToken& token = aTransaction->context.token;
      token.ObserveRead(aTransaction->context.route.database, result.position);
      aReply(CallerAnswer{ result.rows, this->processor.EncodeToken(token), false });
    });
}

void TransactionTable::Commit(Instant aNow,
                              const TransactionId& aId,
                              const CallerRequest& aRequest,
                              ReplyCallback aReply)
{
  aReply = this->processor.CountWhileRunning<CallerAnswer>(std::move(aReply));
  const Outcome<TransactionPointer> transaction = this->Find(aNow, aId, aRequest);
  if (!transaction) {
    aReply(tl::unexpected<Refusal>(transaction.error()));
    return;
  }
  if (aRequest.requestId.IsEmpty()) {
    aReply(RefuseNotRun(Reason::RequestMalformed, "a commit needs a request id"));
    return;
  }
  (*transaction)->isBusy = true;
  (*transaction)->isEnding = true;
  database::v1::Request frame;
  frame.set_term((*transaction)->term);
  CallerRequest scoped = aRequest;
  scoped.requestId = ScopedRequestId((*transaction)->context.organisation, aRequest.requestId);
  frame.mutable_commit()->set_request_id(scoped.requestId.Text());
  (*transaction)
    ->lease->Send(
      std::move(frame),
      aRequest.deadline - aNow,
      [this, open = *transaction, request = std::move(scoped), reply = std::move(aReply)](
        Instant aLater, const Outcome<database::v1::Answer>& aAnswer) {
        this->OnCommitAnswer(aLater, open, request, aAnswer, reply);
      });
}

void TransactionTable::OnCommitAnswer(Instant aNow,
                                      const TransactionPointer& aTransaction,
                                      const CallerRequest& aRequest,
                                      const Outcome<database::v1::Answer>& aAnswer,
                                      const ReplyCallback& aReply)
{
  const bool isAccepted = aAnswer && aAnswer->status() == database::v1::ANSWER_STATUS_OK;
  this->Remove(aTransaction, !isAccepted);
  if (!aAnswer) {
    if (aAnswer.error().verdict == Verdict::NotRun) {
      aReply(RefuseNotRun(Reason::ConnectionFailed,
                          "the transaction's connection was lost; it is rolled back"));
      return;
    }
    this->ResolveCommit(aNow, aTransaction, aRequest, aReply);
    return;
  }
  const bool isRejected = aAnswer->status() == database::v1::ANSWER_STATUS_CONFLICT ||
                          aAnswer->status() == database::v1::ANSWER_STATUS_WRONG_TERM ||
                          aAnswer->status() == database::v1::ANSWER_STATUS_INVALID;
  if (!isAccepted && !isRejected) {
    // The status does not say whether the commit ran.
    this->ResolveCommit(aNow, aTransaction, aRequest, aReply);
    return;
  }
  if (!isAccepted) {
    const Reason reason = aAnswer->status() == database::v1::ANSWER_STATUS_CONFLICT
                            ? Reason::TransactionConflict
                            : Reason::WrongTerm;
    aReply(RefuseNotRun(reason, "the database refused the commit; nothing was written"));
    return;
  }
  const StatementResult result = ToStatementResult(*aAnswer);
  aTransaction->context.dispatcher->ConfirmMajority(
    aNow,
    result.position,
    std::nullopt,
    aRequest.deadline,
    [this, aTransaction, aRequest, result, aReply](Instant aLater,
                                                   const Outcome<void>& aConfirmed) {
      if (aConfirmed) {
        this->FinishCommit(aTransaction, result, aReply);
      } else if (aConfirmed.error().reason == Reason::WrongTerm) {
        this->ResolveCommit(aLater, aTransaction, aRequest, aReply);
      } else {
        aReply(tl::unexpected<Refusal>(aConfirmed.error()));
      }
    });
}

void TransactionTable::ResolveCommit(Instant aNow,
                                     const TransactionPointer& aTransaction,
                                     const CallerRequest& aRequest,
                                     const ReplyCallback& aReply)
{
  std::make_shared<LostAnswerResolver>(
    this->loop,
    aTransaction->context.dispatcher,
    aRequest.requestId,
    aTransaction->term,
    aRequest.deadline,
    [this, aTransaction, aReply](Instant /*aLater*/, const Outcome<StatementResult>& aResult) {
      this->FinishCommit(aTransaction, aResult, aReply);
    })
    ->Start(aNow);
}

void TransactionTable::FinishCommit(const TransactionPointer& aTransaction,
                                    const Outcome<StatementResult>& aResult,
                                    const ReplyCallback& aReply)
{
  if (!aResult) {
    aReply(tl::unexpected<Refusal>(aResult.error()));
    return;
  }
  SessionToken token = aTransaction->context.token;
  token.ObserveWrite(aTransaction->context.route.database, aResult->position);
  aReply(CallerAnswer{ aResult->rows, this->processor.EncodeToken(std::move(token)), false });
}

void TransactionTable::Rollback(Instant aNow,
                                const TransactionId& aId,
                                const CallerRequest& aRequest,
                                ReplyCallback aReply)
{
  aReply = this->processor.CountWhileRunning<CallerAnswer>(std::move(aReply));
  const Outcome<TransactionPointer> transaction = this->Find(aNow, aId, aRequest);
  if (!transaction) {
    aReply(tl::unexpected<Refusal>(transaction.error()));
    return;
  }
  (*transaction)->isBusy = true;
  (*transaction)->isEnding = true;
  database::v1::Request frame;
  frame.set_term((*transaction)->term);
  frame.mutable_rollback();
  (*transaction)
    ->lease->Send(
      std::move(frame),
      aRequest.deadline - aNow,
      [this, open = *transaction, reply = std::move(aReply)](
        Instant /*aLater*/, const Outcome<database::v1::Answer>& aAnswer) {
        // If the rollback was not acknowledged, closing the connection makes the server roll back.
        const bool isRolledBack = aAnswer && aAnswer->status() == database::v1::ANSWER_STATUS_OK;
        this->Remove(open, !isRolledBack);
        reply(CallerAnswer{ {}, this->processor.EncodeToken(open->context.token), false });
      });
}

void TransactionTable::OnTimeout(const TransactionPointer& aTransaction)
{
  if (!aTransaction->isEnding) {
    this->Remove(aTransaction, true);
  }
}

void TransactionTable::Remove(const TransactionPointer& aTransaction, bool aDiscardConnection)
{
  this->transactions.erase(aTransaction->id);
  this->loop.Cancel(aTransaction->timer);
  if (aTransaction->lease && aDiscardConnection) {
    aTransaction->lease->Discard();
  }
  aTransaction->lease.reset();
}

} // namespace mustardshift
