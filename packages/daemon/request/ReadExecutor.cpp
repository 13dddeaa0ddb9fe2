#include "daemon/request/ReadExecutor.h"

#include "core/base/VerdictTable.h"
#include "daemon/request/DatabaseFrames.h"

#include <utility>
#include <variant>

namespace mustardshift {

namespace {

/** Delay before a read that no server could run is tried again on all servers. */
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(20);

template<class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

ReadExecutor::ReadExecutor(EventLoop& aLoop,
                           std::shared_ptr<DatabaseDispatcher> aDispatcher,
                           CallerRequest aRequest,
                           OrganisationName aOrganisation,
                           SessionToken aToken,
                           Duration aFreshness,
                           StatementCallback aCallback)
  : loop(aLoop)
  , dispatcher(std::move(aDispatcher))
  , request(std::move(aRequest))
  , organisation(std::move(aOrganisation))
  , token(std::move(aToken))
  , freshness(aFreshness)
  , callback(std::move(aCallback))
{
}

void ReadExecutor::Plan(Instant aNow)
{
  const PlannedRead planned = this->dispatcher->PlanRead(
    aNow, this->token, this->freshness, this->request.deadline, this->failedServers);
  this->minimumPosition = planned.minimumPosition;
  std::visit(
    Overloaded{ [&](const ReadAtReplica& aPlan) { this->ReadFrom(aNow, aPlan.replica, false); },
                [&](const ReadAtPrimary& aPlan) {
                  if (this->dispatcher->IsPrimaryFenced()) {
                    this->RetryAllServersLater(aNow);
                  } else {
                    this->ReadFrom(aNow, aPlan.primary, true);
                  }
                },
                [&](const WaitAtReplica& aPlan) {
                  this->dispatcher->WaitForPosition(
                    aNow,
                    aPlan.replica,
                    aPlan.minimumPosition,
                    aPlan.bound,
                    [self = this->shared_from_this(), server = aPlan.replica, sentAt = aNow](
                      Instant aLater, const Outcome<database::v1::Answer>& aAnswer) {
                      self->dispatcher->ObserveAnswer(aLater, server, sentAt, aAnswer);
                      if (aAnswer && aAnswer->status() == database::v1::ANSWER_STATUS_OK) {
                        self->ReadFrom(aLater, server, false);
                      } else {
                        self->RetryOnOtherServer(aLater, server);
                      }
                    });
                },
                [&](const Refusal& aRefusal) {
                  if (aRefusal.reason == Reason::DeadlineExceeded) {
                    this->Refuse(aNow, aRefusal);
                  } else {
                    this->RetryAllServersLater(aNow);
                  }
                } },
    planned.plan);
}

void ReadExecutor::ReadFrom(Instant aNow, const ServerAddress& aServer, bool aIsPrimary)
{
  QueuedOperation operation;
  operation.organisation = this->organisation;
  operation.deadline = this->request.deadline;
  operation.run = [self = this->shared_from_this(), aServer, aIsPrimary](
                    Instant aLater, const std::shared_ptr<ConnectionLease>& aLease) {
    self->OnConnection(aLater, aServer, aIsPrimary, aLease);
  };
  operation.refuse = [self = this->shared_from_this()](Instant aLater, const Refusal& aRefusal) {
    self->Refuse(aLater, aRefusal);
  };
  if (aIsPrimary) {
    this->dispatcher->EnqueueAtPrimary(aNow, std::move(operation));
  } else {
    this->dispatcher->EnqueueAtServer(aNow, aServer, std::move(operation));
  }
}

void ReadExecutor::OnConnection(Instant aNow,
                                const ServerAddress& aServer,
                                bool aIsPrimary,
                                const std::shared_ptr<ConnectionLease>& aLease)
{
  // The primary may have changed while the operation waited for a connection. A server that is the
  // primary now may hold entries that no other server has, so its answer has to be confirmed.
  const ServerAddress primary = this->dispatcher->Primary().server;
  const ServerAddress server = aIsPrimary ? primary : aServer;
  const bool leads = server == primary;
  const std::uint64_t term = this->dispatcher->Primary().term;
  aLease->Send(
    MakeExecuteFrame(term, this->request.statement, this->request.requestId, true),
    this->request.deadline - aNow,
    [self = this->shared_from_this(), lease = aLease, server, leads, term, sentAt = aNow](
      Instant aLater, const Outcome<database::v1::Answer>& aAnswer) {
      self->dispatcher->ObserveAnswer(aLater, server, sentAt, aAnswer);
      if (leads && aAnswer && aAnswer->status() == database::v1::ANSWER_STATUS_WRONG_TERM) {
        self->dispatcher->ObserveWrongTerm(term, aAnswer->accepted_term());
      }
      self->OnAnswer(aLater, server, sentAt, leads, aAnswer);
    });
}

void ReadExecutor::OnAnswer(Instant aNow,
                            const ServerAddress& aServer,
                            Instant aSentAt,
                            bool aIsPrimary,
                            const Outcome<database::v1::Answer>& aAnswer)
{
  if (!aAnswer) {
    this->kind.mayHaveRunBefore |= aAnswer.error().verdict != Verdict::NotRun;
    this->RetryOnOtherServer(aNow, aServer);
    return;
  }
  switch (aAnswer->status()) {
    case database::v1::ANSWER_STATUS_OK:
      break;
    case database::v1::ANSWER_STATUS_INVALID:
      this->Refuse(aNow, RefusalFor(RequestStep::AwaitAnswer, Fault::StatementInvalid, this->kind));
      return;
    default:
      this->RetryOnOtherServer(aNow, aServer);
      return;
  }
  // The read has run, even if this answer is not returned to the client.
  this->kind.mayHaveRunBefore = true;
  if (!aIsPrimary &&
      !this->dispatcher->IsConsistentAnswer(aServer, *aAnswer, this->minimumPosition)) {
    this->RetryOnOtherServer(aNow, aServer);
    return;
  }
  this->DeliverResult(aNow, aSentAt, ToStatementResult(*aAnswer), aIsPrimary);
}

void ReadExecutor::DeliverResult(Instant aNow,
                                 Instant aSentAt,
                                 StatementResult aResult,
                                 bool aIsPrimary)
{
  if (!aIsPrimary) {
    aResult.servedByReplica = true;
    this->callback(aNow, std::move(aResult));
    return;
  }
  // The primary may have been deposed without having noticed. If a majority, asked after the read,
  // still accepts its term, the data was current.
  this->dispatcher->ConfirmMajority(
    aNow,
    aResult.position,
    aSentAt,
    this->request.deadline,
    [self = this->shared_from_this(), aResult](Instant aLater, const Outcome<void>& aConfirmed) {
      if (aConfirmed) {
        self->callback(aLater, aResult);
      } else {
        self->RetryAllServersLater(aLater);
      }
    });
}

void ReadExecutor::RetryOnOtherServer(Instant aNow, const ServerAddress& aFailed)
{
  this->failedServers.insert(aFailed);
  if (aFailed == this->dispatcher->Primary().server) {
    this->RetryAllServersLater(aNow);
    return;
  }
  this->Plan(aNow);
}

void ReadExecutor::RetryAllServersLater(Instant aNow)
{
  if (aNow + kReadRetryDelay >= this->request.deadline) {
    this->Refuse(aNow, RefusalFor(RequestStep::Queue, Fault::NoEligibleReplica, this->kind));
    return;
  }
  this->failedServers.clear();
  this->loop.Schedule(aNow + kReadRetryDelay,
                      [self = this->shared_from_this()](Instant aLater) { self->Plan(aLater); });
}

void ReadExecutor::Refuse(Instant aNow, Refusal aRefusal)
{
  if (this->kind.mayHaveRunBefore) {
    aRefusal.verdict = Verdict::MayHaveRun;
  }
  this->callback(aNow, tl::unexpected<Refusal>(std::move(aRefusal)));
}

} // namespace mustardshift
