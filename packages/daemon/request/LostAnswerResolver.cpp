#include "daemon/request/LostAnswerResolver.h"

#include "core/base/VerdictTable.h"
#include "daemon/request/DatabaseFrames.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

namespace {

constexpr Duration kLookUpRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kLookUpTimeout = std::chrono::milliseconds(500);

} // namespace

LostAnswerResolver::LostAnswerResolver(EventLoop& aLoop,
                                       std::shared_ptr<DatabaseDispatcher> aDispatcher,
                                       RequestId aRequest,
                                       std::uint64_t aSentTerm,
                                       Instant aDeadline,
                                       StatementCallback aCallback)
  : loop(aLoop)
  , dispatcher(std::move(aDispatcher))
  , request(std::move(aRequest))
  , sentTerm(aSentTerm)
  , deadline(aDeadline)
  , callback(std::move(aCallback))
{
}

void LostAnswerResolver::LookUp(Instant aNow)
{
  if (aNow >= this->deadline) {
    this->callback(aNow,
                   tl::unexpected<Refusal>(RefusalFor(
                     RequestStep::AwaitAnswer, Fault::AnswerLost, { false, false, true })));
    return;
  }
  this->dispatcher->LookUpRequest(
    this->request,
    std::min(kLookUpTimeout, this->deadline - aNow),
    [self = this->shared_from_this()](
      Instant aLater, const Outcome<database::v1::LookUpRequestResponse>& aResponse) {
      self->OnResponse(aLater, aResponse);
    });
}

void LostAnswerResolver::LookUpLater(Instant aNow)
{
  this->loop.Schedule(std::min(aNow + kLookUpRetryDelay, this->deadline),
                      [self = this->shared_from_this()](Instant aLater) { self->LookUp(aLater); });
}

void LostAnswerResolver::OnResponse(Instant aNow,
                                    const Outcome<database::v1::LookUpRequestResponse>& aResponse)
{
  if (!aResponse || !aResponse->leads()) {
    this->LookUpLater(aNow);
    return;
  }
  if (!aResponse->found()) {
    if (aResponse->accepted_term() > this->sentTerm) {
      this->ConfirmLog(
        aNow,
        aResponse->accepted_term(),
        RefuseNotRun(Reason::AnswerLost,
                     "the answer was lost, and the new primary shows that nothing ran"));
      return;
    }
    this->LookUpLater(aNow);
    return;
  }
  StatementResult result;
  result.rows.assign(aResponse->rows().begin(), aResponse->rows().end());
  this->ConfirmLog(aNow, aResponse->accepted_term(), std::move(result));
}

void LostAnswerResolver::ConfirmLog(Instant aNow,
                                    std::uint64_t aTerm,
                                    const Outcome<StatementResult>& aResult)
{
  this->dispatcher->ReportPrimary(
    std::min(kLookUpTimeout, this->deadline - aNow),
    [self = this->shared_from_this(), aTerm, aResult, askedAt = aNow](
      Instant aLater, const Outcome<database::v1::ServerReport>& aReport) {
      if (!aReport || !aReport->leads() || aReport->accepted_term() != aTerm ||
          aReport->position().term() != aTerm) {
        self->LookUpLater(aLater);
        return;
      }
      const LogPosition end = ToLogPosition(aReport->position());
      self->dispatcher->ConfirmMajority(
        aLater,
        end,
        askedAt,
        self->deadline,
        [self, end, aResult](Instant aConfirmedAt, const Outcome<void>& aConfirmed) {
          if (!aConfirmed) {
            self->LookUpLater(aConfirmedAt);
            return;
          }
          Outcome<StatementResult> result = aResult;
          if (result) {
            result->position = end;
          }
          self->callback(aConfirmedAt, result);
        });
    });
}

} // namespace mustardshift
