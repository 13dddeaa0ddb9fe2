#include "daemon/request/ReadFlow.h"

#include "core/base/VerdictTable.h"
#include "daemon/request/DatabaseFrames.h"

#include <utility>
#include <variant>

namespace mustardshift {

namespace {

/** Pause before a read that no server could serve is planned anew. */
constexpr Duration kReplanPause = std::chrono::milliseconds(20);

template<class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

ReadFlow::ReadFlow(EventLoop& aLoop,
                   std::shared_ptr<DatabaseDispatcher> aDispatcher,
                   CallerRequest aRequest,
                   OrganisationName aOrganisation,
                   SessionToken aToken,
                   Duration aFreshness,
                   FlowCallback aCallback)
  : loop(aLoop)
  , dispatcher(std::move(aDispatcher))
  , request(std::move(aRequest))
  , organisation(std::move(aOrganisation))
  , token(std::move(aToken))
  , freshness(aFreshness)
  , callback(std::move(aCallback))
{
}

void ReadFlow::Plan(Instant aNow)
{
  const PlannedRead planned = this->dispatcher->PlanRead(
    aNow, this->token, this->freshness, this->request.deadline, this->failed);
  this->floor = planned.floor;
  std::visit(
    Overloaded{ [&](const ReadAtReplica& aPlan) { this->ReadFrom(aNow, aPlan.replica, false); },
                [&](const ReadAtPrimary& aPlan) { this->ReadFrom(aNow, aPlan.primary, true); },
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
                        self->PlanAgain(aLater, server);
                      }
                    });
                },
                [&](const Refusal& aRefusal) {
                  if (aRefusal.reason == Reason::DeadlineExceeded) {
                    this->Refuse(aNow, aRefusal);
                  } else {
                    this->PlanLater(aNow);
                  }
                } },
    planned.plan);
}

void ReadFlow::ReadFrom(Instant aNow, const ServerAddress& aServer, bool aIsPrimary)
{
  Operation operation;
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

void ReadFlow::OnConnection(Instant aNow,
                            const ServerAddress& aServer,
                            bool aIsPrimary,
                            const std::shared_ptr<ConnectionLease>& aLease)
{
  // The primary may have changed while the operation waited for a connection. A server that leads
  // now may hold entries that no other server has, so its answer has to be confirmed.
  const ServerAddress primary = this->dispatcher->Primary().server;
  const ServerAddress server = aIsPrimary ? primary : aServer;
  const bool leads = server == primary;
  aLease->Send(
    MakeExecuteFrame(
      this->dispatcher->Primary().term, this->request.statement, this->request.requestId, true),
    this->request.deadline - aNow,
    [self = this->shared_from_this(), lease = aLease, server, leads, sentAt = aNow](
      Instant aLater, const Outcome<database::v1::Answer>& aAnswer) {
      self->dispatcher->ObserveAnswer(aLater, server, sentAt, aAnswer);
      self->OnAnswer(aLater, server, sentAt, leads, aAnswer);
    });
}

void ReadFlow::OnAnswer(Instant aNow,
                        const ServerAddress& aServer,
                        Instant aSentAt,
                        bool aIsPrimary,
                        const Outcome<database::v1::Answer>& aAnswer)
{
  if (!aAnswer) {
    this->kind.mayHaveRunBefore |= aAnswer.error().verdict != Verdict::NotRun;
    this->PlanAgain(aNow, aServer);
    return;
  }
  switch (aAnswer->status()) {
    case database::v1::ANSWER_STATUS_OK:
      break;
    case database::v1::ANSWER_STATUS_INVALID:
      this->Refuse(aNow, RefusalFor(RequestStep::AwaitAnswer, Fault::StatementInvalid, this->kind));
      return;
    default:
      this->PlanAgain(aNow, aServer);
      return;
  }
  // From here on the read has run, though its answer may not be passed on.
  this->kind.mayHaveRunBefore = true;
  if (!aIsPrimary && !this->dispatcher->MayPassOn(aServer, *aAnswer, this->floor)) {
    this->PlanAgain(aNow, aServer);
    return;
  }
  this->PassOn(aNow, aSentAt, ResultOf(*aAnswer), aIsPrimary);
}

void ReadFlow::PassOn(Instant aNow, Instant aSentAt, FlowResult aResult, bool aIsPrimary)
{
  if (!aIsPrimary) {
    aResult.servedByReplica = true;
    this->callback(aNow, std::move(aResult));
    return;
  }
  // A primary may have been deposed without knowing; a majority that still accepts its term, asked
  // after the read, shows that the data was current.
  this->dispatcher->ConfirmMajority(
    aNow,
    aResult.position,
    aSentAt,
    this->request.deadline,
    [self = this->shared_from_this(), aResult](Instant aLater, const Outcome<void>& aConfirmed) {
      if (aConfirmed) {
        self->callback(aLater, aResult);
      } else {
        self->PlanLater(aLater);
      }
    });
}

void ReadFlow::PlanAgain(Instant aNow, const ServerAddress& aFailed)
{
  this->failed.insert(aFailed);
  if (aFailed == this->dispatcher->Primary().server) {
    this->PlanLater(aNow);
    return;
  }
  this->Plan(aNow);
}

void ReadFlow::PlanLater(Instant aNow)
{
  if (aNow + kReplanPause >= this->request.deadline) {
    this->Refuse(aNow, RefusalFor(RequestStep::Queue, Fault::NoEligibleReplica, this->kind));
    return;
  }
  this->failed.clear();
  this->loop.Schedule(aNow + kReplanPause,
                      [self = this->shared_from_this()](Instant aLater) { self->Plan(aLater); });
}

void ReadFlow::Refuse(Instant aNow, Refusal aRefusal)
{
  if (this->kind.mayHaveRunBefore) {
    aRefusal.verdict = Verdict::MayHaveRun;
  }
  this->callback(aNow, tl::unexpected<Refusal>(std::move(aRefusal)));
}

} // namespace mustardshift
