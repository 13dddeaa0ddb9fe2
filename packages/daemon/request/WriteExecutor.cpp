#include "daemon/request/WriteExecutor.h"

#include "core/base/VerdictTable.h"
#include "daemon/request/DatabaseFrames.h"
#include "daemon/request/LostAnswerResolver.h"

#include <utility>

namespace mustardshift {

namespace {

/** Delay before a write that did not run, or is repeatable, is sent again. */
constexpr Duration kRetryDelay = std::chrono::milliseconds(20);

} // namespace

WriteExecutor::WriteExecutor(EventLoop& aLoop,
                             std::shared_ptr<DatabaseDispatcher> aDispatcher,
                             CallerRequest aRequest,
                             OrganisationName aOrganisation,
                             StatementCallback aCallback)
  : loop(aLoop)
  , dispatcher(std::move(aDispatcher))
  , request(std::move(aRequest))
  , organisation(std::move(aOrganisation))
  , callback(std::move(aCallback))
{
  this->kind.isRepeatable = this->request.isRepeatable;
}

void WriteExecutor::Attempt(Instant aNow)
{
  if (this->dispatcher->IsPrimaryFenced()) {
    this->RetryLater(aNow, RequestStep::AwaitAnswer, Fault::RefusedForTerm);
    return;
  }
  QueuedOperation operation;
  operation.organisation = this->organisation;
  operation.deadline = this->request.deadline;
  operation.run = [self = this->shared_from_this()](
                    Instant aLater, const std::shared_ptr<ConnectionLease>& aLease) {
    self->OnConnection(aLater, aLease);
  };
  operation.refuse = [self = this->shared_from_this()](Instant aLater, const Refusal& aRefusal) {
    const Fault fault =
      aRefusal.reason == Reason::QueueFull ? Fault::QueueFull : Fault::DeadlinePassed;
    self->Refuse(aLater, RequestStep::Queue, fault);
  };
  this->dispatcher->EnqueueAtPrimary(aNow, std::move(operation));
}

void WriteExecutor::RetryLater(Instant aNow, RequestStep aStep, Fault aFault)
{
  if (aNow + kRetryDelay >= this->request.deadline) {
    this->Refuse(aNow, aStep, aFault);
    return;
  }
  this->loop.Schedule(aNow + kRetryDelay,
                      [self = this->shared_from_this()](Instant aLater) { self->Attempt(aLater); });
}

void WriteExecutor::OnConnection(Instant aNow, const std::shared_ptr<ConnectionLease>& aLease)
{
  this->sentTerm = this->dispatcher->Primary().term;
  aLease->Send(
    MakeExecuteFrame(this->sentTerm, this->request.statement, this->request.requestId, false),
    this->request.deadline - aNow,
    [self = this->shared_from_this(), lease = aLease, sentAt = aNow](
      Instant aLater, const Outcome<database::v1::Answer>& aAnswer) {
      self->OnAnswer(aLater, sentAt, aAnswer);
    });
}

void WriteExecutor::OnAnswer(Instant aNow,
                             Instant aSentAt,
                             const Outcome<database::v1::Answer>& aAnswer)
{
  if (!aAnswer) {
    this->OnRequestFailed(aNow, aAnswer.error());
    return;
  }
  switch (aAnswer->status()) {
    case database::v1::ANSWER_STATUS_OK:
      this->Acknowledge(aNow, aSentAt, ToStatementResult(*aAnswer));
      return;
    case database::v1::ANSWER_STATUS_WRONG_TERM:
      // The server did not run the statement, so even one that is not repeatable may be sent to the
      // new primary.
      this->dispatcher->ObserveWrongTerm(this->sentTerm, aAnswer->accepted_term());
      this->RetryLater(aNow, RequestStep::AwaitAnswer, Fault::RefusedForTerm);
      return;
    case database::v1::ANSWER_STATUS_INVALID:
      this->Refuse(aNow, RequestStep::AwaitAnswer, Fault::StatementInvalid);
      return;
    case database::v1::ANSWER_STATUS_CONFLICT:
      this->Refuse(aNow, RequestStep::AwaitAnswer, Fault::Conflict);
      return;
    default:
      // The status does not say whether the statement ran.
      this->kind.mayHaveRunBefore = true;
      this->ResolveOutcome(aNow);
      return;
  }
}

void WriteExecutor::OnRequestFailed(Instant aNow, const Refusal& aRefusal)
{
  if (aRefusal.verdict == Verdict::NotRun) {
    if (aRefusal.reason == Reason::StatementInvalid) {
      this->Refuse(aNow, RequestStep::AwaitAnswer, Fault::StatementInvalid);
      return;
    }
    this->RetryLater(aNow, RequestStep::Connect, Fault::ConnectionLost);
    return;
  }
  this->kind.mayHaveRunBefore = true;
  if (this->kind.isRepeatable) {
    this->RetryLater(aNow, RequestStep::AwaitAnswer, Fault::AnswerLost);
    return;
  }
  this->ResolveOutcome(aNow);
}

void WriteExecutor::Acknowledge(Instant aNow, Instant aSentAt, const StatementResult& aResult)
{
  this->dispatcher->ConfirmMajority(
    aNow,
    aResult.position,
    aSentAt,
    this->request.deadline,
    [self = this->shared_from_this(), aResult](Instant aLater, const Outcome<void>& aConfirmed) {
      if (aConfirmed) {
        self->callback(aLater, aResult);
        return;
      }
      self->kind.mayHaveRunBefore = true;
      if (aConfirmed.error().reason == Reason::WrongTerm) {
        self->ResolveOutcome(aLater);
        return;
      }
      self->Refuse(aLater, RequestStep::Acknowledge, Fault::MajorityNotConfirmed);
    });
}

void WriteExecutor::ResolveOutcome(Instant aNow)
{
  std::make_shared<LostAnswerResolver>(this->loop,
                                       this->dispatcher,
                                       this->request.requestId,
                                       this->sentTerm,
                                       this->request.deadline,
                                       this->callback)
    ->Start(aNow);
}

void WriteExecutor::Refuse(Instant aNow, RequestStep aStep, Fault aFault)
{
  this->callback(aNow, tl::unexpected<Refusal>(RefusalFor(aStep, aFault, this->kind)));
}

} // namespace mustardshift
