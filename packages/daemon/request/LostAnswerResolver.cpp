#include "daemon/request/LostAnswerResolver.h"

#include "core/base/VerdictTable.h"

#include <algorithm>
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
    [self = this->shared_from_this()](
      Instant aLater, const Outcome<database::v1::LookUpRequestResponse>& aResponse) {
      self->OnResponse(aLater, aResponse);
    });
}

void LostAnswerResolver::AskLater(Instant aNow)
{
  this->loop.Schedule(std::min(aNow + kLookUpPause, this->deadline),
                      [self = this->shared_from_this()](Instant aLater) { self->Ask(aLater); });
}

void LostAnswerResolver::OnResponse(Instant aNow,
                                    const Outcome<database::v1::LookUpRequestResponse>& aResponse)
{
  if (!aResponse || !aResponse->leads()) {
    this->AskLater(aNow);
    return;
  }
  if (!aResponse->found()) {
    if (aResponse->accepted_term() > this->sentTerm) {
      this->callback(
        aNow,
        RefuseNotRun(Reason::AnswerLost,
                     "the connection was lost, and the new primary shows that nothing ran"));
      return;
    }
    this->AskLater(aNow);
    return;
  }
  FlowResult result;
  result.rows.assign(aResponse->rows().begin(), aResponse->rows().end());
  // The entry may be of an earlier term. A majority that holds an entry of the present term holds
  // everything before it, too.
  result.position = { aResponse->accepted_term(), aResponse->position().offset() };
  this->dispatcher->ConfirmMajority(
    aNow,
    result.position,
    this->deadline,
    [self = this->shared_from_this(), result](Instant aLater, const Outcome<void>& aConfirmed) {
      if (aConfirmed) {
        self->callback(aLater, result);
      } else {
        self->AskLater(aLater);
      }
    });
}

} // namespace mustardshift
