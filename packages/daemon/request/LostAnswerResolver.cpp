#include "daemon/request/LostAnswerResolver.h"

#include "core/base/VerdictTable.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace mustardshift {

namespace {

constexpr Duration kLookUpPause = std::chrono::milliseconds(50);
constexpr Duration kLookUpTimeout = std::chrono::milliseconds(500);

} // namespace

LostAnswerResolver::LostAnswerResolver(EventLoop& aLoop,
                                       std::shared_ptr<DatabaseDispatcher> aDispatcher,
                                       RequestId aRequest,
                                       std::uint64_t aSentTerm,
                                       Instant aDeadline,
                                       FlowCallback aCallback)
  : loop(aLoop)
  , dispatcher(std::move(aDispatcher))
  , request(std::move(aRequest))
  , sentTerm(aSentTerm)
  , deadline(aDeadline)
  , callback(std::move(aCallback))
{
}

void LostAnswerResolver::Ask(Instant aNow)
{
  if (aNow >= this->deadline) {
    this->callback(aNow,
                   tl::unexpected<Refusal>(
                     Resolve(RequestStep::AwaitAnswer, Fault::AnswerLost, { false, false, true })));
    return;
  }
  this->dispatcher->LookUpRequest(
    this->request,
    std::min(kLookUpTimeout, this->deadline - aNow),
    [self = this->shared_from_this(), askedTerm = this->dispatcher->Primary().term](
      Instant aLater, const Outcome<database::v1::LookUpRequestResponse>& aResponse) {
      self->OnResponse(aLater, askedTerm, aResponse);
    });
}

void LostAnswerResolver::AskLater(Instant aNow)
{
  this->loop.Schedule(std::min(aNow + kLookUpPause, this->deadline),
                      [self = this->shared_from_this()](Instant aLater) { self->Ask(aLater); });
}

void LostAnswerResolver::OnResponse(Instant aNow,
                                    std::uint64_t aAskedTerm,
                                    const Outcome<database::v1::LookUpRequestResponse>& aResponse)
{
  // A server that does not step down for a higher term may still lead in its own view.
  if (!aResponse || !aResponse->leads() || aResponse->accepted_term() != aAskedTerm ||
      aAskedTerm != this->dispatcher->Primary().term) {
    this->AskLater(aNow);
    return;
  }
  FlowResult result;
  result.position = { aResponse->position().term(), aResponse->position().offset() };
  if (!aResponse->found() || result.position.term != aAskedTerm) {
    // An entry of an earlier term, and its absence, are settled once an entry of the present term
    // is on a majority. Until then a further promotion may choose a server with another log.
    const std::optional<LogPosition> first = this->dispatcher->FirstPositionOfTerm();
    if (!first || (!aResponse->found() && aAskedTerm <= this->sentTerm)) {
      this->AskLater(aNow);
      return;
    }
    result.position = *first;
  }
  result.rows.assign(aResponse->rows().begin(), aResponse->rows().end());
  this->dispatcher->ConfirmMajority(
    aNow,
    result.position,
    this->deadline,
    [self = this->shared_from_this(), result, isFound = aResponse->found()](
      Instant aLater, const Outcome<void>& aConfirmed) {
      if (!aConfirmed) {
        self->AskLater(aLater);
      } else if (isFound) {
        self->callback(aLater, result);
      } else {
        self->callback(
          aLater,
          RefuseNotRun(Reason::AnswerLost,
                       "the connection was lost, and the new primary shows that nothing ran"));
      }
    });
}

} // namespace mustardshift
